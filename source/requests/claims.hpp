#pragma once

#include "requests/context.hpp"

namespace lovagetack::requests {

/// Claims the idempotency key of a request in the store; the request is placed again when the claim is
/// confirmed.
void start_claim(context& ctx, exchange& exchange);

/// Ends the claim of a request that is over without an answer of a backend server. The claim is released if the request
/// did not run, so that a repeat can claim it.
void release_claim(context& ctx, const exchange& exchange, bool not_run);

/// Stores the outcome of a completed request for repeats, at best effort.
void store_outcome(context& ctx, const exchange& exchange, const attempt_ended& ended);

/// Sends the waiting claims and changes, at most one batch of each per claim_batch_time.
void send_claim_batches(context& ctx);

void on_store_reply(context& ctx, const model::store_reply& reply);

} // namespace lovagetack::requests
