#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "base/result_code.hpp"
#include "http/header_rules.hpp"
#include "http/message_reader.hpp"
#include "http/server_limits.hpp"
#include "http/socket_stream.hpp"

class QTcpSocket;

namespace lovagetack::http {

/// A connection of a caller. Requests are handled one at a time, in order; a pipelined request stays unread until then.
///
/// An answer is written with start_answer, answer_body and end_answer (or answer_error), which buffer output until
/// flush. If the answer ends before the request body was received, the connection closes after the answer.
class server_connection : public std::enable_shared_from_this<server_connection>, private socket_stream::observer {
public:
    using clock = std::chrono::steady_clock;
    using request = message_reader<true>::message_type;

    /// Receives the requests of all connections of a server.
    class handler {
    public:
        handler() = default;
        handler(const handler&) = delete;
        handler& operator=(const handler&) = delete;
        virtual ~handler() = default;

        virtual void request_started(server_connection& connection) = 0;
        /// Called once for each received part of the body; the bytes are valid during the call only.
        virtual void request_body(server_connection& connection, std::string_view bytes) = 0;
        virtual void request_body_ended(server_connection& connection) = 0;
        /// Fewer than half of stream_buffer_bytes of the answer are unsent.
        virtual void answer_writable(server_connection& connection) = 0;
        /// The connection ended, or the request body was rejected, while a request was open; it can no longer be
        /// answered.
        virtual void caller_left(server_connection& connection) = 0;
        /// The connection ended and bytes that came while it was closing were discarded. A request among them has got
        /// no answer.
        virtual void bytes_discarded(server_connection& /*connection*/, std::size_t /*bytes*/) {}
    };

    server_connection(QTcpSocket* socket, handler& requests, const server_limits& limits,
                      std::function<void(server_connection&)> on_closed);
    server_connection(const server_connection&) = delete;
    server_connection& operator=(const server_connection&) = delete;
    ~server_connection() override = default;

    /// The open request; valid from request_started to the end of its answer.
    [[nodiscard]] const request& message() const { return reader_.message(); }
    [[nodiscard]] body_framing request_framing() const { return framing_; }
    /// Declared length of the request body; 0 if it has none or the length is not declared.
    [[nodiscard]] std::uint64_t request_length() const { return declared_length_; }
    [[nodiscard]] bool request_complete() const { return request_complete_; }

    /// A request has begun and its answer has not ended.
    [[nodiscard]] bool request_open() const;
    /// Number of the open request; set and read by the handler only.
    void set_tag(std::uint64_t tag) { tag_ = tag; }
    [[nodiscard]] std::uint64_t tag() const { return tag_; }

    void limit_body(std::uint64_t bytes) { body_limit_ = std::min(body_limit_, bytes); }
    void pause_body() { body_paused_ = true; }
    void resume_body();
    /// Answers `Expect: 100-continue` if the caller waits for it.
    void send_continue();

    /// `lines` are header fields that each end with CR LF. For a HEAD request, `framing` is that of the answer to GET.
    void start_answer(int status, std::string_view reason, std::string_view lines, body_framing framing,
                      std::uint64_t length);
    void answer_body(std::string_view bytes);
    void end_answer();
    /// Writes a complete error answer with a JSON body.
    void answer_error(int status, base::result_code code, std::string_view message, std::string_view lines);
    void flush();

    [[nodiscard]] bool answer_started() const { return answer_started_; }
    /// For the log: why the connection began to close or, if it did not, why it ended or its request was rejected. Set
    /// before caller_left and bytes_discarded.
    [[nodiscard]] const std::string& end_cause() const { return end_cause_; }
    /// Bytes of the answer that have not been passed to the kernel yet.
    [[nodiscard]] std::size_t unsent() const { return output_.size() + stream_.unsent(); }

    /// Bytes that this process holds for the connection, without those that the handler keeps.
    [[nodiscard]] std::size_t buffered() const { return output_.size() + stream_.buffered(); }
    /// Last time at which bytes of a request came or bytes of an answer left.
    [[nodiscard]] clock::time_point last_progress() const { return last_progress_; }
    /// Resets the connection; the caller of an open request counts as having left.
    void shed(std::string cause);

    /// Resets the connection at once; the handler is not called afterwards.
    void abort();
    /// The same, but a complete answer that was passed to the kernel is still sent.
    void close();

    /// Closes the connection after the next answer; it stays open until then.
    void announce_close() { close_announced_ = true; }

    /// Closes the connection after the next answer that begins, or after it has been idle for stop_grace. An answer
    /// that has begun did not announce the close, so the connection stays open after it.
    void finish();
    /// Refuses a connection above the limit of the server.
    void refuse_connection();
    /// Enforces the time limits.
    void check_time(clock::time_point now);

private:
    enum class phase : std::uint8_t { waiting, header, body, answering, lingering, closed };

    void stream_readable() override;
    void stream_writable() override;
    void stream_closed() override;

    void process();
    bool step();
    bool step_waiting();
    bool step_header();
    bool step_body();
    void accept_header();
    void reject(int status, base::result_code code, std::string_view message);
    void fail_body(int status, base::result_code code, std::string_view message);
    void end_request_body();
    void next_request();
    void linger();
    /// Closes an idle connection. A request that is on its way stays unread, and the kernel answers it with a reset, so
    /// that the caller knows that it has not run.
    void close_unread();
    void end_connection(std::string cause);
    /// How long the connection stays open between two requests.
    [[nodiscard]] std::chrono::milliseconds longest_wait() const;

    handler& handler_;
    const server_limits& limits_;
    std::function<void(server_connection&)> on_closed_;
    message_reader<true> reader_;
    std::string output_;
    std::string end_cause_;
    std::uint64_t tag_ = 0;
    std::uint64_t declared_length_ = 0;
    std::uint64_t body_received_ = 0;
    std::uint64_t body_limit_ = 0;
    std::size_t discarded_ = 0;
    std::uint64_t last_sent_ = 0;
    clock::time_point last_progress_ = clock::now();
    /// The idle time that was in force when the last answer began.
    std::chrono::milliseconds promised_idle_time_;
    phase phase_ = phase::waiting;
    body_framing framing_ = body_framing::none;
    body_framing answer_framing_ = body_framing::none;
    bool request_complete_ = false;
    bool body_paused_ = false;
    bool expects_continue_ = false;
    bool keep_alive_ = false;
    bool is_http_1_0_ = false;
    bool head_request_ = false;
    bool answer_started_ = false;
    bool finishing_ = false;
    bool close_announced_ = false;
    socket_stream stream_;
};

} // namespace lovagetack::http
