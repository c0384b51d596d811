#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace lovagetack::base {

/// Hybrid logical clock: follows the wall clock in microseconds since 1970, and each stamp is greater than all stamps
/// issued or accepted before, so that a cause sorts before its effect even when the clocks of two machines differ.
class hybrid_clock {
public:
    /// Stamp of a local event or an outgoing message.
    std::uint64_t next() {
        last_ = std::max(last_ + 1, wall_clock());
        return last_;
    }

    /// Advances the clock to the stamp of a received message. Stamps 60 s or more ahead of the wall clock are ignored,
    /// since one machine with a wrong clock would otherwise set the clocks of all.
    void observe(std::uint64_t stamp) {
        if (stamp < wall_clock() + largest_lead_in_microseconds) {
            last_ = std::max(last_, stamp);
        }
    }

private:
    static constexpr std::uint64_t largest_lead_in_microseconds = 60'000'000;

    static std::uint64_t wall_clock() {
        const auto now = std::chrono::system_clock::now().time_since_epoch();
        return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(now).count());
    }

    std::uint64_t last_ = 0;
};

} // namespace lovagetack::base
