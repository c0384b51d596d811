#pragma once

#include <chrono>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "gateway/ports.hpp"
#include "http/body_pace.hpp"
#include "http/byte_account.hpp"
#include "http/client_connection.hpp"
#include "http/connection_pool.hpp"
#include "http/server_connection.hpp"
#include "http/stored_body.hpp"
#include "model/address.hpp"
#include "routing/effect.hpp"
#include "routing/event.hpp"

namespace lovagetack::gateway {

/// A complete answer of a backend server, stored for the caller. `lines` are header fields that each end with CR LF.
struct stored_answer {
    int status = 0;
    std::string reason;
    std::string lines;
    std::string body;
};

/// A caller's request, from the arrival of its header until it is answered.
struct exchange {
    /// The account must outlive the exchange.
    explicit exchange(http::byte_account& account) : request_charge(account), answer_charge(account) {}

    routing::exchange_id id = 0;
    /// Null once the answer has been written.
    std::shared_ptr<http::server_connection> caller;
    caller_header header;
    base::boot_time arrived;
    /// Request line and header fields for every attempt.
    std::string head;
    /// Fields that are sent on only where no client accounts are configured.
    std::string account_fields;
    http::stored_body body;
    http::body_progress progress;
    /// Bytes of the header as it is kept, and of the body as far as it is kept or announced.
    http::byte_charge request_charge;
    /// Bytes of `failure` and of an answer that may become it.
    http::byte_charge answer_charge;
    bool is_head = false;
    bool has_body = false;
    /// Bytes of an attempt were written, and its server has not stated that it did not run the request.
    bool may_have_run = false;
    std::unique_ptr<class attempt> current_attempt;
    /// The last complete answer with a status of 500 or above that a backend server signed.
    std::unique_ptr<stored_answer> failure;
    /// Addresses whose server has answered that it did not run the request.
    std::vector<model::address> refused_at;
};

/// Sends the request of an exchange to one backend server and forwards its answer to the caller.
///
/// An answer of up to buffered_bytes_limit is forwarded once it is complete, so that the request can be sent to another
/// server if the answer is cut short. A longer answer is forwarded as it arrives, and the caller's connection is reset
/// if the answer is cut short.
class attempt final : private http::connection_pool::waiter, private http::client_connection::handler {
public:
    class owner {
    public:
        owner() = default;
        owner(const owner&) = delete;
        owner& operator=(const owner&) = delete;
        virtual ~owner() = default;

        virtual void attempt_sent(const routing::attempt_sent& event) = 0;
        /// The owner may drop the attempt during this call.
        virtual void signals_received(const routing::signals_received& event) = 0;
        virtual void answer_forwarding_started(const routing::answer_forwarding_started& event) = 0;
        /// The attempt ended. It may be destroyed only after control has returned to the event loop.
        virtual void attempt_finished(const routing::attempt_ended& event) = 0;
    };

    /// The referenced objects must outlive the attempt.
    attempt(owner& relay, exchange& request, routing::send_request effect, http::connection_pool& pool,
            const dialect_port& dialect);
    attempt(const attempt&) = delete;
    attempt& operator=(const attempt&) = delete;
    ~attempt() override;

    void begin();
    /// The caller's connection can take more of the answer.
    void caller_writable();
    /// Ends the attempt and aborts its connection without reporting an outcome.
    void drop();
    [[nodiscard]] routing::answer_progress progress() const;
    [[nodiscard]] model::attempt_id id() const { return effect_.attempt; }

    /// Length of body, in bytes, up to which an answer is buffered until it is complete.
    static constexpr std::size_t buffered_bytes_limit = std::size_t(32) * 1024;

    /// Length of body, in bytes, up to which an answer that is not delivered as it arrives is kept.
    static constexpr std::size_t stored_bytes_limit = std::size_t(1024) * 1024;

private:
    void connection_ready(const std::shared_ptr<http::client_connection>& connection) override;
    void connection_failed() override;
    [[nodiscard]] bool is_own_answer(const http::client_connection::answer& header) override;
    void answer_started(const http::client_connection::answer& header, bool chunked, bool has_body) override;
    void answer_body(std::string_view bytes) override;
    void answer_pause() override;
    void answer_ended() override;
    void answer_failed(http::client_connection::failure reason) override;
    void request_writable() override { send_body(); }

    /// The header names another server than the one that the request was for.
    [[nodiscard]] bool is_other_server() const;
    /// Outcome by status and header; holds if the answer arrives completely.
    [[nodiscard]] routing::attempt_outcome outcome_if_complete() const;
    /// Whether an answer that the request was not run may be meant for an earlier request of the connection.
    [[nodiscard]] bool may_refuse_earlier_request() const;
    /// Writes the parts of the body that the connection can take, so that its buffer never holds the whole body.
    void send_body();
    /// Keeps more of an answer that is not delivered as it arrives; false if it is too long or memory is full.
    [[nodiscard]] bool keep_answer();
    void start_forwarding();
    void end(routing::attempt_outcome outcome);
    void release();

    owner& owner_;
    exchange& exchange_;
    routing::send_request effect_;
    http::connection_pool& pool_;
    const dialect_port& dialect_;
    std::shared_ptr<http::client_connection> connection_;
    routing::attempt_ended ended_event_;
    server_header header_;
    stored_answer answer_;
    http::body_framing framing_ = http::body_framing::none;
    std::uint64_t length_ = 0;
    std::uint64_t body_bytes_ = 0;
    /// First part of the request body that has not been written.
    std::size_t next_part_ = 1;
    /// exchange_.may_have_run before this attempt.
    bool may_have_run_before_ = false;
    bool header_received_ = false;
    bool forwarding_ = false;
    bool finished_ = false;
};

} // namespace lovagetack::gateway
