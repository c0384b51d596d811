#pragma once

#include <optional>

#include "routing/step.hpp"

namespace lovagetack::routing {

// Requests for slots of backend servers, which dispatchers give out (see dispatching.hpp).

/// Whether the slots of servers are given out by dispatchers.
[[nodiscard]] bool uses_dispatchers(const state& state);

/// Asks for a slot at any server of the service; false if there is no dispatcher to ask.
[[nodiscard]] bool ask_for_slot(step& step, exchange_id id);

/// Asks for a slot at the owner of the request's key; false if there is no dispatcher to ask.
[[nodiscard]] bool ask_for_slot_at(step& step, exchange_id id, const server_record& server);

/// Sends the request to the granted server, or asks the next group; refuses it if no group can serve it in time.
void end_ask(step& step, const slot_answer& event);

/// Gives back the slot of the exchange, or its place in a queue, if it has one.
void release_ask(step& step, exchange& exchange, const std::optional<attempt_summary>& attempt);

/// Repeats requests for slots, replaces dispatchers that do not answer, and reports the slots in use.
void run_asks(step& step);

} // namespace lovagetack::routing
