#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "model/address.hpp"

namespace lovagetack::load {

/// Parameters of one run of the load generator.
struct load_plan {
    /// Requests are sent to the targets in turn.
    std::vector<model::address> targets;
    std::string service;
    /// Keys key-0 to key-<count-1>; 0 for services that are not divided by key.
    std::uint32_t key_count = 1000;
    /// Exponent of the Zipf distribution of keys; 0 is uniform.
    double skew = 0;
    /// Interval at which a different set of keys becomes the hot one; 0 for never.
    std::chrono::milliseconds hot_keys_change_after{0};
    /// Requests per second, sent at their planned times whether or not earlier ones were answered. With 0, each answer
    /// is followed by the next request.
    double rate = 0;
    /// Connections per target.
    std::uint32_t connections = 16;
    std::chrono::milliseconds duration{5000};
    /// Answers during this first part of the run are not counted.
    std::chrono::milliseconds warm_up{500};
    std::string method = "GET";
    std::string path_end;
    std::uint64_t body_bytes = 0;
    std::chrono::milliseconds deadline{2000};
    std::uint64_t seed = 1;
};

} // namespace lovagetack::load
