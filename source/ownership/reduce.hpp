#pragma once

#include <cstdint>
#include <vector>

#include "base/boot_time.hpp"
#include "ownership/effect.hpp"
#include "ownership/event.hpp"
#include "ownership/state.hpp"

namespace lovagetack::ownership {

using effects = std::vector<effect>;

/// Applies one event. `random` is a uniform number drawn for the event; it spreads calls to the store.
effects reduce(state& state, base::boot_time now, std::uint64_t random, const event& input);

} // namespace lovagetack::ownership
