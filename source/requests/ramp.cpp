#include "requests/ramp.hpp"

#include <algorithm>

#include "requests/limits.hpp"

namespace lovagetack::requests {

void ramp::reset(base::boot_time now) {
    // Tokens are carried over, so that repeated resets do not give a cold server more than its rate.
    tokens_ = limited_ ? std::min(1.0, tokens_at(now)) : 1.0;
    counted_at_ = now;
    limited_ = true;
    allowed_slots_ = 1;
    rate_ = ramp_first_rate;
    answers_ = 0;
    late_answers_ = 0;
}

std::int32_t ramp::slots(std::int32_t configured) const {
    return limited_ ? std::min(allowed_slots_, configured) : configured;
}

double ramp::tokens_at(base::boot_time now) const {
    // Events come at least every 20 ms (tick), so higher rates need a burst of that length.
    const double burst = std::max(1.0, static_cast<double>(rate_) * 0.02);
    const double passed = std::chrono::duration<double>(now - counted_at_).count();
    return std::min(burst, tokens_ + passed * static_cast<double>(rate_));
}

bool ramp::allows(base::boot_time now) const {
    return !limited_ || tokens_at(now) >= 1.0;
}

void ramp::count_sent(base::boot_time now) {
    if (!limited_) {
        return;
    }
    tokens_ = tokens_at(now) - 1.0;
    counted_at_ = now;
}

void ramp::count_error() {
    answers_ = 0;
    late_answers_ = 0;
}

void ramp::count_answer(bool in_time, std::int32_t configured_slots) {
    if (!limited_) {
        return;
    }
    ++answers_;
    late_answers_ += in_time ? 0 : 1;
    if (answers_ < answers_per_ramp_step) {
        return;
    }
    const bool median_in_time = late_answers_ * 2 <= answers_;
    answers_ = 0;
    late_answers_ = 0;
    if (!median_in_time) {
        return;
    }
    rate_ *= 2;
    allowed_slots_ = std::min(allowed_slots_ + 1, configured_slots);
    limited_ = allowed_slots_ < configured_slots || rate_ <= ramp_last_rate;
}

} // namespace lovagetack::requests
