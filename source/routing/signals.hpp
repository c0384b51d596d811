#pragma once

#include "routing/step.hpp"

namespace lovagetack::routing {

// What backend servers state of themselves in their answers.

/// Takes over what the head of an answer states of the server that sent it.
void note_signals(step& step, const signals_received& event);

/// Forgets what a run of the server has stated, since another run has replaced it.
void forget_statements(step& step, server_record& server);

/// Ends statements that have been in force long enough.
void run_statements(step& step);

} // namespace lovagetack::routing
