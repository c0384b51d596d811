#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <QTimer>

#include "base/boot_time.hpp"
#include "http/client_connection.hpp"
#include "http/connection_pool.hpp"
#include "http/header_rules.hpp"

namespace lovagetack::http {

/// Result of a call.
struct call_result {
    /// HTTP status; 0 if no complete answer was received.
    int status = 0;
    /// Part of the request may have reached the server.
    bool sent = false;
    fields header;
    std::string body;
};

/// Which connections a call may use.
enum class connection_use : std::uint8_t {
    /// One that carried other calls before, and that carries others afterwards.
    shared,
    /// A new one that is closed after the call, so that no copy of another call's answer can arrive on it.
    own,
};

/// A small request that the instance itself sends; the whole answer is collected in memory.
class call final : private connection_pool::waiter, private client_connection::handler {
public:
    using done_function = std::function<void(const call_result&)>;

    /// The pool must outlive the call. `done` is called once from the event loop, unless the call is destroyed first;
    /// it may destroy the call. The call fails when it is not answered within `timeout`.
    call(connection_pool& pool, std::string text, std::chrono::milliseconds timeout, done_function done);
    /// As above, but the call may take until `longest` as long as no pause in its answer takes longer than `timeout`.
    call(connection_pool& pool, std::string text, std::chrono::milliseconds timeout, std::chrono::milliseconds longest,
         done_function done);
    call(const call&) = delete;
    call& operator=(const call&) = delete;
    ~call() override;

    void begin(connection_use use = connection_use::shared) {
        use_ = use;
        pool_.acquire(*this, use == connection_use::own);
    }

    /// A longer answer body fails the call.
    static constexpr std::size_t longest_body_bytes = std::size_t(4) * 1024 * 1024;

private:
    void connection_ready(const std::shared_ptr<client_connection>& connection) override;
    void connection_failed() override { end(); }
    void answer_started(const client_connection::answer& header, bool chunked, bool has_body) override;
    void answer_body(std::string_view bytes) override;
    void answer_pause() override {}
    void answer_ended() override;
    void answer_failed(client_connection::failure reason) override;
    void request_writable() override {}
    /// Restarts the timer, whose end is at `latest_end_` at the latest.
    void start_timer();
    void end();
    void release_connection();

    connection_pool& pool_;
    std::string text_;
    done_function done_;
    call_result result_;
    connection_use use_ = connection_use::shared;
    std::shared_ptr<client_connection> connection_;
    QTimer timer_;
    std::chrono::milliseconds timeout_;
    base::boot_time latest_end_;
    /// The request is not sent after this time. The timer does not count the time in which the machine is suspended.
    base::boot_time latest_start_;
};

} // namespace lovagetack::http
