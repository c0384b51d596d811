#pragma once

#include <optional>

#include "ownership/step.hpp"
#include "ownership/units.hpp"

/// Ranges that change their home data centre: drain, loss and return of a data centre (4.1, 4.5, 7).
namespace lovagetack::ownership {

/// Writes the ranges that no server here can execute any more into the rows of other data centres, and takes over the
/// ranges of lost data centres.
void move_between_data_centres(step& step);

/// Whether the unit must not be granted here, since its range is leaving or may have left the data centre.
[[nodiscard]] bool is_withheld(const state& state, const model::service_id& service, const unit& unit);

/// At the start of a term: ranges that the last controller had withdrawn may have been moved away by a write that is
/// not known here. They stay withheld until the rows were read.
void withhold_withdrawn(state& state);

/// Whether moves_per_window allows another balancing move now; if so, the move is counted.
[[nodiscard]] bool use_move_budget(step& step);

} // namespace lovagetack::ownership
