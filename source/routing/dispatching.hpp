#pragma once

#include <cstddef>

#include "routing/step.hpp"

namespace lovagetack::routing {

// Slots of backend servers that this instance gives out.
//
// In a large deployment no instance knows what all others have sent to a server, and servers whose slots are half busy
// reject a part of the requests, or drop connections, which leaves it unknown whether a request ran. So one instance,
// the dispatcher, counts the slots of a group of servers, and the others ask it before they send a request. A request
// for which no slot is free waits at the dispatcher, by priority and arrival, or is refused at once if its answer would
// come too late. The load that this answers: steady load and bursts on many instances, slow servers, and cold servers,
// whose rate is counted over the whole deployment.
//
// A dispatcher that is lost, frozen or cut off is passed over by those that it leaves without an answer; the next one
// learns the slots in use from the reports of the instances. For a moment two dispatchers may give out the same slots;
// the servers then reject what they cannot take.

void answer_slot_request(step& step, const slot_request& event);
void release_slot(step& step, const slot_release& event);
void note_slot_report(step& step, const slot_report& event);

/// Number of requests that wait for a slot at this instance.
[[nodiscard]] std::size_t queued_asks(const state& state);

/// Gives out slots that have become free, and drops requests and slots of instances that are gone.
void run_dispatcher(step& step);

} // namespace lovagetack::routing
