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

/// One connection to a backend server or to another instance, used for one request at a time.
///
/// A connection is reusable only after a complete answer, with the request fully sent and nothing received beyond it.
class client_connection : public std::enable_shared_from_this<client_connection>, private socket_stream::observer {
public:
    using clock = std::chrono::steady_clock;
    using answer = message_reader<false>::message_type;

    enum class failure : std::uint8_t {
        /// The connection ended before the header of the answer.
        connection_lost = 0,
        /// The answer began and ended early.
        cut_short = 1,
        /// The answer was not valid HTTP.
        malformed = 2,
    };

    /// Receives the answer to one request. After answer_ended or answer_failed it is not called again.
    class handler {
    public:
        handler() = default;
        handler(const handler&) = delete;
        handler& operator=(const handler&) = delete;
        virtual ~handler() = default;

        /// Whether an answer belongs to the request; a server may send one more answer to an earlier request. Answers
        /// that do not are skipped.
        [[nodiscard]] virtual bool is_own_answer(const answer& /*header*/) { return true; }
        /// The header is complete. Interim answers (1xx) are not reported.
        virtual void answer_started(const answer& header, bool chunked, bool has_body) = 0;
        /// May be called with several parts; the bytes are valid during the call only.
        virtual void answer_body(std::string_view bytes) = 0;
        /// All that was received so far has been reported.
        virtual void answer_pause() = 0;
        virtual void answer_ended() = 0;
        virtual void answer_failed(failure reason) = 0;
        /// Most of what was written of the request has been sent.
        virtual void request_writable() = 0;
    };

    /// Called once the connection is open or could not be opened, and when an idle one ends.
    struct owner {
        std::function<void(client_connection&)> opened;
        std::function<void(client_connection&)> ended;
    };

    client_connection(const model::address& address, owner callbacks);
    client_connection(const client_connection&) = delete;
    client_connection& operator=(const client_connection&) = delete;
    ~client_connection() override = default;

    /// Begins a request on an open, unused connection; `bytes` are the header and the first part of the body.
    void start(handler& answers, bool is_head, std::string_view bytes);
    void write(std::string_view bytes) { stream_.write(bytes); }
    /// Everything of the request has been written.
    void end_request() { request_written_ = true; }
    [[nodiscard]] std::size_t unsent() const { return stream_.unsent(); }

    void pause_answer() { paused_ = true; }
    void resume_answer();

    /// Can take a request.
    [[nodiscard]] bool is_idle() const { return phase_ == phase::idle; }
    [[nodiscard]] bool is_opening() const { return phase_ == phase::opening; }
    /// It carried a request before the present one.
    [[nodiscard]] bool was_used_before() const { return requests_ > 1; }
    /// When it became idle, or began to open.
    [[nodiscard]] clock::time_point since() const { return since_; }

    /// The server closes the connection when it has been idle for this long; 0 if it did not say so.
    [[nodiscard]] std::chrono::seconds keep_alive_time() const { return keep_alive_time_; }

    /// Drops the connection at once; nothing is called any more.
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
    bool step_skipped();
    void note_keep_alive();
    bool wait_for_more();
    void end_answer();
    void fail(failure reason);

    owner owner_;
    handler* handler_ = nullptr;
    message_reader<false> reader_;
    clock::time_point since_ = clock::now();
    std::uint64_t requests_ = 0;
    phase phase_ = phase::opening;
    bool is_head_ = false;
    bool request_written_ = false;
    bool paused_ = false;
    /// The present answer belongs to an earlier request.
    bool skipping_ = false;
    /// Something was received that belongs to no request of this connection.
    bool out_of_step_ = false;
    std::chrono::seconds keep_alive_time_{0};
    socket_stream stream_;
};

} // namespace lovagetack::http
