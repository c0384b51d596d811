#pragma once

#include "routing/step.hpp"

namespace lovagetack::routing {

// The duty to assign keys to owners and to grant them. One instance holds it by a lease in the store.
//
// Every change of an assignment is written before it is acted on, under the condition that the lease is still the
// holder's. A range changes its owner in three writes-and-calls: the row names the new owner and the leaving one; the
// leaving owner releases the keys, or its grant ends; the new owner is granted them, and the row drops the leaving one.

void learn_assignment(step& step, const assignment_learned& event);
void change_assignment(step& step, const assignment_changed& event);
void learn_lease(step& step, const lease_read& event);
void end_write(step& step, const rows_written& event);
void end_read_assignments(step& step, const assignments_read& event);
void end_grant(step& step, const grant_ended& event);
void end_release(step& step, const release_ended& event);

/// Checks or renews the lease, renews grants, continues moves, and plans new ones.
void keep(step& step);

/// States in the message what this instance does as keeper.
void tell_duty(const state& state, base::boot_time now, instance_load& message);

/// Another instance tells whether it holds the duty.
void hear_instance(step& step, const instance_load& event);

/// Hands the duty over.
void resign(step& step);

} // namespace lovagetack::routing
