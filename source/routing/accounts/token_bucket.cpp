#include "routing/accounts/token_bucket.hpp"

#include <algorithm>
#include <cmath>

namespace lovagetack::routing {

std::uint32_t token_bucket::take(base::boot_time now, double rate, double depth, std::uint32_t count) {
    const auto passed = std::chrono::duration<double>(std::max(now, at_) - at_).count();
    level_ = std::min(depth, level_ + passed * rate);
    at_ = std::max(now, at_);
    const auto taken = std::min(count, static_cast<std::uint32_t>(std::floor(level_)));
    level_ -= taken;
    return taken;
}

std::chrono::milliseconds token_bucket::wait(double rate) const {
    return std::chrono::ceil<std::chrono::milliseconds>(
        std::chrono::duration<double>(std::max(0.0, 1 - level_) / rate));
}

} // namespace lovagetack::routing
