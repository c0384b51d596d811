#pragma once

#include <cstdint>
#include <random>
#include <vector>

namespace lovagetack::load {

/// Draws key numbers from a Zipf distribution: rank r has a weight of 1 / r^skew.
class key_chooser {
public:
    key_chooser(std::uint32_t count, double skew, std::uint64_t seed);

    /// A number below the count. `shift` rotates which keys are the hot ones.
    std::uint32_t next(std::uint32_t shift);

private:
    std::uint32_t count_;
    std::vector<double> cumulative_;
    std::mt19937_64 random_;
};

} // namespace lovagetack::load
