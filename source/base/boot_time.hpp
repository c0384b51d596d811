#pragma once

#include <chrono>

namespace lovagetack::base {

/// Time since the machine started, suspended time included (CLOCK_BOOTTIME). Only the I/O shells call now(); the
/// reducers take every time from the event.
struct boot_clock {
    using duration = std::chrono::microseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock>;
    static constexpr bool is_steady = true;

    static time_point now() noexcept;
};

using boot_time = boot_clock::time_point;

} // namespace lovagetack::base
