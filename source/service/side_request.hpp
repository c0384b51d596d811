#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "http/client_connection.hpp"
#include "http/connection_pool.hpp"

namespace lovagetack::service {

/// A request that the instance itself makes to a backend server (cancellation, probe); the answer's body is ignored.
class side_request final : private http::connection_pool::waiter, private http::client_connection::handler {
public:
    using done_function = std::function<void(side_request&, bool answered)>;

    /// The pool must outlive the request. `done` is called once, unless the request is destroyed first.
    side_request(http::connection_pool& pool, std::string text, done_function done);
    side_request(const side_request&) = delete;
    side_request& operator=(const side_request&) = delete;
    ~side_request() override;

    void begin(bool fresh) { pool_.acquire(*this, fresh); }
    /// Ends the request as unanswered when it takes longer than time_limit.
    void check_time(http::client_connection::clock::time_point now);

    static constexpr auto time_limit = std::chrono::seconds(2);

private:
    void connection_ready(const std::shared_ptr<http::client_connection>& connection) override;
    void connection_failed() override { end(false); }
    void answer_started(const http::client_connection::answer& /*header*/, bool /*chunked*/,
                        bool /*has_body*/) override {}
    void answer_body(std::string_view /*bytes*/) override {}
    void answer_pause() override {}
    void answer_ended() override { end(true); }
    void answer_failed(http::client_connection::failure /*reason*/) override { end(false); }
    void request_writable() override {}
    void end(bool answered);

    http::connection_pool& pool_;
    std::string text_;
    done_function done_;
    std::shared_ptr<http::client_connection> connection_;
    http::client_connection::clock::time_point since_ = http::client_connection::clock::now();
};

} // namespace lovagetack::service
