#pragma once

#include <cstdint>
#include <random>
#include <vector>

namespace lovagetack::load {

/// Draws key numbers from a Zipf distribution: rank r has a weight of 1 / r^skew.
class key_chooser {
public:
    key_chooser(std::uint32_t count, double skew, std::uint64_t seed);

    /// Returns a number below the count, or 0 if the count is 0. `shift` is added modulo the count and so selects which
    /// keys are hot.
    std::uint32_t next(std::uint32_t shift);

private:
    std::uint32_t count_;
    std::vector<double> cumulative_weights_;
    std::mt19937_64 random_;
};

} // namespace lovagetack::load
