#pragma once

#include <cstdint>
#include <map>

#include "routing/step.hpp"

namespace lovagetack::routing {

// Requests of a client account with an allowance need a token each. An instance asks the counters of the account's
// slices for tokens, that of its own data centre first.

/// Whether the request waits for a token, or has been refused for lack of one. It may be placed if it does not.
[[nodiscard]] bool waits_for_allowance(step& step, exchange_id id);

void end_token_request(step& step, const token_answer& event);

/// Takes back the token of a request that ends without having been sent.
void return_token(step& step, const exchange& exchange);

/// Refused requests of the accounts that have a metric of their own; those of all others are under an empty name.
[[nodiscard]] std::map<model::client_account_id, std::uint64_t> refusals_by_account(const state& state);

/// Passes over silent counters and refuses requests that have waited too long.
void run_allowances(step& step);

} // namespace lovagetack::routing
