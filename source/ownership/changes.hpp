#pragma once

#include "ownership/step.hpp"

/// Whether the decisions about ranges have to be taken again: grants, repairs of rows and activations depend on little
/// else than what is compared here, and answers of backend servers come far more often than it changes.
namespace lovagetack::ownership {

/// Notes that something changed which decision_inputs does not contain: a row, an activation, the deployment, orders of
/// operators, reported ranges.
void mark_inputs_changed(state& state);

/// Whether the decisions may differ from those taken last; if so, they count as taken on the present inputs.
/// `compares` says whether changes that time alone makes are looked for, as at every tick and before every poll.
/// Unless the last decisions were settled (no range waits, for example for the end of a lease), they are due then too.
[[nodiscard]] bool start_deciding(step& step, bool compare_inputs);

} // namespace lovagetack::ownership
