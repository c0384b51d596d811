#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

#include <QTimer>

#include "ownership/effect.hpp"
#include "ownership/event.hpp"
#include "platform/grant_connection.hpp"

namespace lovagetack::platform {

/// Time and size limits of grant polls.
struct grant_limits {
    /// From the call to the last byte of the answer.
    std::chrono::milliseconds timeout = std::chrono::milliseconds(300);
    /// Connections per backend server. Polls come every 100 ms and take up to 300 ms; one more allows a poll on a new
    /// connection while an old one is silent.
    std::size_t connections = 4;
    /// A longer answer is treated as no answer.
    std::uint32_t answer_bytes = 1024 * 1024;
};

/// Sends grant polls to backend servers. One connection per backend server is kept open; plain sockets are used since
/// QNetworkAccessManager may send a poll twice and costs more per call.
class grant_client {
public:
    using handler = std::function<void(const ownership::grant_answered&)>;

    grant_client(const grant_limits& limits, handler on_answer);

    grant_client(const grant_client&) = delete;
    grant_client& operator=(const grant_client&) = delete;
    ~grant_client() = default;

    /// Sends a poll. The handler is called exactly once, after this function has returned, with or without an answer.
    void execute(const ownership::send_grant_poll& poll);

    /// Closes idle connections to backend servers that were not polled for this long.
    void close_unused(std::chrono::milliseconds unused_for);

    [[nodiscard]] std::uint64_t connections_opened() const { return connections_opened_; }

private:
    struct backend_server_connections {
        model::address address;
        std::chrono::microseconds last_used{};
        std::vector<std::unique_ptr<grant_connection>> list;
    };

    grant_connection* free_connection(backend_server_connections& connections);

    grant_limits limits_;
    handler on_answer_;
    std::uint64_t connections_opened_ = 0;
    /// Polls that found no free connection; the handler is called for them from the event loop.
    std::vector<ownership::grant_answered> refused_;
    QTimer refusal_timer_;
    std::unordered_map<model::backend_server_id, backend_server_connections> backend_servers_;
};

} // namespace lovagetack::platform
