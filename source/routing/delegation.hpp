#pragma once

#include "routing/step.hpp"

namespace lovagetack::routing {

// The keeper's side of renewals by other instances.
//
// The work of one keeper would grow with the number of owners: each grant is renewed several times a second. In a large
// deployment the keeper orders other instances, its delegates, to renew the grants, and learns from their reports what
// the servers answered. A grant that is to end has ended at a delegate when the delegate has confirmed orders without
// it, or when the time has passed until which it may send renewals.

/// Distributes the renewals over delegates and sends the orders that are due.
void delegate_renewals(step& step);

/// Whether a delegate renews the grants of this owner.
[[nodiscard]] bool is_delegated(const state& state, const model::backend_server_id& owner);

void accept_report(step& step, const renewal_report& event);

/// What delegates have done with a grant that is to end.
struct delegated_renewals {
    /// A delegate may still send a renewal of the grant.
    bool possible = false;
    /// When the last one was sent, and the last one without an answer, at the latest.
    base::boot_time sent_at;
    base::boot_time unanswered_at;
};

/// The renewals of the grant that the moving range's leaving owner has.
[[nodiscard]] delegated_renewals renewals_of_leaving_owner(const step& step, const model::service_id& service,
                                                           const key_range& range);

} // namespace lovagetack::routing
