#pragma once

#include <chrono>
#include <cstdint>
#include <deque>

#include "base/boot_time.hpp"
#include "stand_ins/backend_settings.hpp"

namespace lovagetack::stand_ins {

/// Decides whether a cold backend server can bear the requests that arrive.
class cold_start {
public:
    explicit cold_start(bool cold) : cold_(cold) {}

    /// True when the server bears the request; false when the requests of the last second are more than it can bear.
    [[nodiscard]] bool arrived(base::boot_time now, const backend_settings& settings);
    /// A request was answered well.
    void answered(const backend_settings& settings);

    [[nodiscard]] bool cold() const { return cold_; }

private:
    [[nodiscard]] std::int64_t bearable_rate(const backend_settings& settings) const;

    bool cold_ = false;
    std::int64_t answered_ = 0;
    std::deque<base::boot_time> arrivals_;
};

} // namespace lovagetack::stand_ins
