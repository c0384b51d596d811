#pragma once

#include <chrono>

#include "base/result_code.hpp"
#include "routing/step.hpp"

namespace lovagetack::routing {

// Parts of the processing of requests that both ways to a server, with and without a dispatcher, use.

/// The exchange whose current attempt an event tells of; null if the attempt has been replaced or the exchange has
/// ended.
[[nodiscard]] exchange* find_attempt(step& step, exchange_id id, model::attempt_id attempt);

[[nodiscard]] service_record& service_of(step& step, const exchange& exchange);
[[nodiscard]] bool divided_by_key(const state& state, const model::service_id& service);

/// A time after which a refused caller may return; random, so that callers do not return together.
[[nodiscard]] std::chrono::milliseconds spread_retry_after(step& step);

/// The same for the caller of a request, not before a server that could run it wants requests again.
[[nodiscard]] std::chrono::milliseconds retry_after_for(step& step, const exchange& exchange);

/// Counts the exchange no longer among the requests in progress at the server.
void end_outstanding(step& step, server_record& server, const exchange& exchange);

/// Latest time for an answer, counted from the request's arrival; a request that is expected to be answered later is
/// refused.
[[nodiscard]] std::chrono::microseconds latest_answer_time(const exchange& exchange);

void remove_from_queues(step& step, exchange_id id, const exchange& exchange);

/// Removes an exchange that has been answered or cancelled.
void erase_exchange(step& step, exchange_id id);

/// Ends an exchange with an answer that this instance generates, or with the stored failure of a backend server. Status
/// 503 guarantees that the request has not run.
void answer(step& step, exchange_id id, base::result_code code, std::chrono::milliseconds retry_after);

/// Sends the request to the server.
void send(step& step, exchange_id id, server_record& server);

} // namespace lovagetack::routing
