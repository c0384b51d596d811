#include "requests/latency_window.hpp"

#include <algorithm>

namespace lovagetack::requests {

void latency_window::add(std::chrono::microseconds latency) {
    average_ = samples_.empty() ? latency : average_ + (latency - average_) / 8;
    if (samples_.size() < capacity_) {
        samples_.push_back(latency);
    } else {
        samples_[next_] = latency;
        next_ = (next_ + 1) % capacity_;
    }
    since_refresh_ += 1;
    if (since_refresh_ >= refresh_ || samples_.size() <= refresh_) {
        compute();
    }
}

void latency_window::clear() {
    *this = latency_window(capacity_, refresh_);
}

void latency_window::compute() {
    since_refresh_ = 0;
    auto sorted = samples_;
    std::sort(sorted.begin(), sorted.end());
    median_ = sorted[sorted.size() / 2];
    percentile_99_ = sorted[sorted.size() * 99 / 100];
}

} // namespace lovagetack::requests
