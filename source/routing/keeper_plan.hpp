#pragma once

#include <cstdint>

#include "routing/step.hpp"

namespace lovagetack::routing {

// Plans changes of the assignments.

/// Factor on the periods between changes and between reports: the work of a plan and of its messages grows with the
/// deployment.
[[nodiscard]] std::int64_t size_factor(const state& state);

/// Plans the moves of ranges that have to move and, less often, of load balancing, for all services.
void plan_all(step& step);

/// Gives the range a new fencing token after its server has seen a higher one, for example from a late grant of a
/// former holder.
void renew_fence(step& step, const range_id& id);

/// Gives the ranges that are not moving and have a token of an earlier term new ones, so that servers reject grants of
/// a former holder that are in transit or that it still sends. Called after each read of the assignments, since the
/// write of the new tokens may have failed.
void renew_former_fences(step& step);

} // namespace lovagetack::routing
