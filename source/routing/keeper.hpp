#pragma once

#include "routing/step.hpp"

namespace lovagetack::routing {

// The keeper assigns keys to owners and grants them. One instance is the keeper, by a lease in the store.
//
// Every change of an assignment is written before it takes effect, on condition that the keeper still holds the lease.
// A range changes its owner in three steps: a write names the new owner and the leaving one in the row; the leaving
// owner releases the keys, or its grant expires; the new owner is granted the keys, and a write removes the leaving
// one.

void update_assignment(step& step, const assignment_learned& event);
void apply_assignment_change(step& step, const assignment_changed& event);
void end_lease_read(step& step, const lease_read& event);
void end_write(step& step, const rows_written& event);
void end_assignments_read(step& step, const assignments_read& event);
void end_grant(step& step, const grant_ended& event);
void end_release(step& step, const release_ended& event);

/// Checks or renews the lease, renews grants, continues moves, and plans new ones.
void run_keeper(step& step);

/// Sets in the message whether this instance is the keeper and whether it renews grants.
void add_keeper_status(const state& state, base::boot_time now, instance_load& message);

/// Handles the keeper status in a message of another instance.
void note_keeper_status(step& step, const instance_load& event);

/// Handles the news that a keeper was alive at the given time.
void note_keeper_alive(step& step, base::boot_time at);

/// Reads the assignments if another instance has known a newer version of one for some time.
void note_assignment_version(step& step, const model::service_id& service, std::uint64_t version);

/// Gives the lease up in the store, so that another instance need not wait for its end.
void release_lease(step& step);

} // namespace lovagetack::routing
