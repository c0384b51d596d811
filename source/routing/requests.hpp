#pragma once

#include "routing/step.hpp"

namespace lovagetack::routing {

// Processing of a caller's request: routing, queueing, attempts, retries, and the answer.

/// Routes a new request and sends, queues or refuses it.
void admit(step& step, const request_arrived& event);
/// Cancels the request of a caller that has disconnected.
void forget_caller(step& step, exchange_id id);
/// Records that the first byte of an attempt was written, so that the request may have run.
void note_sent(step& step, const attempt_sent& event);
/// Removes the deadline of a request whose answer has started.
void note_answer(step& step, const answer_begun& event);
/// Handles the outcome of an attempt: delivers, retries or answers the request.
void end_attempt(step& step, const attempt_ended& event);

/// Ends the requests whose deadline has passed.
void give_up_late(step& step);

/// Sends or refuses queued and waiting requests where that is possible now.
void serve_queues(step& step);

} // namespace lovagetack::routing
