#pragma once

#include <cstdint>

#include "base/boot_time.hpp"

namespace lovagetack::requests {

/// Limits the concurrency and the rate of requests to a backend server that may be cold, and raises the limits step by
/// step.
class ramp {
public:
    /// Restarts with one slot and ramp_first_rate.
    void reset(base::boot_time now);
    /// Removes both limits, for a server known to be warm.
    void remove_limit() { limited_ = false; }

    [[nodiscard]] bool limited() const { return limited_; }
    /// Slots allowed out of those that the server has.
    [[nodiscard]] std::int32_t slots(std::int32_t configured) const;
    /// Requests per second; 0 without limit.
    [[nodiscard]] std::int32_t rate() const { return limited_ ? rate_ : 0; }

    /// True when the rate allows one more request now.
    [[nodiscard]] bool allows(base::boot_time now) const;
    /// Counts a request sent; call only when allows() is true.
    void count_sent(base::boot_time now);
    /// Counts an answer without an error. Once per answers_per_ramp_step answers the limits rise if at least half of
    /// them were in time. Single late answers are ignored, since a quarter of exponentially distributed service times
    /// exceeds twice the median.
    void count_answer(bool in_time, std::int32_t configured_slots);
    /// Counts a failure, which restarts the count of answers of the present step.
    void count_error();

private:
    [[nodiscard]] double tokens_at(base::boot_time now) const;

    bool limited_ = true;
    std::int32_t allowed_slots_ = 1;
    std::int32_t rate_ = 20;
    std::int32_t answers_ = 0;
    std::int32_t late_answers_ = 0;
    double tokens_ = 1.0;
    base::boot_time counted_at_;
};

} // namespace lovagetack::requests
