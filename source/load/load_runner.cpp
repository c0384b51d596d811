#include "load/load_runner.hpp"

#include <algorithm>
#include <utility>

namespace lovagetack::load {
namespace {

/// Time after the deadline of a request during which its answer is still awaited.
constexpr std::chrono::milliseconds answer_grace{1000};

} // namespace

load_runner::load_runner(load_plan plan) : plan_(std::move(plan)), keys_(plan_.key_count, plan_.skew, plan_.seed) {
    for (const auto& target : plan_.targets) {
        pools_.push_back(std::make_unique<http::connection_pool>(target, plan_.connections));
    }
    send_timer_.setTimerType(Qt::PreciseTimer);
    QObject::connect(&send_timer_, &QTimer::timeout, &send_timer_, [this] { send_due(); });
    QObject::connect(&check_timer_, &QTimer::timeout, &check_timer_, [this] { check_times(); });
}

load_runner::~load_runner() {
    requests_.clear();
}

load_report load_runner::run() {
    start_ = clock::now();
    end_ = start_ + plan_.warm_up + plan_.duration;
    last_success_ = start_ + plan_.warm_up;
    check_timer_.start(std::chrono::milliseconds(100));
    if (plan_.rate > 0) {
        send_timer_.start(std::chrono::milliseconds(1));
    } else {
        for (std::size_t count = 0; count < plan_.connections * pools_.size(); ++count) {
            send_next(start_);
        }
    }
    loop_.exec();
    report_.duration = std::chrono::duration_cast<std::chrono::microseconds>(plan_.duration);
    return std::move(report_);
}

void load_runner::send_due() {
    if (is_over()) {
        send_timer_.stop();
        return;
    }
    const double elapsed = std::chrono::duration<double>(clock::now() - start_).count();
    while (static_cast<double>(sent_) <= elapsed * plan_.rate) {
        const std::chrono::duration<double> planned(static_cast<double>(sent_) / plan_.rate);
        send_next(start_ + std::chrono::duration_cast<clock::duration>(planned));
    }
}

void load_runner::send_next(clock::time_point planned) {
    if (idle_requests_.empty()) {
        requests_.push_back(std::make_unique<load_request>(
            [this](load_request& request, const load_answer& answer) { answered(request, answer); }));
        idle_requests_.push_back(requests_.back().get());
    }
    load_request* const request = idle_requests_.back();
    idle_requests_.pop_back();
    auto& pool = *pools_[sent_ % pools_.size()];
    ++sent_;
    ++requests_in_flight_;
    request->send(pool, request_text(), planned);
}

void load_runner::answered(load_request& request, const load_answer& answer) {
    --requests_in_flight_;
    idle_requests_.push_back(&request);
    const auto now = clock::now();
    const auto measurement_start = start_ + plan_.warm_up;
    if (now >= measurement_start && now < end_) {
        const bool succeeded = answer.status >= 200 && answer.status < 400;
        ++report_.statuses[answer.status];
        if (!answer.outcome.empty()) {
            ++report_.outcomes[answer.outcome];
        }
        if (succeeded) {
            report_.latency.add(answer.latency);
            const auto gap = std::chrono::duration_cast<std::chrono::microseconds>(now - last_success_);
            report_.longest_gap = std::max(report_.longest_gap, gap);
            last_success_ = now;
        }
        if (succeeded && !answer.backend_server.empty()) {
            ++report_.backend_servers[answer.backend_server];
        }
    }
    // Sent from the event loop, because refused connections would otherwise cause a deep recursion.
    if (plan_.rate <= 0 && !is_over()) {
        QTimer::singleShot(0, &send_timer_, [this] { send_next(clock::now()); });
    }
}

std::string load_runner::request_text() {
    std::string text = plan_.method + " /" + plan_.service;
    if (plan_.key_count > 0) {
        const auto key = "key-" + std::to_string(keys_.next(hot_key_shift()));
        text += '/' + key;
    }
    text += plan_.path_end +
            " HTTP/1.1\r\nHost: load\r\nlovagetack-deadline-ms: " + std::to_string(plan_.deadline.count()) + "\r\n";
    if (plan_.body_bytes > 0) {
        text += "Content-Length: " + std::to_string(plan_.body_bytes) + "\r\n\r\n";
        text.append(plan_.body_bytes, 'x');
        return text;
    }
    return text + "\r\n";
}

std::uint32_t load_runner::hot_key_shift() const {
    if (plan_.hot_keys_change_after.count() == 0) {
        return 0;
    }
    // An odd stride spreads the new hot keys over the whole key space.
    constexpr std::uint32_t stride = 7919;
    const auto changes = (clock::now() - start_) / plan_.hot_keys_change_after;
    return static_cast<std::uint32_t>(changes) * stride;
}

void load_runner::check_times() {
    const auto now = clock::now();
    for (const auto& request : requests_) {
        request->check_time(now, plan_.deadline + answer_grace);
    }
    for (const auto& pool : pools_) {
        pool->check_times(now);
    }
    if (is_over() && (requests_in_flight_ == 0 || now > end_ + plan_.deadline + answer_grace)) {
        loop_.quit();
    }
}

} // namespace lovagetack::load
