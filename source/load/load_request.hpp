#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <string>

#include "http/client_connection.hpp"
#include "http/connection_pool.hpp"

namespace lovagetack::load {

/// Result of one request.
struct load_answer {
    /// HTTP status; 0 if no complete answer was received.
    int status = 0;
    std::string outcome;
    std::string backend_server;
    std::chrono::microseconds latency{0};
};

/// One request of the load generator; it can be sent again after its answer.
class load_request final : private http::connection_pool::waiter, private http::client_connection::handler {
public:
    using clock = std::chrono::steady_clock;
    using done_function = std::function<void(load_request&, const load_answer&)>;

    explicit load_request(done_function done);
    load_request(const load_request&) = delete;
    load_request& operator=(const load_request&) = delete;
    ~load_request() override;

    /// The latency is measured from `planned`.
    void send(http::connection_pool& pool, std::string text, clock::time_point planned);

    /// Fails a request that has no complete answer `limit` after its planned time.
    void check_time(clock::time_point now, std::chrono::milliseconds limit);

private:
    void connection_ready(const std::shared_ptr<http::client_connection>& connection) override;
    void connection_failed() override { end(0); }
    void answer_started(const http::client_connection::answer& header, bool chunked, bool has_body) override;
    void answer_body(std::string_view /*bytes*/) override {}
    void answer_pause() override {}
    void answer_ended() override { end(answer_.status); }
    void answer_failed(http::client_connection::failure /*reason*/) override { end(0); }
    void request_writable() override {}
    void end(int status);

    done_function done_;
    http::connection_pool* pool_ = nullptr;
    std::shared_ptr<http::client_connection> connection_;
    std::string text_;
    clock::time_point planned_;
    load_answer answer_;
};

} // namespace lovagetack::load
