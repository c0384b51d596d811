#pragma once

#include "base/result_code.hpp"
#include "requests/context.hpp"

namespace lovagetack::requests {

/// Takes in a new request, or refuses it.
void admit(context& ctx, const caller_request& request);

/// Chooses where a request goes and sends it on its way: to the queue of its backend server, to the home instance, or
/// among the waiting. The exchange may be gone afterwards.
void place(context& ctx, exchange& exchange);

/// Lets a request that surely did not run wait until its route or home changes, or a pause is over.
void pause_before_retry(context& ctx, exchange& exchange, base::result_code code);

/// Takes the request out of the waiting ones of its service if it is among them.
void leave_waiting(context& ctx, exchange& exchange);

/// Places the waiting requests for which the last change makes a difference.
void recheck_waiting(context& ctx, service_record& service);

/// The pause of a waiting request is over.
void on_retry_due(context& ctx, exchange& exchange);

} // namespace lovagetack::requests
