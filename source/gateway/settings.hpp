#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "model/address.hpp"
#include "model/ids.hpp"

namespace lovagetack::gateway {

/// Settings that the platform gives a process.
struct settings {
    model::instance_id instance;
    model::data_centre_id data_centre;
    /// Address that callers connect to.
    model::address callers;
    /// Address at which the balancer checks whether the instance takes connections.
    model::address readiness;
    model::address store;
    /// Processor time that the process may use, in thousandths of a core; 0 if unknown.
    std::uint32_t processor = 0;
    /// Number of the deployment's data centres; 0 if unknown.
    std::uint32_t data_centres = 0;
    /// File descriptors that the process may have open.
    std::uint32_t descriptors = 1024;
    /// Memory of the machine, in bytes; 0 if unknown.
    std::uint64_t memory = 0;
    /// Additional port for metrics, which `readiness` serves as well; 0 for none.
    std::uint16_t metrics_port = 0;
    /// First of the ports that the deployment may use for itself; instances exchange their load on it.
    std::uint16_t first_internal_port = 0;
    /// Time from the request to stop until the process is killed.
    std::chrono::milliseconds grace{6000};
    /// Most bytes of a value in the store, as it is sent.
    std::size_t row_bytes = 65536;
    /// Time between two reports of a backend server to the registry.
    std::chrono::milliseconds heartbeat{1000};
};

} // namespace lovagetack::gateway
