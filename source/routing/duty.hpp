#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

#include "routing/step.hpp"

namespace lovagetack::routing {

// The lease that makes an instance the keeper, and what it permits.

[[nodiscard]] std::int64_t in_milliseconds(std::chrono::microseconds time);

/// Whether the lease of this instance is valid, so that no other instance can be keeper.
[[nodiscard]] bool is_lease_valid(const step& step);

/// Whether this instance is the keeper and may change assignments.
[[nodiscard]] bool may_change(const step& step);

/// Whether this instance may also move keys to other servers.
[[nodiscard]] bool may_move(const step& step);

/// Whether this instance, as the present or a former holder, may renew grants.
[[nodiscard]] bool may_renew(const step& step);

/// How long this instance may still renew grants.
[[nodiscard]] std::chrono::milliseconds renewal_time_left(const step& step);

/// How long renewals go on after the previous holder has ended or stopped.
[[nodiscard]] std::chrono::milliseconds renewals_after_former_holder(const keeper_state& keeper);

/// The latest arrival of a grant of a holder before this instance.
[[nodiscard]] base::boot_time last_former_grant(const keeper_state& keeper);

/// The previous holder ended at `at`, at the latest: only instances on its orders, and holders before it, may still
/// renew grants.
void note_former_holder_ended(keeper_state& keeper, base::boot_time at);

void note_store_time(keeper_state& keeper, std::int64_t store_time, base::boot_time asked_at, base::boot_time now);

/// Schedules the next check of the lease by an instance that does not hold it.
void schedule_check(step& step);
/// Schedules the first check, when there may be no keeper yet: instances with more processor time check first.
void schedule_first_check(step& step);

/// Stops being the keeper and discards the keeper's records; `reason` is logged.
void step_down(step& step, const char* reason);

/// Renews the lease and writes the changed assignments in the same transaction.
void write_lease(step& step);

/// The assignment including changes that are not written yet or whose write is in progress.
[[nodiscard]] const assignment& newest_assignment(const step& step, const model::service_id& service);

/// Age of the last sign of life of a keeper, which may be this instance; nothing if there was none lately.
[[nodiscard]] std::optional<std::chrono::milliseconds> keeper_age(const state& state, base::boot_time now);

/// Whether the instance has restarted with a higher incarnation.
[[nodiscard]] bool has_new_incarnation(const state& state, const model::instance_id& instance,
                                       std::uint64_t incarnation);

} // namespace lovagetack::routing
