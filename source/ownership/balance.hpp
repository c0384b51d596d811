#pragma once

#include "ownership/step.hpp"

/// Balance of load inside the data centre: splits, ranges for hot keys, moves and merges (4.6).
namespace lovagetack::ownership {

/// Writes at most one change at a time, based on the load reports since the last change.
void balance_load(step& step);

} // namespace lovagetack::ownership
