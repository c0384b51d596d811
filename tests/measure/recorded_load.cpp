#include "measure/recorded_load.hpp"

#include <algorithm>
#include <thread>
#include <utility>

#include <QHostAddress>
#include <QString>

namespace lovagetack::measure {

namespace {

constexpr std::chrono::seconds answer_limit(4);

model::address address_of(const std::string& text) {
    const auto colon = text.rfind(':');
    return {text.substr(0, colon), static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1)))};
}

} // namespace

recorded_load::recorded_load(recorded_plan plan) : plan_(std::move(plan)) {
    for (const auto& target : plan_.targets) {
        pools_.push_back(std::make_unique<http::connection_pool>(address_of(target), plan_.connections));
    }
    send_timer_.setTimerType(Qt::PreciseTimer);
    QObject::connect(&send_timer_, &QTimer::timeout, &send_timer_, [this] { send_due(); });
    QObject::connect(&check_timer_, &QTimer::timeout, &check_timer_, [this] { check_times(); });
}

recorded_load::~recorded_load() {
    requests_.clear();
}

std::vector<recorded_answer> recorded_load::run(const std::function<void()>& script) {
    start_ = clock::now();
    boot_start_ = base::boot_clock::now();
    send_timer_.start(std::chrono::milliseconds(1));
    check_timer_.start(std::chrono::milliseconds(50));
    std::thread scripted([&] { script(); });
    loop_.exec();
    scripted.join();
    return std::move(answers_);
}

double recorded_load::now() const {
    return std::chrono::duration<double>(clock::now() - start_).count();
}

void recorded_load::send_due() {
    if (clock::now() >= start_ + plan_.duration) {
        send_timer_.stop();
        return;
    }
    const auto due = static_cast<std::uint64_t>(now() * plan_.rate);
    while (sent_ < due) {
        const std::chrono::duration<double> planned(static_cast<double>(sent_) / plan_.rate);
        send(start_ + std::chrono::duration_cast<clock::duration>(planned));
    }
}

void recorded_load::send(clock::time_point planned) {
    if (unused_.empty()) {
        requests_.push_back(
            std::make_unique<load::load_request>([this](load::load_request& request, const load::load_answer& answer) {
                const double answered = now();
                const double taken = std::chrono::duration<double>(answer.latency).count();
                answers_.push_back({answered - taken, answered, answer.status, answer.outcome, answer.backend_server});
                --open_;
                unused_.push_back(&request);
            }));
        unused_.push_back(requests_.back().get());
    }
    auto* const request = unused_.back();
    unused_.pop_back();
    const auto number = sent_++;
    ++open_;
    request->send(*pools_[number % pools_.size()],
                  "GET " + plan_.path(number) + " HTTP/1.1\r\nHost: load\r\nlovagetack-deadline-ms: 2000\r\n\r\n",
                  planned);
}

void recorded_load::check_times() {
    const auto time = clock::now();
    for (const auto& request : requests_) {
        request->check_time(time, answer_limit);
    }
    for (const auto& pool : pools_) {
        pool->check_times(time);
    }
    if (!send_timer_.isActive() && open_ == 0) {
        loop_.quit();
    }
}

double longest_gap(const std::vector<recorded_answer>& answers, double from, double end) {
    std::vector<double> times;
    for (const auto& answer : answers) {
        if (answer.succeeded()) {
            times.push_back(answer.answered);
        }
    }
    std::sort(times.begin(), times.end());
    double longest = 0;
    double last = 0;
    bool any_after = false;
    for (const double time : times) {
        if (time >= from && time <= end) {
            longest = std::max(longest, time - last);
            any_after = true;
        }
        if (time <= end) {
            last = time;
        }
    }
    return any_after ? std::max(longest, end - last) : end - last;
}

} // namespace lovagetack::measure
