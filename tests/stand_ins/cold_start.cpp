#include "stand_ins/cold_start.hpp"

#include <algorithm>

namespace lovagetack::stand_ins {

namespace {

constexpr std::chrono::seconds rate_window(1);

} // namespace

bool cold_start::record_arrival(base::boot_time now, const backend_settings& settings) {
    if (!cold_) {
        return true;
    }
    while (!arrivals_.empty() && now - arrivals_.front() >= rate_window) {
        arrivals_.pop_front();
    }
    arrivals_.push_back(now);
    return static_cast<std::int64_t>(arrivals_.size()) <= sustainable_rate(settings);
}

void cold_start::answered(const backend_settings& settings) {
    if (!cold_ || ++answered_ < settings.cold_requests) {
        return;
    }
    cold_ = false;
    arrivals_.clear();
}

std::int64_t cold_start::sustainable_rate(const backend_settings& settings) const {
    const std::int64_t growth = settings.cold_full_rate - settings.cold_first_rate;
    return settings.cold_first_rate + growth * answered_ / std::max(settings.cold_requests, 1);
}

} // namespace lovagetack::stand_ins
