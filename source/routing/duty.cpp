#include "routing/duty.hpp"

#include <algorithm>
#include <utility>

#include "routing/granting.hpp"
#include "routing/keeper.hpp"
#include "routing/log_fields.hpp"
#include "routing/store_version.hpp"

namespace lovagetack::routing {
namespace {

/// The latest time that the store's clock can show now.
std::int64_t latest_store_time(const keeper_state& keeper, base::boot_time now) {
    return keeper.store_time + in_milliseconds(now - keeper.asked_at) + 1;
}

/// Weight of an instance in the choice of the keeper: an instance with little processor time cannot spare the work.
double keeper_weight(std::uint32_t processor) {
    const double cores = processor == 0 ? 1.0 : static_cast<double>(processor) / 1000.0;
    return cores * cores;
}

/// The time of the store's clock at `time`; 0 if it has passed.
std::int64_t store_time_of(const keeper_state& keeper, base::boot_time time, base::boot_time now) {
    return time > now ? latest_store_time(keeper, now) + in_milliseconds(time - now) : 0;
}

/// The time of the store's clock until which holders before this instance may renew grants.
std::int64_t former_renewals_end(const keeper_state& keeper, base::boot_time now) {
    return store_time_of(keeper, keeper.former_renewals_until, now);
}

keeper_lease next_lease(const step& step) {
    const auto& keeper = step.state.keeper;
    keeper_lease lease;
    lease.holder = step.state.self.instance;
    lease.incarnation = step.state.self.incarnation;
    lease.until = latest_store_time(keeper, step.now) + lease_time.count();
    lease.earlier_renewals_until = former_renewals_end(keeper, step.now);
    lease.renewals_until = std::max(lease.until + renewal_extension.count(), lease.earlier_renewals_until);
    lease.unrecorded_grants_until = store_time_of(keeper, keeper.moves_from, step.now);
    lease.delegates = step.state.instances.size() > small_deployment || !keeper.delegates.empty();
    lease.counters = keeper.counters.wanted;
    return lease;
}

} // namespace

std::int64_t in_milliseconds(std::chrono::microseconds time) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

bool is_lease_valid(const step& step) {
    const auto& keeper = step.state.keeper;
    return latest_store_time(keeper, step.now) < keeper.lease.until - clock_margin.count();
}

bool may_change(const step& step) {
    return step.state.keeper.phase == keeper_phase::holding && is_lease_valid(step);
}

bool may_move(const step& step) {
    return may_change(step) && step.now >= step.state.keeper.moves_from;
}

bool may_renew(const step& step) {
    const auto& keeper = step.state.keeper;
    // A keeper that began without knowing all grants relies on the end of the former keeper's renewals, which a further
    // restoration may extend: it grants nothing without a valid lease.
    const bool began_without_knowledge =
        keeper.grants_from != base::boot_time() && step.now < keeper.grants_from + lease_time + renewal_extension;
    const bool may_grant = step.now >= keeper.grants_from && (!began_without_knowledge || is_lease_valid(step));
    return may_grant && keeper.assignments_current && keeper.lease.holder == step.state.self.instance &&
           keeper.lease.incarnation == step.state.self.incarnation && renewal_time_left(step).count() > 0;
}

std::chrono::milliseconds renewal_time_left(const step& step) {
    const auto& keeper = step.state.keeper;
    return std::chrono::milliseconds(keeper.lease.renewals_until - latest_store_time(keeper, step.now)) - clock_margin;
}

std::chrono::milliseconds renewals_after_former_holder(const keeper_state& keeper) {
    return keeper.former_delegates ? renewer_permit : std::chrono::milliseconds(0);
}

base::boot_time last_former_grant(const keeper_state& keeper) {
    return std::max(keeper.former_renewals_until, keeper.started_at) + grant_call_time;
}

void note_former_holder_ended(keeper_state& keeper, base::boot_time at) {
    const auto end = std::max(keeper.earlier_renewals_until, at + renewals_after_former_holder(keeper));
    keeper.former_renewals_until = std::min(keeper.former_renewals_until, end);
}

void note_store_time(keeper_state& keeper, std::int64_t store_time, base::boot_time asked_at, base::boot_time now) {
    keeper.store_time = store_time;
    keeper.asked_at = asked_at;
    keeper.answered_at = now;
}

void schedule_check(step& step) {
    // All instances together check about once per lease_check_period.
    const double own = keeper_weight(step.state.self.processor);
    double all = 0;
    for (const auto& [id, record] : step.state.instances) {
        all += keeper_weight(record.processor);
    }
    const double share = std::min(1.0, own / std::max(own, all));
    const auto mean =
        std::chrono::microseconds(static_cast<std::int64_t>(static_cast<double>(lease_check_period.count()) / share));
    const auto random = static_cast<std::int64_t>(step.state.random() % 1000);
    step.state.keeper.next_check = step.now + mean / 2 + mean * random / 1000;
}

void schedule_first_check(step& step) {
    const auto processor = step.state.self.processor == 0 ? 1000 : static_cast<std::int64_t>(step.state.self.processor);
    const auto random = static_cast<std::int64_t>(step.state.random() % 1000);
    step.state.keeper.next_check = step.now + first_check_delay * 1000 / processor + first_check_spread * random / 1000;
}

void step_down(step& step, const char* reason) {
    auto& keeper = step.state.keeper;
    if (keeper.phase == keeper_phase::holding || keeper.phase == keeper_phase::reading) {
        step.add(log_line{false, "keeper_stopped", {text_field("reason", reason)}});
    }
    keeper.phase = keeper_phase::idle;
    keeper.assignments_current = false;
    keeper.lease = {};
    keeper.grants.clear();
    keeper.moves.clear();
    // Calls of this term may still be under way.
    std::erase_if(keeper.owners, [&step](const auto& entry) {
        return entry.second.under_way == 0 && step.now - entry.second.granted_at > longest_hold();
    });
    for (auto& [id, owner] : keeper.owners) {
        owner.failures_in_row = 0;
    }
    keeper.delegates.clear();
    keeper.delegate_of.clear();
    keeper.changed.clear();
    keeper.writing.clear();
    keeper.write_unresolved = false;
    schedule_check(step);
}

void write_lease(step& step) {
    auto& keeper = step.state.keeper;
    keeper.pending = next_lease(step);
    keeper.write_under_way = true;
    keeper.renewed_at = step.now;
    keeper.writing = std::exchange(keeper.changed, {});
    write_rows rows;
    rows.expected_lease_version = keeper.lease_version;
    rows.lease = keeper.pending;
    for (auto& [service, assignment] : keeper.writing) {
        assignment.keeper = step.state.self.instance;
        assignment.era = era_of(keeper.lease_version);
        rows.assignments.emplace_back(service, assignment);
    }
    step.add(std::move(rows));
}

const assignment& newest_assignment(const step& step, const model::service_id& service) {
    const auto& keeper = step.state.keeper;
    if (const auto changed = keeper.changed.find(service); changed != keeper.changed.end()) {
        return changed->second;
    }
    if (const auto writing = keeper.writing.find(service); writing != keeper.writing.end()) {
        return writing->second;
    }
    return step.state.services.at(service).assignment;
}

bool has_new_incarnation(const state& state, const model::instance_id& instance, std::uint64_t incarnation) {
    const auto found = state.instances.find(instance);
    return found != state.instances.end() && found->second.incarnation > incarnation;
}

std::optional<std::chrono::milliseconds> keeper_age(const state& state, base::boot_time now) {
    if (state.keeper.phase == keeper_phase::holding) {
        return std::chrono::milliseconds(0);
    }
    const auto age = now - state.keeper_reported_at;
    if (age >= peer_timeout) {
        return std::nullopt;
    }
    return std::chrono::duration_cast<std::chrono::milliseconds>(age);
}

void note_keeper_alive(step& step, base::boot_time at) {
    step.state.keeper_reported_at = std::max(step.state.keeper_reported_at, at);
}

void add_keeper_status(const state& state, base::boot_time now, instance_load& message) {
    const auto& keeper = state.keeper;
    message.is_keeper = keeper.phase == keeper_phase::holding &&
                        latest_store_time(keeper, now) < keeper.lease.until - clock_margin.count();
    message.renews = keeper.phase != keeper_phase::idle && keeper.phase != keeper_phase::checking;
}

void note_keeper_status(step& step, const instance_load& event) {
    auto& keeper = step.state.keeper;
    if (event.is_keeper) {
        step.state.keeper_reported_at = step.now;
        const bool acts = keeper.phase == keeper_phase::holding || keeper.phase == keeper_phase::reading;
        if (acts && !is_lease_valid(step)) {
            step_down(step, "another instance reports that it holds the lease");
        }
        return;
    }
    const bool former = event.instance == keeper.former_holder && event.incarnation == keeper.former_incarnation;
    if (!former || event.renews) {
        return;
    }
    // It knows of the new holder and has stopped renewing grants.
    const auto before = keeper.former_renewals_until;
    note_former_holder_ended(keeper, step.now);
    if (keeper.former_renewals_until < before) {
        step.add(log_line{false, "former_keeper_stopped", {text_field("former", event.instance.value())}});
    }
}

void release_lease(step& step) {
    auto& keeper = step.state.keeper;
    if (keeper.phase != keeper_phase::holding || keeper.write_under_way || !may_change(step)) {
        return;
    }
    write_rows rows;
    rows.expected_lease_version = keeper.lease_version;
    rows.lease.holder = step.state.self.instance;
    rows.lease.incarnation = step.state.self.incarnation;
    rows.lease.unrecorded_grants_until = store_time_of(keeper, keeper.moves_from, step.now);
    rows.lease.earlier_renewals_until = former_renewals_end(keeper, step.now);
    rows.lease.renewals_until = rows.lease.earlier_renewals_until;
    if (!keeper.delegates.empty()) {
        rows.lease.delegates = true;
        rows.lease.renewals_until =
            std::max(rows.lease.renewals_until, latest_store_time(keeper, step.now) + renewer_permit.count());
    }
    rows.lease.counters = keeper.counters.wanted;
    step.add(std::move(rows));
    step_down(step, "shutdown");
    keeper.next_check = base::boot_time::max();
}

} // namespace lovagetack::routing
