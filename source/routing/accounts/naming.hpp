#pragma once

#include <vector>

#include "routing/step.hpp"

namespace lovagetack::routing {

// The keeper's part in the allowances of client accounts: it names the instances that count.
//
// A role is written to the lease's row before its holder may act, so that the next keeper learns who may be counting.
// A role gets another holder only when the one before has certainly stopped.

/// Begins a term with the roles that the row of the lease shows.
void take_over_counters(step& step, const std::vector<counter_role>& roles);

/// Names counters where there are none, or where they have stopped, and tells the instances of them.
void name_counters(step& step);

/// Whether the row of the lease has to be written for changed roles.
[[nodiscard]] bool are_roles_unwritten(const step& step);

/// Answers a report of a counter with the next permit.
void accept_counter_report(step& step, const counter_report& event);

} // namespace lovagetack::routing
