#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_map>

#include <QTcpServer>
#include <QTimer>

#include "base/result.hpp"
#include "http/deferred_calls.hpp"
#include "http/server_connection.hpp"
#include "http/server_limits.hpp"
#include "model/address.hpp"

namespace lovagetack::http {

/// Accepts the connections of callers and owns them.
class server {
public:
    /// The handler must outlive the server.
    server(server_connection::handler& requests, const server_limits& limits);
    server(const server&) = delete;
    server& operator=(const server&) = delete;
    ~server();

    /// Port 0 selects a free port. Fails with address_in_use.
    base::result<void> listen(const model::address& address);
    [[nodiscard]] std::uint16_t port() const;
    [[nodiscard]] std::size_t connections() const { return connections_.size(); }

    /// Bytes that this process holds for all connections together, as measured at most check_period ago.
    [[nodiscard]] std::uint64_t buffered() const { return buffered_; }
    /// Resets connections on which nothing has moved for `stalled`, those that hold most first, until the others hold
    /// at most `bytes`. Connections that receive a request body are left out. Returns how many were reset.
    std::size_t shed(std::uint64_t bytes, std::chrono::milliseconds stalled);

    /// Applies to open connections too; a shorter idle time only after the next answer on them.
    void set_limits(std::uint64_t body_bytes, std::chrono::milliseconds header_time,
                    std::chrono::milliseconds idle_time);

    /// Closes each connection after its next answer; idle connections and the listener stay open.
    void begin_closing();

    /// Accepts the connections that callers have already opened and stops listening, waits for every open request to
    /// end, then calls the function from the event loop.
    void stop(std::function<void()> stopped);

    static constexpr auto check_period = std::chrono::milliseconds(100);

private:
    void accept_backlog();
    void accept_pending_connections();
    void check_times();
    void report_stopped();

    server_connection::handler& handler_;
    server_limits limits_;
    QTcpServer listener_;
    QTimer timer_;
    std::unordered_map<server_connection*, std::shared_ptr<server_connection>> connections_;
    std::function<void()> stopped_;
    std::uint64_t buffered_ = 0;
    bool accepting_paused_ = false;
    bool stopping_ = false;
    bool closing_ = false;
    deferred_calls calls_;
};

} // namespace lovagetack::http
