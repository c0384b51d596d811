#include "service/attempt.hpp"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <utility>

#include "http/error_body.hpp"
#include "http/header_rules.hpp"
#include "service/request_text.hpp"

namespace lovagetack::service {
namespace {

/// Bodies that are not forwarded are read up to this size to keep the connection reusable; longer ones close it.
constexpr std::size_t maximum_discarded_body_bytes = std::size_t(64) * 1024;

std::int32_t parse_number_or(std::string_view text, std::int32_t fallback) {
    std::int32_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    return !text.empty() && error == std::errc() && end == text.data() + text.size() ? number : fallback;
}

} // namespace

attempt::attempt(owner& executor, exchange& request, requests::start_attempt effect, http::connection_pool& pool)
    : owner_(executor), exchange_(request), effect_(std::move(effect)), pool_(pool) {
    ended_.exchange = effect_.exchange;
    ended_.attempt = effect_.attempt;
}

attempt::~attempt() {
    pool_.forget(*this);
    if (connection_) {
        connection_->abort();
        release();
    }
}

void attempt::begin() {
    pool_.acquire(*this, effect_.fresh_connection);
}

void attempt::connection_ready(const std::shared_ptr<http::client_connection>& connection) {
    connection_ = connection;
    std::string text;
    text.reserve(exchange_.head.size() + exchange_.resend_buffer.size() + 512);
    text.append(exchange_.head);
    append_attempt_fields(text, effect_, exchange_.key, owner_.instance());
    if (exchange_.chunked) {
        http::append_chunk(text, exchange_.resend_buffer);
        text.append(exchange_.body_complete ? http::last_chunk : std::string_view());
    } else {
        text.append(exchange_.resend_buffer);
    }
    ended_.bytes_sent = true;
    connection_->start(*this, exchange_.is_head, text);
    ended_.reused_connection = connection_->was_used_before();
    owner_.report(requests::attempt_sending{effect_.exchange, effect_.attempt});
    if (exchange_.body_complete) {
        connection_->end_request();
        return;
    }
    if (exchange_.caller) {
        exchange_.caller->send_continue();
        exchange_.caller->resume_body();
    }
}

void attempt::connection_failed() {
    end(requests::attempt_outcome::connect_failed);
}

void attempt::send_body(std::string_view bytes) {
    if (!exchange_.chunked) {
        connection_->write(bytes);
        return;
    }
    std::string text;
    http::append_chunk(text, bytes);
    connection_->write(text);
}

void attempt::end_body() {
    if (exchange_.chunked) {
        connection_->write(http::last_chunk);
    }
    connection_->end_request();
}

void attempt::request_writable() {
    if (exchange_.caller && !exchange_.body_complete) {
        exchange_.caller->resume_body();
    }
}

attempt::disposition attempt::disposition_of(const http::client_connection::answer& header) const {
    const auto outcome = http::value_of(header, "lovagetack-outcome");
    const auto status = header.result_int();
    if (effect_.relay_to.empty()) {
        return outcome == "not-run" && (status == 421 || status == 503) ? disposition::refused : disposition::forward;
    }
    if (outcome == "not-run") {
        return disposition::refused;
    }
    if (outcome == "unknown") {
        return disposition::outcome_unknown;
    }
    return outcome == "failed" ? disposition::relay_failed : disposition::forward;
}

void attempt::note_answer(const http::client_connection::answer& header) {
    ended_.status = static_cast<std::int32_t>(header.result_int());
    if (!effect_.relay_to.empty()) {
        ended_.queue_at_home = parse_number_or(http::value_of(header, "lovagetack-queue"), -1);
    }
    if (disposition_ == disposition::forward) {
        return;
    }
    ended_.code = parse_number_or(http::value_of(header, "lovagetack-code"), 0);
    const auto retry = parse_number_or(http::value_of(header, boost::beast::http::field::retry_after), 0);
    ended_.retry_after = std::chrono::seconds(std::max(retry, 0));
}

void attempt::answer_started(const http::client_connection::answer& header, bool chunked, bool has_body) {
    disposition_ = disposition_of(header);
    note_answer(header);
    if (disposition_ != disposition::forward) {
        return;
    }
    if (!exchange_.caller || exchange_.caller->answer_started()) {
        disposition_ = disposition::discard;
        return;
    }
    forward_header(header, chunked, has_body);
}

void attempt::forward_header(const http::client_connection::answer& header, bool chunked, bool has_body) {
    const auto length = http::content_length(header);
    auto framing = http::body_framing::none;
    if (chunked) {
        framing = http::body_framing::chunked;
    } else if (length) {
        framing = http::body_framing::length;
    } else if (has_body) {
        framing = http::body_framing::until_close;
    }
    const auto reason = header.reason();
    exchange_.caller->start_answer(ended_.status, {reason.data(), reason.size()},
                                   answer_fields(header, !effect_.relay_to.empty()) + owner_.queue_field(exchange_),
                                   framing, length.value_or(0));
    owner_.report(requests::attempt_answering{effect_.exchange, effect_.attempt, ended_.status});
}

void attempt::answer_body(std::string_view bytes) {
    if (disposition_ == disposition::forward && exchange_.caller) {
        exchange_.caller->answer_body(bytes);
        if (exchange_.caller->unsent() >= http::stream_buffer_bytes) {
            exchange_.caller->flush();
        }
        if (exchange_.caller->unsent() >= http::stream_buffer_bytes) {
            connection_->pause_answer();
        }
        return;
    }
    discarded_ += bytes.size();
    if (discarded_ > maximum_discarded_body_bytes) {
        connection_->abort();
        end(outcome_of_whole());
    }
}

void attempt::answer_pause() {
    if (disposition_ == disposition::forward && exchange_.caller) {
        exchange_.caller->flush();
    }
}

void attempt::caller_writable() {
    if (connection_) {
        connection_->resume_answer();
    }
}

requests::attempt_outcome attempt::outcome_of_whole() const {
    switch (disposition_) {
    case disposition::refused:
        return requests::attempt_outcome::refused;
    case disposition::outcome_unknown:
        return requests::attempt_outcome::outcome_unknown;
    case disposition::relay_failed:
        return requests::attempt_outcome::relay_failed;
    case disposition::forward:
    case disposition::discard:
        return requests::attempt_outcome::completed;
    }
    return requests::attempt_outcome::completed;
}

void attempt::answer_ended() {
    if (disposition_ == disposition::forward && exchange_.caller) {
        const auto caller = std::exchange(exchange_.caller, nullptr);
        caller->set_tag(0);
        caller->end_answer();
    }
    end(outcome_of_whole());
}

void attempt::answer_failed(http::client_connection::failure reason) {
    using failure = http::client_connection::failure;
    const bool header_seen = ended_.status != 0;
    if (header_seen && disposition_ != disposition::forward && disposition_ != disposition::discard) {
        // The header already determined the outcome.
        end(outcome_of_whole());
        return;
    }
    if (header_seen && disposition_ == disposition::forward && exchange_.caller) {
        const auto caller = std::exchange(exchange_.caller, nullptr);
        caller->set_tag(0);
        caller->flush();
        caller->abort();
    }
    switch (reason) {
    case failure::connection_lost:
        end(requests::attempt_outcome::connection_lost);
        return;
    case failure::cut_short:
        end(requests::attempt_outcome::cut_short);
        return;
    case failure::malformed:
        end(header_seen ? requests::attempt_outcome::cut_short : requests::attempt_outcome::malformed);
        return;
    }
}

void attempt::end(requests::attempt_outcome outcome) {
    ended_.outcome = outcome;
    ended_.can_resend = !exchange_.overflowed;
    release();
    const auto event = ended_;
    owner_.attempt_over(exchange_, event);
}

void attempt::release() {
    if (connection_) {
        pool_.release(std::exchange(connection_, nullptr));
    }
}

} // namespace lovagetack::service
