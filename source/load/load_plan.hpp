#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "model/address.hpp"

namespace lovagetack::load {

/// What to send, how fast and for how long.
struct load_plan {
    /// Requests go to these in turn.
    std::vector<model::address> targets;
    std::string service;
    /// Keys key-0 to key-<count-1>; 0 for services that are not divided by key.
    std::uint32_t key_count = 1000;
    /// Exponent of the Zipf distribution of keys; 0 is uniform.
    double skew = 0;
    /// The hottest keys become others after this time; 0 never.
    std::chrono::milliseconds hot_keys_change_after{0};
    /// Requests per second, sent at their planned times whatever the answers do; 0 sends the next request of a
    /// connection when it is answered.
    double rate = 0;
    /// Connections per target.
    std::uint32_t connections = 16;
    std::chrono::milliseconds duration{5000};
    /// Requests of this first part of the run are not counted.
    std::chrono::milliseconds warm_up{500};
    std::string method = "GET";
    std::string path_end;
    std::uint64_t body_bytes = 0;
    std::chrono::milliseconds deadline{2000};
    std::uint64_t seed = 1;
};

} // namespace lovagetack::load
