#include "http/call.hpp"

#include <algorithm>
#include <utility>

namespace lovagetack::http {

call::call(connection_pool& pool, std::string text, std::chrono::milliseconds timeout, done_function done)
    : call(pool, std::move(text), timeout, timeout, std::move(done)) {}

call::call(connection_pool& pool, std::string text, std::chrono::milliseconds timeout,
           std::chrono::milliseconds longest, done_function done)
    : pool_(pool), text_(std::move(text)), done_(std::move(done)), timeout_(timeout),
      latest_end_(base::boot_clock::now() + longest), latest_start_(base::boot_clock::now() + timeout) {
    timer_.setSingleShot(true);
    // Qt's default timers fire up to 5% early, and an answer in that time would count as lost.
    timer_.setTimerType(Qt::PreciseTimer);
    QObject::connect(&timer_, &QTimer::timeout, &timer_, [this] {
        result_.status = 0;
        end();
    });
    start_timer();
}

void call::start_timer() {
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(latest_end_ - base::boot_clock::now());
    timer_.start(std::clamp(left, std::chrono::milliseconds(0), timeout_));
}

call::~call() {
    pool_.forget(*this);
    release_connection();
}

void call::connection_ready(const std::shared_ptr<client_connection>& connection) {
    connection_ = connection;
    if (base::boot_clock::now() >= latest_start_) {
        end();
        return;
    }
    result_.sent = true;
    connection_->start(*this, false, text_);
    connection_->end_request();
}

void call::answer_started(const client_connection::answer& header, bool /*chunked*/, bool /*has_body*/) {
    result_.status = static_cast<int>(header.result_int());
    result_.header = header.base();
    start_timer();
}

void call::answer_body(std::string_view bytes) {
    result_.body.append(bytes);
    start_timer();
    if (result_.body.size() > longest_body_bytes) {
        result_.status = 0;
        connection_->abort();
        end();
    }
}

void call::answer_ended() {
    end();
}

void call::answer_failed(client_connection::failure /*reason*/) {
    result_.status = 0;
    end();
}

void call::release_connection() {
    if (!connection_) {
        return;
    }
    const auto connection = std::exchange(connection_, nullptr);
    if (!connection->is_idle() || use_ == connection_use::own) {
        connection->abort();
    }
    pool_.release(connection);
}

void call::end() {
    timer_.stop();
    pool_.forget(*this);
    release_connection();
    if (done_) {
        const auto done = std::exchange(done_, nullptr);
        const auto result = std::move(result_);
        done(result);
    }
}

} // namespace lovagetack::http
