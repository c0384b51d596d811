#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

#include "http/message_reader.hpp"
#include "http/socket_stream.hpp"
#include "model/address.hpp"

namespace lovagetack::http {

/// A connection to a backend server or to another instance; it carries one request at a time.
///
/// A connection is reusable only after a complete answer, if the request was fully sent and nothing was received after
/// the answer.
class client_connection : public std::enable_shared_from_this<client_connection>, private socket_stream::observer {
public:
    using clock = std::chrono::steady_clock;
    using answer = message_reader<false>::message_type;

    enum class failure : std::uint8_t {
        /// The connection ended before the header of the answer was complete.
        connection_lost = 0,
        /// The connection ended after the header of the answer and before its end.
        cut_short = 1,
        /// The answer was not valid HTTP, its status is none, or too many interim answers came before it.
        malformed = 2,
    };

    /// Receives the answer to one request. No function is called after answer_ended or answer_failed.
    class handler {
    public:
        handler() = default;
        handler(const handler&) = delete;
        handler& operator=(const handler&) = delete;
        virtual ~handler() = default;

        /// Whether an answer belongs to the request: a server may send a second answer to an earlier request. An answer
        /// that does not belong to the request is skipped.
        [[nodiscard]] virtual bool is_own_answer(const answer& /*header*/) { return true; }
        /// The header is complete. Interim answers (1xx) are not reported.
        virtual void answer_started(const answer& header, bool chunked, bool has_body) = 0;
        /// Called once for each received part of the body; the bytes are valid during the call only.
        virtual void answer_body(std::string_view bytes) = 0;
        /// All bytes received so far have been reported.
        virtual void answer_pause() = 0;
        virtual void answer_ended() = 0;
        virtual void answer_failed(failure reason) = 0;
        /// Fewer than half of stream_buffer_bytes of the request are unsent.
        virtual void request_writable() = 0;
    };

    /// `opened` is called once the connection is open; `ended` when it could not be opened or ended while idle.
    struct owner {
        std::function<void(client_connection&)> opened;
        std::function<void(client_connection&)> ended;
    };

    client_connection(const model::address& address, owner callbacks);
    client_connection(const client_connection&) = delete;
    client_connection& operator=(const client_connection&) = delete;
    ~client_connection() override = default;

    /// Begins a request on an idle connection; `bytes` are the header and the first part of the body.
    void start(handler& answers, bool is_head, std::string_view bytes);
    void write(std::string_view bytes) { stream_.write(bytes); }
    /// The whole request has been written.
    void end_request() { request_written_ = true; }
    [[nodiscard]] std::size_t unsent() const { return stream_.unsent(); }

    void pause_answer() { paused_ = true; }
    void resume_answer();
    [[nodiscard]] bool is_paused() const { return paused_; }

    /// The connection is open and can carry a request.
    [[nodiscard]] bool is_idle() const { return phase_ == phase::idle; }
    [[nodiscard]] bool is_opening() const { return phase_ == phase::opening; }
    /// No process listens at the address.
    [[nodiscard]] bool was_refused() const { return stream_.was_refused(); }
    /// The connection carried a request before the current one.
    [[nodiscard]] bool was_used_before() const { return requests_ > 1; }
    /// Time at which the connection became idle or began to open.
    [[nodiscard]] clock::time_point state_since() const { return state_since_; }

    /// Idle time after which the server closes the connection, from its Keep-Alive field; 0 if it stated none.
    [[nodiscard]] std::chrono::seconds keep_alive_time() const { return keep_alive_time_; }

    /// Resets the connection at once; neither the handler nor the owner is called afterwards.
    void abort();

private:
    enum class phase : std::uint8_t { opening, idle, header, body, closed };

    void stream_connected() override;
    void stream_readable() override;
    void stream_writable() override;
    void stream_closed() override;

    void process();
    bool step();
    bool step_header();
    bool step_body();
    bool skip_answer_body();
    void parse_keep_alive_field();
    bool fetch_more();
    void end_answer();
    void fail(failure reason);

    owner owner_;
    handler* handler_ = nullptr;
    message_reader<false> reader_;
    clock::time_point state_since_ = clock::now();
    std::uint64_t requests_ = 0;
    phase phase_ = phase::opening;
    int interim_answers_ = 0;
    bool is_head_ = false;
    bool request_written_ = false;
    bool paused_ = false;
    /// The answer being received belongs to an earlier request.
    bool skipping_answer_ = false;
    /// An answer was received that does not belong to the current request; the connection is not reused.
    bool received_unmatched_answer_ = false;
    std::chrono::seconds keep_alive_time_{0};
    socket_stream stream_;
};

} // namespace lovagetack::http
