#pragma once

#include <chrono>
#include <cstdint>

#include "routing/step.hpp"

namespace lovagetack::routing {

// What backend servers state of themselves in their answers.

/// Takes over what the head of an answer states of the server that sent it.
void note_signals(step& step, const signals_received& event);

/// Takes over what the server's run that started at `born` has told another instance so long ago.
void note_told_leaving(step& step, server_record& server, std::uint64_t born, std::chrono::milliseconds age);

/// After a pause, lets the server have more requests at once with each that it answers.
void note_end_after_pause(server_record& server, const exchange& exchange, attempt_outcome outcome);

/// Whether the server has asked this instance for a pause that lasts.
[[nodiscard]] bool is_pausing(const server_record& server, base::boot_time now);

/// Whether this instance may send the server one more request, by what the server has stated to it.
[[nodiscard]] bool accepts_from_here(const server_record& server, base::boot_time now);

/// Time until a server that could run the request wants requests again; 0 if one does now, or none has asked for a
/// pause.
[[nodiscard]] std::chrono::milliseconds stated_wait(const step& step, const exchange& exchange);

/// Forgets what a run of the server has stated, since another run has replaced it.
void forget_statements(step& step, server_record& server);

/// Ends statements that have been in force long enough.
void run_statements(step& step);

} // namespace lovagetack::routing
