#pragma once

#include "ownership/step.hpp"

/// Balance of load inside the data centre: splits, ranges for hot keys, moves and merges (4.6).
namespace lovagetack::ownership {

/// Writes at most one improvement at a time, judged by the load reports since the last one.
void balance_load(step& step);

} // namespace lovagetack::ownership
