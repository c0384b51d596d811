#pragma once

#include "routing/step.hpp"

namespace lovagetack::routing {

// A counter issues the tokens of one slice of the allowances of a group of client accounts, from one bucket for each
// account. A bucket starts empty with the role, so that what the counter before has issued does not add up with it.

/// The group of accounts that a client account belongs to.
[[nodiscard]] std::uint32_t group_of(const model::client_account_id& account);

/// Takes over the roles that a keeper tells, and its permit to count.
void accept_roles(step& step, const counter_roles& event);

/// Answers as the counter of the slice, if this instance is it and may count.
[[nodiscard]] token_answer issue_tokens(step& step, std::uint32_t slice, const model::client_account_id& account,
                                        std::uint32_t count);

void answer_token_request(step& step, const token_request& event);

/// Reports to the keeper when that is due.
void run_counter(step& step);

} // namespace lovagetack::routing
