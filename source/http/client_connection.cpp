#include "http/client_connection.hpp"

#include <charconv>
#include <utility>

#include "http/header_rules.hpp"

namespace lovagetack::http {
namespace {

/// Statuses outside this range are none (RFC 9110, 15).
constexpr unsigned least_status = 100;
constexpr unsigned most_status = 599;
/// Most interim answers (1xx) to one request; servers send one or two.
constexpr int most_interim_answers = 16;

} // namespace

client_connection::client_connection(const model::address& address, owner callbacks)
    : owner_(std::move(callbacks)), stream_(new QTcpSocket, *this) {
    stream_.connect_to(address);
}

void client_connection::stream_connected() {
    const auto self = shared_from_this();
    phase_ = phase::idle;
    state_since_ = clock::now();
    owner_.opened(*this);
}

void client_connection::stream_readable() {
    process();
}

void client_connection::stream_writable() {
    const auto self = shared_from_this();
    if (handler_ != nullptr) {
        handler_->request_writable();
    }
}

void client_connection::stream_closed() {
    const auto self = shared_from_this();
    if (phase_ == phase::opening || phase_ == phase::idle) {
        phase_ = phase::closed;
        owner_.ended(*this);
        return;
    }
    process();
}

void client_connection::start(handler& answers, bool is_head, std::string_view bytes) {
    handler_ = &answers;
    is_head_ = is_head;
    request_written_ = false;
    paused_ = false;
    interim_answers_ = 0;
    ++requests_;
    reader_.reset(is_head_);
    phase_ = phase::header;
    stream_.write(bytes);
}

void client_connection::resume_answer() {
    if (!std::exchange(paused_, false)) {
        return;
    }
    stream_.post([this] { process(); });
}

void client_connection::process() {
    const auto self = shared_from_this();
    if (phase_ == phase::idle) {
        if (!stream_.has_received()) {
            return;
        }
        // Bytes received between requests could not be distinguished from the next answer.
        phase_ = phase::closed;
        stream_.abort();
        owner_.ended(*this);
        return;
    }
    while (step()) {
    }
    if (handler_ != nullptr) {
        handler_->answer_pause();
    }
}

bool client_connection::step() {
    if (paused_) {
        return false;
    }
    switch (phase_) {
    case phase::header:
        return step_header();
    case phase::body:
        return step_body();
    case phase::opening:
    case phase::idle:
    case phase::closed:
        return false;
    }
    return false;
}

bool client_connection::fetch_more() {
    if (stream_.fetch()) {
        return true;
    }
    if (!stream_.is_closed()) {
        return false;
    }
    if (phase_ == phase::header || skipping_answer_) {
        fail(failure::connection_lost);
        return false;
    }
    if (stream_.closed_by_peer() && reader_.finish_at_eof()) {
        end_answer();
        return false;
    }
    fail(failure::cut_short);
    return false;
}

bool client_connection::step_header() {
    const auto result = reader_.read_header(stream_.input());
    if (result == read_step::need_more) {
        return fetch_more();
    }
    if (result != read_step::progress || has_ambiguous_framing(reader_.message())) {
        fail(failure::malformed);
        return false;
    }
    const auto status = reader_.message().result_int();
    // No upgrade was requested, so 101 is no answer either.
    if (status < least_status || status > most_status || status == 101) {
        fail(failure::malformed);
        return false;
    }
    if (status < 200) {
        if (++interim_answers_ > most_interim_answers) {
            fail(failure::malformed);
            return false;
        }
        reader_.reset(is_head_);
        return true;
    }
    parse_keep_alive_field();
    phase_ = phase::body;
    const bool has_body = !reader_.complete();
    if (has_body && !reader_.chunked() && !content_length(reader_.message())) {
        stream_.enable_reset_detection();
    }
    skipping_answer_ = !handler_->is_own_answer(reader_.message());
    if (skipping_answer_) {
        received_unmatched_answer_ = true;
        return skip_answer_body();
    }
    handler_->answer_started(reader_.message(), reader_.chunked(), has_body);
    if (phase_ == phase::body && !has_body) {
        end_answer();
        return false;
    }
    return true;
}

bool client_connection::skip_answer_body() {
    reader_.body().clear();
    if (!reader_.complete()) {
        return true;
    }
    skipping_answer_ = false;
    reader_.reset(is_head_);
    phase_ = phase::header;
    return true;
}

void client_connection::parse_keep_alive_field() {
    constexpr std::string_view parameter = "timeout=";
    const auto text = value_of(reader_.message(), boost::beast::http::field::keep_alive);
    const auto at = text.find(parameter);
    if (at == std::string_view::npos) {
        return;
    }
    const auto digits = text.substr(at + parameter.size());
    std::int64_t seconds = 0;
    if (std::from_chars(digits.data(), digits.data() + digits.size(), seconds).ec == std::errc()) {
        keep_alive_time_ = std::chrono::seconds(seconds);
    }
}

bool client_connection::step_body() {
    const auto result = reader_.read_body(stream_.input());
    if (result == read_step::malformed || result == read_step::too_large) {
        fail(failure::malformed);
        return false;
    }
    if (skipping_answer_) {
        if (reader_.complete()) {
            return skip_answer_body();
        }
        reader_.body().clear();
        return result == read_step::progress || fetch_more();
    }
    auto& bytes = reader_.body();
    if (!bytes.empty()) {
        handler_->answer_body(bytes);
        bytes.clear();
    }
    if (phase_ != phase::body) {
        return false;
    }
    if (reader_.complete()) {
        end_answer();
        return false;
    }
    return result == read_step::progress || fetch_more();
}

void client_connection::end_answer() {
    const bool reusable = !received_unmatched_answer_ && reader_.keep_alive() && request_written_ &&
                          !stream_.is_closed() && stream_.unsent() == 0 && !stream_.has_received();
    const auto answers = std::exchange(handler_, nullptr);
    state_since_ = clock::now();
    phase_ = reusable ? phase::idle : phase::closed;
    if (!reusable) {
        stream_.abort();
    }
    answers->answer_ended();
}

void client_connection::fail(failure reason) {
    const auto answers = std::exchange(handler_, nullptr);
    phase_ = phase::closed;
    stream_.abort();
    answers->answer_failed(reason);
}

void client_connection::abort() {
    handler_ = nullptr;
    phase_ = phase::closed;
    stream_.abort();
}

} // namespace lovagetack::http
