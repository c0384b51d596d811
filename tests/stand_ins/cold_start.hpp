#pragma once

#include <chrono>
#include <cstdint>
#include <deque>

#include "base/boot_time.hpp"
#include "stand_ins/backend_settings.hpp"

namespace lovagetack::stand_ins {

/// Decides whether a cold backend server can handle the requests that arrive.
class cold_start {
public:
    explicit cold_start(bool cold) : cold_(cold) {}

    /// Counts a request; false when the requests of the last second exceed the rate that the server can handle.
    [[nodiscard]] bool record_arrival(base::boot_time now, const backend_settings& settings);
    /// Counts a successful answer; the server is warm after cold_requests of them.
    void answered(const backend_settings& settings);

    [[nodiscard]] bool cold() const { return cold_; }

private:
    [[nodiscard]] std::int64_t sustainable_rate(const backend_settings& settings) const;

    bool cold_ = false;
    std::int64_t answered_ = 0;
    std::deque<base::boot_time> arrivals_;
};

} // namespace lovagetack::stand_ins
