#pragma once

#include "core/effect.hpp"
#include "core/event.hpp"
#include "core/state.hpp"

namespace lovagetack::core {

/// The one reducer: changes the state by one event and returns what the shells have to do, in order. What one module
/// says and another one needs (a learned fact, a changed assignment) is passed on within the same call.
effects reduce(state& state, const event& event);

} // namespace lovagetack::core
