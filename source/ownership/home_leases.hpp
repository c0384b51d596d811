#pragma once

#include "ownership/event.hpp"
#include "ownership/step.hpp"

/// Home leases of backend servers that do not check grants (4.4): only the home instance of such a server, with a
/// valid lease, sends to it.
namespace lovagetack::ownership {

/// Home side: asks the controller every 100 ms, and publishes the leases held.
void request_home_leases(step& step);

/// Either side: a request to this instance as controller, or the reply to an own request.
void handle_lease_message(step& step, const lease_message& message);

} // namespace lovagetack::ownership
