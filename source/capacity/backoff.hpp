#pragma once

#include <chrono>
#include <cstdint>

#include "base/boot_time.hpp"

namespace lovagetack::capacity {

/// Keeps work away from a backend server that rejects or fails requests although it has room, and finds it again by
/// single requests.
class backoff {
public:
    /// The server rejected or failed a request that was sent to it at `sent`. Returns whether a backoff has begun.
    bool note_rejection(base::boot_time now, base::boot_time sent);
    /// The server answered a request that was sent to it at `sent`. Returns whether the backoff has ended.
    bool note_answer(base::boot_time sent);

    [[nodiscard]] bool active() const { return most_in_progress_ > 0; }
    [[nodiscard]] bool pausing(base::boot_time now) const { return now < until_; }
    /// Most requests that the server should have in progress now.
    [[nodiscard]] std::int32_t limit(base::boot_time now) const;
    /// Share of the last requests that were rejected or failed.
    [[nodiscard]] double share() const { return share_; }

private:
    double share_ = 0;
    base::boot_time until_;
    std::chrono::microseconds pause_{0};
    /// 0 if the server is not backed off.
    std::int32_t most_in_progress_ = 0;
};

} // namespace lovagetack::capacity
