#pragma once

#include "routing/step.hpp"

namespace lovagetack::routing {

/// Refuses a request without a valid key of a client account before its body is received.
void refuse_unauthenticated(step& step, const request_announced& event);

/// Identifies the sender of a request on the route and takes over its client account and priority. Returns false, and
/// refuses the request, if it shows no valid key although one is needed.
[[nodiscard]] bool authenticate(step& step, exchange& exchange, const route& route);

} // namespace lovagetack::routing
