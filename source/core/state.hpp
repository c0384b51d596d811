#pragma once

#include "configuration/state.hpp"
#include "core/identity.hpp"
#include "membership/state.hpp"
#include "ownership/state.hpp"
#include "requests/state.hpp"

namespace lovagetack::core {

/// The complete state of one instance. It is lost with the process; what must outlive the process is in the platform's
/// table service.
struct state {
    explicit state(const core::identity& identity);

    core::identity identity;
    membership::state membership;
    configuration::state configuration;
    ownership::state ownership;
    requests::state requests;
    /// Version of the configuration in force; 0 while none is.
    std::uint64_t deployment_version = 0;
    /// A configuration is in force, so that this instance can serve.
    bool ready = false;
};

} // namespace lovagetack::core
