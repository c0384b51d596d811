#pragma once

#include "routing/step.hpp"

namespace lovagetack::routing {

// The life of a caller's request: routing, queueing, attempts, retries, and its answer.

void admit(step& step, const request_arrived& event);
void forget_caller(step& step, exchange_id id);
void note_sent(step& step, const attempt_sent& event);
void note_answer(step& step, const answer_begun& event);
void end_attempt(step& step, const attempt_ended& event);

/// Ends the requests whose time is over.
void give_up_late(step& step);

/// Places what can be placed of the queues.
void serve_queues(step& step);

} // namespace lovagetack::routing
