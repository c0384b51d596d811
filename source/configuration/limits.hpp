#pragma once

#include <chrono>
#include <cstddef>

namespace lovagetack::configuration {

/// Durations of configuration.
struct limits {
    /// Of the first live instance of a data centre by name.
    std::chrono::microseconds poll_interval = std::chrono::milliseconds(1000);
    /// Of the other instances, as a safety net; a random fifth is added.
    std::chrono::microseconds idle_poll_interval = std::chrono::milliseconds(10000);
    /// Polls after a failed one are delayed by a random part of this, so that the store is not met by all at once.
    std::chrono::microseconds catch_up_spread = std::chrono::milliseconds(2000);
    /// An order that nobody wrote for so long is written by the first live instance of each data centre.
    std::chrono::microseconds adopt_order_after = std::chrono::milliseconds(5000);
    /// Between attempts to write one order. Without it a row that stays older than the order was written to in a loop,
    /// more than 2,000 times a second per instance.
    std::chrono::microseconds write_order_interval = std::chrono::milliseconds(1000);
    /// A call without a reply counts as failed.
    std::chrono::microseconds reply_limit = std::chrono::milliseconds(5000);
    /// Superseded orders kept for the status page.
    std::size_t superseded_kept = 32;
};

} // namespace lovagetack::configuration
