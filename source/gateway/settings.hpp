#pragma once

#include <chrono>
#include <cstdint>

#include "model/address.hpp"
#include "model/ids.hpp"

namespace lovagetack::gateway {

/// What the platform tells a process about itself.
struct settings {
    model::instance_id instance;
    model::data_centre_id data_centre;
    /// Where callers connect.
    model::address callers;
    /// Where the balancer asks whether the instance takes connections.
    model::address readiness;
    model::address store;
    /// Processor time that the process may use, in thousandths of a core; 0 if not told.
    std::uint32_t processor = 0;
    std::uint32_t descriptors = 1024;
    /// Metrics are served there; 0 for nowhere.
    std::uint16_t metrics_port = 0;
    /// First port that is free for the deployment's own use; instances tell each other their load there.
    std::uint16_t first_internal_port = 0;
    /// From the request to stop until the process is killed.
    std::chrono::milliseconds grace{6000};
    /// Between two reports of a backend server to the registry.
    std::chrono::milliseconds heartbeat{1000};
};

} // namespace lovagetack::gateway
