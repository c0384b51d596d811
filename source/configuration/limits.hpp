#pragma once

#include <chrono>
#include <cstddef>

namespace lovagetack::configuration {

/// Durations and bounds of the configuration module.
struct limits {
    /// Time between polls of the store by the first live instance of a data centre, by name.
    std::chrono::microseconds poll_interval = std::chrono::milliseconds(1000);
    /// Time between polls by the other instances, which learn changes from peers; a random time of up to a fifth is
    /// added.
    std::chrono::microseconds idle_poll_interval = std::chrono::milliseconds(10000);
    /// After a failed poll the next one is delayed by a random time of up to this, so that the instances do not all
    /// call the store at the same time.
    std::chrono::microseconds catch_up_spread = std::chrono::milliseconds(2000);
    /// Time after which an order that is not in the store yet is written by the first live instance of each data
    /// centre.
    std::chrono::microseconds adopt_order_after = std::chrono::milliseconds(5000);
    /// Shortest time between attempts to write one order. Without it, a row that stayed older than the order was
    /// written in a loop, more than 2,000 times per second and instance.
    std::chrono::microseconds write_order_interval = std::chrono::milliseconds(1000);
    /// Time after which a call to the store without a reply counts as failed.
    std::chrono::microseconds reply_limit = std::chrono::milliseconds(5000);
    /// Number of superseded orders that are stored for the status page.
    std::size_t maximum_superseded = 32;
};

} // namespace lovagetack::configuration
