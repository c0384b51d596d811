#include "capacity/backoff.hpp"

#include <algorithm>
#include <limits>

#include "capacity/limits.hpp"

namespace lovagetack::capacity {

bool backoff::note_rejection(base::boot_time now, base::boot_time sent) {
    share_ += outcome_weight * (1.0 - share_);
    // Requests from before the pause were under way when it began.
    if (share_ < backoff_share || sent < until_) {
        return false;
    }
    const bool begins = !active();
    pause_ = std::clamp(pause_ * 2, first_backoff, longest_backoff);
    until_ = now + pause_;
    most_in_progress_ = 1;
    return begins;
}

bool backoff::note_answer(base::boot_time sent) {
    share_ -= outcome_weight * share_;
    if (!active() || sent < until_) {
        return false;
    }
    most_in_progress_ *= 2;
    if (most_in_progress_ <= readmitted_at) {
        return false;
    }
    most_in_progress_ = 0;
    pause_ = std::chrono::microseconds(0);
    return true;
}

std::int32_t backoff::limit(base::boot_time now) const {
    if (!active()) {
        return std::numeric_limits<std::int32_t>::max();
    }
    return pausing(now) ? 0 : most_in_progress_;
}

} // namespace lovagetack::capacity
