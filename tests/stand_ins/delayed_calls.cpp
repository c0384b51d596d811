#include "stand_ins/delayed_calls.hpp"

#include <algorithm>
#include <utility>

namespace lovagetack::stand_ins {

delayed_calls::delayed_calls() {
    timer_.setSingleShot(true);
    timer_.setTimerType(Qt::PreciseTimer);
    QObject::connect(&timer_, &QTimer::timeout, &timer_, [this] { run_due(); });
}

void delayed_calls::call_at(base::boot_time due, std::function<void()> call) {
    const auto inserted = calls_.emplace(due, std::move(call));
    if (inserted == calls_.begin()) {
        schedule();
    }
}

void delayed_calls::call_after(std::chrono::microseconds delay, std::function<void()> call) {
    call_at(base::boot_clock::now() + delay, std::move(call));
}

void delayed_calls::run_due() {
    const auto now = base::boot_clock::now();
    while (!calls_.empty() && calls_.begin()->first <= now) {
        const auto call = std::move(calls_.begin()->second);
        calls_.erase(calls_.begin());
        call();
    }
    schedule();
}

void delayed_calls::schedule() {
    if (calls_.empty()) {
        return;
    }
    const auto remaining = calls_.begin()->first - base::boot_clock::now();
    timer_.start(std::max(std::chrono::ceil<std::chrono::milliseconds>(remaining), std::chrono::milliseconds(0)));
}

} // namespace lovagetack::stand_ins
