#pragma once

#include "routing/step.hpp"

namespace lovagetack::routing {

// Renewals of grants that this instance makes for a keeper.
//
// The keeper of a large deployment leaves the renewals to several instances. A renewer acts on the orders of the
// highest term, and only for a limited time after a report of its own that the keeper has received.

void accept_orders(step& step, const renewal_orders& event);

/// Handles the answer to a renewal; false if this instance did not send it for a keeper.
[[nodiscard]] bool end_renewal(step& step, const grant_ended& event);

/// Sends the renewals and the report that are due.
void run_renewals(step& step);

} // namespace lovagetack::routing
