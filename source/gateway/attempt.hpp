#pragma once

#include <chrono>
#include <memory>
#include <string>
#include <string_view>

#include "gateway/ports.hpp"
#include "http/client_connection.hpp"
#include "http/connection_pool.hpp"
#include "http/server_connection.hpp"
#include "routing/effect.hpp"
#include "routing/event.hpp"

namespace lovagetack::gateway {

/// A whole answer that is kept for the caller.
struct kept_answer {
    int status = 0;
    std::string reason;
    std::string lines;
    std::string body;
};

/// One caller's request with its body, from its header to its answer.
struct exchange {
    routing::exchange_id id = 0;
    /// Null once the answer is written.
    std::shared_ptr<http::server_connection> caller;
    caller_header header;
    base::boot_time arrived;
    /// Request line and header fields for every attempt.
    std::string head;
    std::string body;
    bool is_head = false;
    bool has_body = false;
    std::unique_ptr<class attempt> current;
    /// The last failure that a backend server signed.
    std::unique_ptr<kept_answer> failure;
};

/// Sends the request of an exchange to one backend server and passes its answer on.
///
/// A short answer is passed on when it is whole, so that another server can be asked when it breaks off. A longer one
/// is passed on as it arrives, and the caller's connection is reset when it breaks off.
class attempt final : private http::connection_pool::waiter, private http::client_connection::handler {
public:
    class owner {
    public:
        owner() = default;
        owner(const owner&) = delete;
        owner& operator=(const owner&) = delete;
        virtual ~owner() = default;

        virtual void attempt_sent(const routing::attempt_sent& event) = 0;
        virtual void answer_begun(const routing::answer_begun& event) = 0;
        /// The attempt may be destroyed after this call returned to the event loop.
        virtual void attempt_over(exchange& exchange, const routing::attempt_ended& event) = 0;
    };

    /// All references must live longer.
    attempt(owner& relay, exchange& request, routing::send_request effect, http::connection_pool& pool,
            const dialect_port& dialect);
    attempt(const attempt&) = delete;
    attempt& operator=(const attempt&) = delete;
    ~attempt() override;

    void begin();
    void caller_writable();
    /// Drops the connection; nothing is reported any more.
    void drop();
    [[nodiscard]] model::attempt_id id() const { return effect_.attempt; }

    /// Longest answer that is collected before it is passed on.
    static constexpr std::size_t collected_bytes = std::size_t(32) * 1024;

private:
    void connection_ready(const std::shared_ptr<http::client_connection>& connection) override;
    void connection_failed() override;
    [[nodiscard]] bool is_own_answer(const http::client_connection::answer& header) override;
    void answer_started(const http::client_connection::answer& header, bool chunked, bool has_body) override;
    void answer_body(std::string_view bytes) override;
    void answer_pause() override;
    void answer_ended() override;
    void answer_failed(http::client_connection::failure reason) override;
    void request_writable() override {}

    [[nodiscard]] routing::attempt_outcome outcome_of_whole() const;
    void start_passing();
    void end(routing::attempt_outcome outcome);
    void release();

    owner& owner_;
    exchange& exchange_;
    routing::send_request effect_;
    http::connection_pool& pool_;
    const dialect_port& dialect_;
    std::shared_ptr<http::client_connection> connection_;
    routing::attempt_ended ended_;
    server_header header_;
    kept_answer answer_;
    http::body_framing framing_ = http::body_framing::none;
    std::uint64_t length_ = 0;
    bool header_seen_ = false;
    bool passing_ = false;
    bool over_ = false;
};

} // namespace lovagetack::gateway
