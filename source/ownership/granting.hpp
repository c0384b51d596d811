#pragma once

#include "ownership/event.hpp"
#include "ownership/step.hpp"

/// Grant polls: witnesses, server leases, granted ranges (4.2, 4.3).
namespace lovagetack::ownership {

/// Records the answer of a server. An answer to a poll of another term is ignored.
void handle_grant_answer(step& step, const grant_answered& answered);

/// Whether a poll has to be sent now to some server.
[[nodiscard]] bool is_poll_due(const step& step);

/// Decides which server should have which ranges, and sends the polls that are due or that carry a changed list of
/// ranges.
void decide_grants(step& step);

/// Sends the polls that are due, with the ranges of the previous polls.
void repeat_polls(step& step);

/// Records that a fence was granted for a range, by this controller or another one.
void record_grant(state& state, const model::service_id& service, const model::active_range& range);

} // namespace lovagetack::ownership
