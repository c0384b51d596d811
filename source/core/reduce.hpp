#pragma once

#include "core/effect.hpp"
#include "core/event.hpp"
#include "core/state.hpp"

namespace lovagetack::core {

/// The reducer of the whole instance: applies one event to the state and returns the effects that the I/O shells carry
/// out, in order. An output of one module that is an input of another (a learned fact, a changed assignment) is handled
/// within the same call.
effects reduce(state& state, const event& event);

} // namespace lovagetack::core
