#pragma once

#include <chrono>

namespace lovagetack::base {

/// Wall clock time in milliseconds since 1970. It may jump when the clock is set. Only the I/O shells call it.
[[nodiscard]] inline std::chrono::milliseconds unix_time_now() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch());
}

} // namespace lovagetack::base
