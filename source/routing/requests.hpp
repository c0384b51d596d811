#pragma once

#include "routing/step.hpp"

namespace lovagetack::routing {

// Processing of a caller's request: routing, queueing, attempts, retries, and the answer.

/// Routes a new request and sends, queues or refuses it.
void admit(step& step, const request_arrived& event);
/// Sends, queues or refuses a request, or asks a dispatcher for a slot.
void place(step& step, exchange_id id);
/// Places a request that is within the allowance of its client account.
void place_admitted(step& step, exchange_id id);
/// The same without a dispatcher, if none answers.
void place_without_dispatcher(step& step, exchange_id id);
/// Withdraws the requests of which nothing was sent yet to a server that takes no more of them, and places them again.
/// `with_keys`: also those for its keys, which a leaving owner still serves for some time.
void place_unsent_elsewhere(step& step, const model::backend_server_id& server, bool with_keys);
/// Whether the server owns the key of the request and may serve it.
[[nodiscard]] bool owns_key(const step& step, const exchange& exchange, const server_record& server);
/// Forgets the exchange of a caller that has disconnected. Its attempt is dropped, but the server may go on with it, so
/// that the request stays suspect for some time.
void end_left_exchange(step& step, const caller_left& event);
/// Records that the first byte of an attempt was written, so that the request may have run.
void mark_request_sent(step& step, const attempt_sent& event);
/// Ends a request whose deadline has passed.
void end_overdue_exchange(step& step, exchange_id id);
/// Handles the outcome of an attempt: delivers, retries or answers the request.
void end_attempt(step& step, const attempt_ended& event);

/// Ends the requests whose deadline has passed.
void end_overdue_exchanges(step& step);

/// Ends the requests that are not at a backend server now.
void refuse_unsent_exchanges(step& step);
/// Ends all requests but those whose answer has started.
void end_unanswered_exchanges(step& step);

/// Sends or refuses queued and waiting requests where that is possible now.
void send_queued_requests(step& step);

} // namespace lovagetack::routing
