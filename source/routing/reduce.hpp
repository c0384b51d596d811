#pragma once

#include "base/boot_time.hpp"
#include "routing/effect.hpp"
#include "routing/event.hpp"
#include "routing/state.hpp"

namespace lovagetack::routing {

/// Applies one event to the state and returns the effects that the shell has to carry out.
[[nodiscard]] effects reduce(state& state, base::boot_time now, const event& event);

} // namespace lovagetack::routing
