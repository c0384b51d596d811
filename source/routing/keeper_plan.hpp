#pragma once

#include <cstdint>

#include "routing/step.hpp"

namespace lovagetack::routing {

// What the keeper wants to change in the assignments.

/// Every change of an assignment is read by all instances: the more there are, the rarer it should be.
[[nodiscard]] std::int64_t size_factor(const state& state);

/// Plans what has to move, and from time to time the balance, for all services.
void plan_all(step& step);

/// A server has seen a higher token of these keys, as when a former holder's grant arrived late.
void renew_fence(step& step, const range_id& id);

/// Gives all ranges new fencing tokens, so that grants of a former holder that are still on their way, or that it still
/// sends, are rejected.
void refence(step& step);

} // namespace lovagetack::routing
