#include "load/key_chooser.hpp"

#include <algorithm>
#include <cmath>

namespace lovagetack::load {

key_chooser::key_chooser(std::uint32_t count, double skew, std::uint64_t seed) : count_(count), random_(seed) {
    double sum = 0;
    for (std::uint32_t rank = 1; rank <= count_; ++rank) {
        sum += 1.0 / std::pow(rank, skew);
        cumulative_weights_.push_back(sum);
    }
}

std::uint32_t key_chooser::next(std::uint32_t shift) {
    if (count_ == 0) {
        return 0;
    }
    std::uniform_real_distribution<double> uniform(0, cumulative_weights_.back());
    const auto found = std::lower_bound(cumulative_weights_.begin(), cumulative_weights_.end(), uniform(random_));
    const auto rank = static_cast<std::uint32_t>(found - cumulative_weights_.begin());
    return (std::min(rank, count_ - 1) + shift) % count_;
}

} // namespace lovagetack::load
