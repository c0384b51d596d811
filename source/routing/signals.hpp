#pragma once

#include "routing/step.hpp"

namespace lovagetack::routing {

// What backend servers state of themselves in their answers.

/// Takes over what the head of an answer states of the server that sent it.
void note_signals(step& step, const signals_received& event);

} // namespace lovagetack::routing
