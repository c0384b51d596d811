#include "gateway/attempt.hpp"

#include <algorithm>
#include <utility>

#include "http/error_body.hpp"
#include "http/header_rules.hpp"

namespace lovagetack::gateway {
namespace {

/// A request that must not be sent twice reuses only a connection that was used within this time: the longer a
/// connection has been idle, the likelier the server has closed it.
constexpr auto recent_use = std::chrono::milliseconds(2500);

/// HTTP status 421, Misdirected Request.
constexpr int misdirected = 421;

bool is_refusal(routing::attempt_outcome outcome) {
    using routing::attempt_outcome;
    return outcome == attempt_outcome::not_run || outcome == attempt_outcome::no_key ||
           outcome == attempt_outcome::wrong_server;
}

} // namespace

attempt::attempt(owner& relay, exchange& request, routing::send_request effect, http::connection_pool& pool,
                 const dialect_port& dialect)
    : owner_(relay), exchange_(request), effect_(std::move(effect)), pool_(pool), dialect_(dialect) {
    ended_event_.exchange = effect_.exchange;
    ended_event_.attempt = effect_.attempt;
}

attempt::~attempt() {
    drop();
}

void attempt::drop() {
    finished_ = true;
    pool_.forget(*this);
    if (connection_) {
        connection_->abort();
        release();
    }
}

void attempt::begin() {
    // A faulty server may repeat a refusal late. On the same connection the repeat, which has the same request id,
    // would be taken for the answer to this attempt.
    const bool was_refused_here = std::find(exchange_.refused_at.begin(), exchange_.refused_at.end(),
                                            effect_.address) != exchange_.refused_at.end();
    pool_.acquire(*this, was_refused_here, effect_.at_most_once ? recent_use : http::connection_pool::idle_time);
}

void attempt::connection_ready(const std::shared_ptr<http::client_connection>& connection) {
    connection_ = connection;
    std::string text;
    const auto first_part = exchange_.body.part(0);
    text.reserve(exchange_.head.size() + first_part.size() + 256);
    text.append(exchange_.head);
    if (!effect_.account) {
        text.append(exchange_.account_fields);
    }
    dialect_.append_attempt_fields(text, effect_);
    if (exchange_.has_body) {
        http::append_field(text, "Content-Length", exchange_.body.size());
    }
    text.append("\r\n").append(first_part);
    may_have_run_before_ = std::exchange(exchange_.may_have_run, true);
    connection_->start(*this, exchange_.is_head, text);
    send_body();
    ended_event_.reused_connection = connection_->was_used_before();
    owner_.attempt_sent({effect_.exchange, effect_.attempt});
}

void attempt::send_body() {
    if (!connection_ || next_part_ > exchange_.body.parts()) {
        return;
    }
    while (next_part_ < exchange_.body.parts()) {
        if (connection_->unsent() >= http::stream_buffer_bytes) {
            return;
        }
        connection_->write(exchange_.body.part(next_part_));
        ++next_part_;
    }
    ++next_part_;
    connection_->end_request();
}

void attempt::connection_failed() {
    end(routing::attempt_outcome::not_connected);
}

bool attempt::is_own_answer(const http::client_connection::answer& header) {
    const auto answered_request = dialect_.read(header).request;
    return answered_request.empty() || answered_request == exchange_.header.request;
}

void attempt::answer_started(const http::client_connection::answer& header, bool chunked, bool has_body) {
    header_received_ = true;
    header_ = dialect_.read(header);
    ended_event_.status = static_cast<int>(header.result_int());
    ended_event_.load = header_.load;
    answer_.status = ended_event_.status;
    answer_.reason = {header.reason().data(), header.reason().size()};
    answer_.lines = dialect_.answer_fields(header);
    const auto length = http::content_length(header);
    if (chunked) {
        framing_ = http::body_framing::chunked;
    } else if (length) {
        framing_ = http::body_framing::length;
    } else {
        framing_ = has_body ? http::body_framing::until_close : http::body_framing::none;
    }
    length_ = length.value_or(0);
    if (!header_.signals.empty() && !is_other_server()) {
        // Last, since this attempt may be dropped during the call.
        owner_.signals_received({effect_.exchange, effect_.attempt, header_.signals});
    }
}

void attempt::start_forwarding() {
    forwarding_ = true;
    if (exchange_.body.parts() > 1 && next_part_ > exchange_.body.parts()) {
        // The request cannot be repeated any more.
        exchange_.body.release();
        static_cast<void>(exchange_.request_charge.resize(exchange_.head.size()));
    }
    exchange_.caller->start_answer(answer_.status, answer_.reason, answer_.lines, framing_, length_);
}

void attempt::answer_body(std::string_view bytes) {
    body_bytes_ += bytes.size();
    if (!forwarding_) {
        answer_.body.append(bytes);
        const bool delivers = outcome_if_complete() == routing::attempt_outcome::delivered;
        if (!delivers && !keep_answer()) {
            // Bytes that are no answer may come without end.
            connection_->abort();
            end(routing::attempt_outcome::invalid_answer);
            return;
        }
        if (answer_.body.size() <= buffered_bytes_limit || !delivers) {
            return;
        }
        start_forwarding();
        owner_.answer_forwarding_started({effect_.exchange, effect_.attempt});
        bytes = answer_.body;
    }
    exchange_.caller->answer_body(bytes);
    answer_.body.clear();
    if (exchange_.caller->unsent() >= http::stream_buffer_bytes) {
        exchange_.caller->flush();
    }
    if (exchange_.caller->unsent() >= http::stream_buffer_bytes) {
        connection_->pause_answer();
    }
}

bool attempt::keep_answer() {
    const auto kept = exchange_.failure ? exchange_.failure->body.size() : 0;
    return answer_.body.size() <= stored_bytes_limit && exchange_.answer_charge.resize(kept + answer_.body.size());
}

void attempt::answer_pause() {
    if (forwarding_ && exchange_.caller) {
        exchange_.caller->flush();
    }
}

void attempt::caller_writable() {
    if (connection_) {
        connection_->resume_answer();
    }
}

routing::answer_progress attempt::progress() const {
    return {effect_.exchange, effect_.attempt, body_bytes_, connection_ && connection_->is_paused()};
}

bool attempt::may_refuse_earlier_request() const {
    // A request that may run twice can be sent again in any case.
    return effect_.at_most_once && ended_event_.reused_connection && header_.request.empty();
}

bool attempt::is_other_server() const {
    return !header_.server.empty() && header_.server != effect_.server.value();
}

routing::attempt_outcome attempt::outcome_if_complete() const {
    using routing::attempt_outcome;
    if ((answer_.status == misdirected || header_.not_run) && may_refuse_earlier_request()) {
        return attempt_outcome::invalid_answer;
    }
    if (answer_.status == misdirected) {
        return is_other_server() ? attempt_outcome::wrong_server : attempt_outcome::no_key;
    }
    if (header_.not_run) {
        return attempt_outcome::not_run;
    }
    if (!header_.is_signed || header_.encoded) {
        return attempt_outcome::invalid_answer;
    }
    return answer_.status >= 500 ? attempt_outcome::failed : attempt_outcome::delivered;
}

void attempt::answer_ended() {
    const auto outcome = outcome_if_complete();
    if (outcome == routing::attempt_outcome::delivered) {
        if (!forwarding_) {
            // The body is complete, so its length can be sent even if the server did not send it.
            if (framing_ == http::body_framing::chunked || framing_ == http::body_framing::until_close) {
                framing_ = http::body_framing::length;
                length_ = answer_.body.size();
            }
            start_forwarding();
            exchange_.caller->answer_body(answer_.body);
        }
        const auto caller = std::exchange(exchange_.caller, nullptr);
        caller->set_tag(0);
        caller->end_answer();
    } else if (outcome == routing::attempt_outcome::failed) {
        exchange_.failure = std::make_unique<stored_answer>(std::move(answer_));
    }
    end(outcome);
}

void attempt::answer_failed(http::client_connection::failure reason) {
    using failure = http::client_connection::failure;
    if (forwarding_) {
        const auto caller = std::exchange(exchange_.caller, nullptr);
        caller->set_tag(0);
        caller->flush();
        caller->abort();
        end(routing::attempt_outcome::cut_short);
        return;
    }
    if (header_received_) {
        const auto outcome = outcome_if_complete();
        if (outcome != routing::attempt_outcome::delivered && outcome != routing::attempt_outcome::failed) {
            // Status and header alone determine these outcomes.
            end(outcome);
            return;
        }
    }
    end(reason == failure::malformed ? routing::attempt_outcome::invalid_answer
                                     : routing::attempt_outcome::connection_lost);
}

void attempt::end(routing::attempt_outcome outcome) {
    if (std::exchange(finished_, true)) {
        return;
    }
    ended_event_.outcome = outcome;
    if (is_refusal(outcome)) {
        exchange_.refused_at.push_back(effect_.address);
        exchange_.may_have_run = may_have_run_before_;
    }
    // The connection may go to another request at once. The events of its start can end the exchange, so it must not be
    // accessed from here on.
    release();
    owner_.attempt_finished(ended_event_);
}

void attempt::release() {
    if (connection_) {
        pool_.release(std::exchange(connection_, nullptr));
    }
}

} // namespace lovagetack::gateway
