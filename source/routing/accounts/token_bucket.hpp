#pragma once

#include <chrono>
#include <cstdint>

#include "base/boot_time.hpp"

namespace lovagetack::routing {

/// Issues whole tokens: at most `depth` at once, and `rate` per second. It starts empty.
class token_bucket {
public:
    explicit token_bucket(base::boot_time start) : at_(start) {}

    /// Takes up to `count` tokens and returns how many. A changed rate or depth is in force from the call on.
    std::uint32_t take(base::boot_time now, double rate, double depth, std::uint32_t count);

    /// Time until there is a whole token, as of the last call of take(). `rate` is above 0.
    [[nodiscard]] std::chrono::milliseconds wait(double rate) const;

private:
    double level_ = 0;
    base::boot_time at_;
};

} // namespace lovagetack::routing
