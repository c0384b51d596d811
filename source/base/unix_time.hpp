#pragma once

#include <chrono>

namespace lovagetack::base {

/// Wall clock time since 1970, which may step. Only shells call it.
[[nodiscard]] inline std::chrono::milliseconds time_since_1970() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch());
}

} // namespace lovagetack::base
