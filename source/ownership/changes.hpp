#pragma once

#include "ownership/step.hpp"

/// Whether the decisions about ranges have to be made again: grants, repairs of rows and activations depend on little
/// else than what is compared here, and answers of backend servers arrive far more often than it changes.
namespace lovagetack::ownership {

/// Marks that something changed which decision_inputs does not contain: a row, an activation, the deployment,
/// operators' orders, reported ranges.
void mark_inputs_changed(state& state);

/// Whether the decisions may differ from the last ones; if so, the present inputs are stored as those of the new
/// decisions. `compare_inputs` says whether to look for changes that are caused by time alone, as at every tick and
/// before every poll. Decisions are then also due while the last ones were not settled (a range waits, for example for
/// the end of a lease).
[[nodiscard]] bool start_deciding(step& step, bool compare_inputs);

} // namespace lovagetack::ownership
