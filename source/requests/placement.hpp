#pragma once

#include "base/result_code.hpp"
#include "requests/context.hpp"

namespace lovagetack::requests {

/// Accepts and places a new request, or refuses it.
void admit(context& ctx, const caller_request& request);

/// Chooses the target of a request and queues it for its backend server, relays it to the home instance, claims its
/// idempotency key, lets it wait or refuses it. The exchange may no longer exist afterwards.
void place(context& ctx, exchange& exchange);

/// Lets a request that certainly did not run wait until its route or home changes or retry_pause is over.
void pause_before_retry(context& ctx, exchange& exchange, base::result_code code);

/// Removes the request from the waiting requests of its service if it is one of them.
void leave_waiting(context& ctx, exchange& exchange);

/// Places the waiting requests again whose target may differ after the last change.
void recheck_waiting(context& ctx, service_record& service);

/// The pause of a waiting request is over.
void on_retry_due(context& ctx, exchange& exchange);

} // namespace lovagetack::requests
