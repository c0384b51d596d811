#include "http/server_connection.hpp"

#include <algorithm>
#include <utility>

#include "http/error_body.hpp"

namespace lovagetack::http {
namespace {

/// Bytes that a caller may still send after its last answer before the connection is reset.
constexpr std::size_t linger_bytes = std::size_t(4) * 1024 * 1024;

/// Bytes that are read ahead while no body is received: most headers fit, and pipelined requests stay in the kernel.
constexpr std::size_t header_buffer_bytes = std::size_t(8) * 1024;

/// The time that callers are told is two thirds of the idle time: they count from a later moment than this end, and
/// their next request needs time to arrive.
constexpr std::chrono::seconds stated_idle_time(std::chrono::milliseconds idle_time) {
    return std::chrono::duration_cast<std::chrono::seconds>(idle_time * 2 / 3);
}

constexpr std::string_view outcome_not_run_line = "lovagetack-outcome: not-run\r\n";
constexpr std::string_view outcome_unknown_line = "lovagetack-outcome: unknown\r\n";

} // namespace

server_connection::server_connection(QTcpSocket* socket, handler& requests, const server_limits& limits,
                                     std::function<void(server_connection&)> on_closed)
    : handler_(requests), limits_(limits), on_closed_(std::move(on_closed)), promised_idle_time_(limits.idle_time),
      stream_(socket, *this) {
    stream_.set_read_buffer(header_buffer_bytes);
}

void server_connection::stream_readable() {
    process();
}

void server_connection::stream_writable() {
    const auto self = shared_from_this();
    last_progress_ = clock::now();
    if (phase_ == phase::lingering) {
        if (stream_.unsent() == 0) {
            stream_.shut_down_sending();
        }
        return;
    }
    if (request_open()) {
        handler_.answer_writable(*this);
    }
}

void server_connection::stream_closed() {
    const auto self = shared_from_this();
    end_connection(stream_.error().empty() ? "closed_by_caller" : stream_.error());
}

void server_connection::end_connection(std::string cause) {
    if (phase_ == phase::closed) {
        return;
    }
    const bool was_open = request_open();
    if (phase_ != phase::lingering) {
        end_cause_ = std::move(cause);
    }
    phase_ = phase::closed;
    stream_.abort();
    if (was_open) {
        handler_.caller_left(*this);
    }
    if (discarded_ > 0) {
        handler_.bytes_discarded(*this, discarded_);
    }
    on_closed_(*this);
}

bool server_connection::request_open() const {
    return phase_ == phase::body || phase_ == phase::answering;
}

void server_connection::process() {
    const auto self = shared_from_this();
    while (step()) {
    }
    flush();
}

bool server_connection::step() {
    switch (phase_) {
    case phase::waiting:
        return step_waiting();
    case phase::header:
        return step_header();
    case phase::body:
        return step_body();
    case phase::lingering:
        discarded_ += stream_.input().size();
        stream_.input().consume(stream_.input().size());
        if (discarded_ > linger_bytes) {
            end_connection("too_many_bytes_after_answer");
            return false;
        }
        return stream_.fetch();
    case phase::answering:
    case phase::closed:
        return false;
    }
    return false;
}

bool server_connection::step_waiting() {
    auto& input = stream_.input();
    if (input.size() == 0 && !stream_.fetch()) {
        return false;
    }
    // Empty lines between requests are allowed (RFC 9112, 2.2).
    const char first = *static_cast<const char*>(input.data().data());
    if (first == '\r' || first == '\n') {
        input.consume(1);
        return true;
    }
    reader_.reset();
    last_progress_ = clock::now();
    phase_ = phase::header;
    return true;
}

bool server_connection::step_header() {
    switch (reader_.read_header(stream_.input())) {
    case read_step::need_more:
        return stream_.fetch();
    case read_step::progress:
        accept_header();
        return true;
    case read_step::too_large:
        reject(431, base::result_code::request_header_too_large, "the header is above 16 KiB");
        return false;
    case read_step::malformed:
        reject(400, base::result_code::request_malformed, "the request is not valid HTTP/1.1");
        return false;
    }
    return false;
}

void server_connection::accept_header() {
    const auto& header = reader_.message();
    is_http_1_0_ = header.version() < 11;
    head_request_ = header.method() == boost::beast::http::verb::head;
    keep_alive_ = reader_.keep_alive();
    expects_continue_ =
        !is_http_1_0_ && boost::beast::iequals(header[boost::beast::http::field::expect], "100-continue");
    body_paused_ = false;
    answer_started_ = false;
    body_received_ = 0;
    body_limit_ = limits_.body_bytes;
    const auto hosts = header.count(boost::beast::http::field::host);
    if (has_ambiguous_framing(header) || (is_http_1_0_ && reader_.chunked())) {
        reject(400, base::result_code::request_malformed, "the length of the body is ambiguous");
        return;
    }
    if (hosts > 1 || (hosts == 0 && !is_http_1_0_)) {
        reject(400, base::result_code::request_malformed, "exactly one Host field is needed");
        return;
    }
    declared_length_ = content_length(header).value_or(0);
    if (declared_length_ > body_limit_) {
        reject(413, base::result_code::request_body_too_large, "the body is above the limit");
        return;
    }
    framing_ = reader_.chunked()                                              ? body_framing::chunked
               : header.count(boost::beast::http::field::content_length) == 1 ? body_framing::length
                                                                              : body_framing::none;
    request_complete_ = reader_.complete();
    last_progress_ = clock::now();
    phase_ = request_complete_ ? phase::answering : phase::body;
    if (!request_complete_) {
        stream_.set_read_buffer(stream_buffer_bytes);
    }
    handler_.request_started(*this);
    if (request_complete_ && request_open()) {
        handler_.request_body_ended(*this);
    }
}

bool server_connection::step_body() {
    if (body_paused_) {
        return false;
    }
    const auto result = reader_.read_body(stream_.input());
    if (result == read_step::malformed || result == read_step::too_large) {
        fail_body(400, base::result_code::request_malformed, "the body is not valid chunked data");
        return false;
    }
    auto& bytes = reader_.body();
    if (!bytes.empty()) {
        body_received_ += bytes.size();
        if (body_received_ > body_limit_) {
            fail_body(413, base::result_code::request_body_too_large, "the body is above the limit");
            return false;
        }
        last_progress_ = clock::now();
        handler_.request_body(*this, bytes);
        bytes.clear();
    }
    if (phase_ != phase::body) {
        return true;
    }
    if (reader_.complete()) {
        end_request_body();
        return true;
    }
    return result == read_step::progress || stream_.fetch();
}

void server_connection::end_request_body() {
    request_complete_ = true;
    last_progress_ = clock::now();
    phase_ = phase::answering;
    stream_.set_read_buffer(header_buffer_bytes);
    handler_.request_body_ended(*this);
}

void server_connection::reject(int status, base::result_code code, std::string_view message) {
    request_complete_ = false;
    answer_started_ = false;
    // After an error in the header the method is unknown. A body sent in answer to HEAD does no harm, as the connection
    // closes.
    head_request_ = false;
    answer_error(status, code, message, outcome_not_run_line);
    flush();
}

void server_connection::fail_body(int status, base::result_code code, std::string_view message) {
    if (answer_started_) {
        end_connection("body_rejected_after_answer");
        return;
    }
    end_cause_ = base::name_of(code);
    // Part of the body may have reached a backend server.
    answer_error(status, code, message, outcome_unknown_line);
    flush();
    handler_.caller_left(*this);
}

void server_connection::resume_body() {
    if (!body_paused_) {
        return;
    }
    body_paused_ = false;
    last_progress_ = clock::now();
    stream_.post([this] { process(); });
}

void server_connection::send_continue() {
    if (!expects_continue_ || answer_started_ || request_complete_) {
        return;
    }
    expects_continue_ = false;
    if (body_received_ == 0) {
        stream_.write("HTTP/1.1 100 Continue\r\n\r\n");
    }
}

void server_connection::start_answer(int status, std::string_view reason, std::string_view lines, body_framing framing,
                                     std::uint64_t length) {
    answer_started_ = true;
    promised_idle_time_ = limits_.idle_time;
    const bool without_body = status == 204 || status == 304 || head_request_;
    answer_framing_ = framing;
    if (framing == body_framing::until_close || (framing == body_framing::chunked && is_http_1_0_)) {
        answer_framing_ = is_http_1_0_ ? body_framing::until_close : body_framing::chunked;
    }
    if (!request_complete_ || finishing_ || close_announced_ ||
        (answer_framing_ == body_framing::until_close && !without_body)) {
        keep_alive_ = false;
    }
    output_.append("HTTP/1.1 ").append(std::to_string(status)).append(" ").append(reason).append("\r\n").append(lines);
    if (answer_framing_ == body_framing::length && status != 204) {
        append_field(output_, "content-length", length);
    }
    if (answer_framing_ == body_framing::chunked && status != 204 && status != 304) {
        append_field(output_, "transfer-encoding", "chunked");
    }
    if (!keep_alive_) {
        append_field(output_, "connection", "close");
    } else if (is_http_1_0_) {
        append_field(output_, "connection", "keep-alive");
    }
    const auto idle_time = stated_idle_time(promised_idle_time_);
    if (keep_alive_ && idle_time.count() > 0) {
        append_field(output_, "keep-alive", "timeout=" + std::to_string(idle_time.count()));
    }
    output_.append("\r\n");
    if (without_body) {
        answer_framing_ = body_framing::none;
    }
}

void server_connection::answer_body(std::string_view bytes) {
    switch (answer_framing_) {
    case body_framing::none:
        return;
    case body_framing::length:
    case body_framing::until_close:
        output_.append(bytes);
        return;
    case body_framing::chunked:
        append_chunk(output_, bytes);
        return;
    }
}

void server_connection::end_answer() {
    if (phase_ == phase::closed) {
        return;
    }
    if (answer_framing_ == body_framing::chunked) {
        output_.append(last_chunk);
    }
    flush();
    if (phase_ == phase::closed) {
        return;
    }
    // An answer that was begun before finish() has not announced a close, so the caller may send its next request.
    if (!keep_alive_ || !request_complete_) {
        linger();
        return;
    }
    next_request();
}

void server_connection::next_request() {
    phase_ = phase::waiting;
    last_progress_ = clock::now();
    if (stream_.has_received()) {
        stream_.post([this] { process(); });
    }
}

void server_connection::answer_error(int status, base::result_code code, std::string_view message,
                                     std::string_view lines) {
    const std::string body = error_body(code, message);
    std::string all_lines(lines);
    append_field(all_lines, "lovagetack-code", static_cast<std::uint64_t>(code));
    append_field(all_lines, "content-type", "application/json");
    start_answer(status, reason_of(status), all_lines, body_framing::length, body.size());
    answer_body(body);
    end_answer();
}

void server_connection::flush() {
    if (output_.empty()) {
        return;
    }
    if (phase_ != phase::closed) {
        stream_.write(output_);
    }
    output_.clear();
}

void server_connection::linger() {
    end_cause_ = "after an answer that announced it";
    last_progress_ = clock::now();
    // Closing a socket with unread input resets the connection, and the caller could lose the answer.
    phase_ = phase::lingering;
    if (stream_.unsent() == 0) {
        stream_.shut_down_sending();
    }
    stream_.post([this] { process(); });
}

void server_connection::close_unread() {
    phase_ = phase::closed;
    stream_.close_at_once();
    on_closed_(*this);
}

void server_connection::abort() {
    const auto self = shared_from_this();
    if (phase_ == phase::closed) {
        return;
    }
    phase_ = phase::closed;
    stream_.abort();
    on_closed_(*this);
}

void server_connection::shed(std::string cause) {
    const auto self = shared_from_this();
    end_connection(std::move(cause));
}

void server_connection::close() {
    const auto self = shared_from_this();
    if (phase_ == phase::closed) {
        return;
    }
    if (request_open() || stream_.unsent() > 0) {
        abort();
        return;
    }
    close_unread();
}

void server_connection::finish() {
    finishing_ = true;
    last_progress_ = clock::now();
}

void server_connection::refuse_connection() {
    // The request is not read.
    phase_ = phase::answering;
    answer_error(503, base::result_code::request_too_many_connections, "the instance has too many connections",
                 "lovagetack-outcome: not-run\r\nretry-after: 1\r\n");
}

std::chrono::milliseconds server_connection::longest_wait() const {
    // A caller that has not heard of a shorter idle time may still send a request.
    return finishing_ ? limits_.stop_grace : std::max(promised_idle_time_, limits_.idle_time);
}

void server_connection::check_time(clock::time_point now) {
    const auto self = shared_from_this();
    const auto sent = stream_.sent();
    if (sent != std::exchange(last_sent_, sent)) {
        last_progress_ = std::max(last_progress_, now);
    }
    const auto waited = now - last_progress_;
    switch (phase_) {
    case phase::waiting:
        if (stream_.unsent() > 0) {
            // The caller has not received the whole last answer yet.
            if (waited > limits_.idle_time) {
                end_connection("answer_not_read");
            }
            return;
        }
        // A request that has already arrived is read first.
        if (waited > longest_wait() && !stream_.has_unread()) {
            close_unread();
        }
        return;
    case phase::header:
        if (waited > limits_.header_time) {
            reject(408, base::result_code::request_header_timeout, "the header took too long");
        }
        return;
    case phase::body:
        if (!body_paused_ && waited > limits_.idle_time) {
            fail_body(408, base::result_code::request_header_timeout, "the body took too long");
        }
        return;
    case phase::answering:
        // Without unsent bytes the connection waits for the handler's answer, which the deadline of the request bounds.
        if (stream_.unsent() > 0 && waited > limits_.idle_time) {
            end_connection("answer_not_read");
        }
        return;
    case phase::lingering:
        if (waited > (stream_.unsent() > 0 ? limits_.idle_time : limits_.linger_time)) {
            if (stream_.unsent() == 0) {
                // A reset would discard what the kernel has not sent yet.
                stream_.close_at_once();
            }
            end_connection("linger_time_over");
        }
        return;
    case phase::closed:
        return;
    }
}

} // namespace lovagetack::http
