#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "http/client_connection.hpp"
#include "http/connection_pool.hpp"
#include "requests/effect.hpp"
#include "requests/event.hpp"
#include "service/exchange.hpp"

namespace lovagetack::service {

/// Sends the request of an exchange to one backend server or instance and forwards the answer to the caller.
class attempt final : private http::connection_pool::waiter, private http::client_connection::handler {
public:
    class owner {
    public:
        owner() = default;
        owner(const owner&) = delete;
        owner& operator=(const owner&) = delete;
        virtual ~owner() = default;

        virtual void report(requests::event event) = 0;
        /// The attempt is destroyed during this call.
        virtual void attempt_over(exchange& exchange, const requests::attempt_ended& event) = 0;
        [[nodiscard]] virtual const model::instance_id& instance() const = 0;
        /// Header line with the queue length, for the answer to a relayed request; else empty.
        [[nodiscard]] virtual std::string queue_field(const exchange& exchange) const = 0;
    };

    /// Exchange, pool and owner must outlive the attempt.
    attempt(owner& executor, exchange& request, requests::start_attempt effect, http::connection_pool& pool);
    attempt(const attempt&) = delete;
    attempt& operator=(const attempt&) = delete;
    /// Aborts the connection if the attempt has not ended.
    ~attempt() override;

    void begin();
    /// True once the first bytes of the request were written, so that more of the body can follow.
    [[nodiscard]] bool is_sending() const { return connection_ != nullptr; }
    void send_body(std::string_view bytes);
    void end_body();
    /// Bytes of the request that were not yet written to the socket.
    [[nodiscard]] std::size_t unsent() const { return connection_ ? connection_->unsent() : 0; }
    void caller_writable();

    [[nodiscard]] const requests::start_attempt& effect() const { return effect_; }

private:
    /// How the answer is handled, decided from its header.
    enum class disposition : std::uint8_t { forward, refused, outcome_unknown, relay_failed, discard };

    void connection_ready(const std::shared_ptr<http::client_connection>& connection) override;
    void connection_failed() override;
    void answer_started(const http::client_connection::answer& header, bool chunked, bool has_body) override;
    void answer_body(std::string_view bytes) override;
    void answer_pause() override;
    void answer_ended() override;
    void answer_failed(http::client_connection::failure reason) override;
    void request_writable() override;

    [[nodiscard]] disposition disposition_of(const http::client_connection::answer& header) const;
    void note_answer(const http::client_connection::answer& header);
    void forward_header(const http::client_connection::answer& header, bool chunked, bool has_body);
    void end(requests::attempt_outcome outcome);
    [[nodiscard]] requests::attempt_outcome outcome_of_whole() const;
    void release();

    owner& owner_;
    exchange& exchange_;
    requests::start_attempt effect_;
    http::connection_pool& pool_;
    std::shared_ptr<http::client_connection> connection_;
    requests::attempt_ended ended_;
    disposition disposition_ = disposition::discard;
    std::size_t discarded_ = 0;
};

} // namespace lovagetack::service
