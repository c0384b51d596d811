#pragma once

#include <chrono>
#include <cstdint>

#include "routing/step.hpp"

namespace lovagetack::routing {

// The lease that makes an instance the keeper, and what it permits.

[[nodiscard]] std::int64_t in_milliseconds(std::chrono::microseconds time);

/// Nobody else can hold the duty.
[[nodiscard]] bool lease_holds(const step& step);

/// The holder may change assignments.
[[nodiscard]] bool may_change(const step& step);

/// The holder, or one that was it, may renew grants.
[[nodiscard]] bool may_renew(const step& step);

void note_store_time(keeper_state& keeper, std::int64_t store_time, base::boot_time asked_at, base::boot_time now);

/// Plans the next look at the lease by one that does not hold it.
void schedule_check(step& step);
/// The first check, when nobody may hold the duty yet: those with more processor time come first.
void schedule_first_check(step& step);

/// Gives up the duty and all that was known by it.
void stand_down(step& step, const char* reason);

/// Writes the lease anew, and the changed assignments with it.
void write_lease(step& step);

/// The assignment with the changes that are not written yet, or whose write is under way.
[[nodiscard]] const assignment& newest(const step& step, const model::service_id& service);

/// The instance has begun another life than this one.
[[nodiscard]] bool has_new_incarnation(const state& state, const model::instance_id& instance,
                                       std::uint64_t incarnation);

} // namespace lovagetack::routing
