#include "routing/keeper.hpp"

#include <algorithm>
#include <iterator>
#include <optional>
#include <utility>

#include "routing/accounts/naming.hpp"
#include "routing/delegation.hpp"
#include "routing/duty.hpp"
#include "routing/granting.hpp"
#include "routing/keeper_plan.hpp"
#include "routing/log_fields.hpp"
#include "routing/servers.hpp"
#include "routing/store_version.hpp"

namespace lovagetack::routing {
namespace {

void remove_old_records(step& step) {
    auto& keeper = step.state.keeper;
    const auto current = [&](const range_id& id) -> const key_range* {
        const auto service = step.state.services.find(id.service);
        if (service == step.state.services.end()) {
            return nullptr;
        }
        const auto* const range = find_range(service->second.assignment, id.first);
        return range != nullptr && range->first == id.first && range->fence == id.fence ? range : nullptr;
    };
    std::erase_if(keeper.grants, [&](const auto& entry) { return current(entry.first) == nullptr; });
    // A move is kept until the row shows that it has ended: its new owner may have been granted the keys.
    std::erase_if(keeper.moves, [&](const auto& entry) {
        const auto* const range = current(entry.first);
        return range == nullptr || !range->moving();
    });
    while (keeper.confirmed.size() > remembered_tokens) {
        keeper.confirmed.erase(keeper.confirmed.begin());
    }
}

bool replace_if_newer(step& step, const model::service_id& service, std::uint64_t version,
                      const assignment& assignment) {
    auto& record = step.state.services[service];
    if (version <= record.assignment_version) {
        return false;
    }
    const auto& keeper = step.state.keeper;
    const bool acts = keeper.phase == keeper_phase::holding || keeper.phase == keeper_phase::reading;
    if (acts && version > keeper.lease_version && assignment.keeper != step.state.self.instance) {
        // Its tokens must not be renewed by this instance, which may still renew its own.
        step_down(step, "another instance has written an assignment");
    }
    record.assignment_version = version;
    record.assignment = assignment;
    step.state.assignment_keeper = assignment.keeper;
    return true;
}

/// Sends the other instances a change that the store has confirmed, so that they need not read the rows.
void publish_assignment_change(step& step, const model::service_id& service, std::uint64_t version,
                               const assignment& assignment) {
    const auto& record = step.state.services[service];
    if (version <= record.assignment_version) {
        return;
    }
    const auto ranges = new_ranges(record.assignment, assignment);
    assignment_changed change;
    change.service = service;
    change.base_version = record.assignment_version;
    change.version = version;
    change.next_fence = assignment.next_fence;
    change.keeper = assignment.keeper;
    change.parts = static_cast<std::uint32_t>(
        std::max<std::size_t>(1, (ranges.size() + ranges_per_message - 1) / ranges_per_message));
    for (change.part = 0; change.part < change.parts; ++change.part) {
        const auto begin = static_cast<std::ptrdiff_t>(change.part * ranges_per_message);
        const auto count = std::min(static_cast<std::ptrdiff_t>(ranges_per_message), std::ssize(ranges) - begin);
        change.ranges.assign(ranges.begin() + begin, ranges.begin() + begin + count);
        step.add(send_change{change});
    }
}

/// Collects the parts of a change; nothing until all have arrived.
std::optional<assignment_changed> complete_change(service_record& record, const assignment_changed& event) {
    if (event.parts <= 1) {
        return event;
    }
    auto& change = record.incomplete_change;
    if (change.version != event.version || change.keeper != event.keeper) {
        change = event;
        change.ranges.clear();
        record.change_parts.clear();
    }
    if (record.change_parts.insert(event.part).second) {
        change.ranges.insert(change.ranges.end(), event.ranges.begin(), event.ranges.end());
    }
    if (record.change_parts.size() < event.parts) {
        return std::nullopt;
    }
    std::sort(change.ranges.begin(), change.ranges.end(),
              [](const key_range& left, const key_range& right) { return left.first < right.first; });
    record.change_parts.clear();
    return std::exchange(change, {});
}

/// After a pause of this instance another one may hold the lease, and servers may have restarted.
void check_pause(step& step) {
    auto& keeper = step.state.keeper;
    const bool paused = step.now - std::exchange(keeper.last_run_at, step.now) > longest_keeper_pause;
    const bool acts = keeper.phase == keeper_phase::holding || keeper.phase == keeper_phase::reading;
    if (!paused || !acts) {
        return;
    }
    step.add(log_line{true, "keeper_paused", {}});
    keeper.assignments_current = false;
    keeper.changed.clear();
    keeper.phase = keeper_phase::reading;
}

/// The store has come back from a copy: the lease that it shows is not the one that this instance holds.
void check_restoration(step& step) {
    auto& keeper = step.state.keeper;
    const bool acts = keeper.phase == keeper_phase::holding && !keeper.write_under_way;
    if (acts && step.state.store_era.value_or(0) > era_of(keeper.lease_version)) {
        keeper.changed.clear();
        keeper.phase = keeper_phase::reading;
    }
}

/// The largest token that may have been issued before the era that the answer shows; 0 if no issued token can have been
/// lost.
std::uint64_t token_floor(const lease_read& event) {
    constexpr unsigned token_bits = 32;
    return event.store_was_restored ? era_of(event.version) << token_bits : 0;
}

/// Whether no other instance can have moved keys without the knowledge of this one, by the lease that it holds or held.
bool knows_all_grants(const step& step) {
    const auto& keeper = step.state.keeper;
    return keeper.assignments_current && keeper.lease.incarnation == step.state.self.incarnation &&
           renewal_time_left(step) > renewal_extension - complete_knowledge_time;
}

/// Returns to the check of the lease after a claim as its holder in the former era was not confirmed. False for another
/// claim.
bool retry_restored_claim(step& step) {
    auto& keeper = step.state.keeper;
    if (keeper.lease.holder != step.state.self.instance) {
        return false;
    }
    keeper.phase = keeper_phase::reading;
    keeper.next_read = step.now + store_retry;
    return true;
}

/// What this instance knows to be granted, to be written again.
std::map<model::service_id, assignment> known_assignments(const step& step) {
    std::map<model::service_id, assignment> known;
    for (const auto& [service, record] : step.state.services) {
        if (record.assignment.ranges.empty()) {
            continue;
        }
        auto& assignment = known.emplace(service, record.assignment).first->second;
        assignment.next_fence = std::max(assignment.next_fence, step.state.keeper.token_floor + 1);
    }
    return known;
}

/// Longest time until all grants have ended that were made before a restoration of the store.
std::chrono::microseconds longest_unrecorded_grants() {
    return lease_time + renewal_extension + clock_margin + grant_call_time + longest_hold();
}

/// Takes the lease in a new era of the store as its holder in the era before. Grants are renewed without a break.
/// Another instance may have held the lease before the restoration without a trace; keys move only when its grants have
/// ended.
void claim_restored_lease(step& step, const lease_read& event, bool was_valid) {
    auto& keeper = step.state.keeper;
    keeper.lease_version = event.version;
    keeper.token_floor = token_floor(event);
    if (!was_valid) {
        keeper.moves_from = std::max(keeper.moves_from, step.now + longest_unrecorded_grants());
    }
    const auto wait = std::max<std::int64_t>(0, in_milliseconds(keeper.moves_from - step.now));
    step.add(log_line{true,
                      "keeper_continues_after_restoration",
                      {number_field("era", era_of(event.version)), number_field("moves_wait_ms", wait)}});
    keeper.phase = keeper_phase::claiming;
    keeper.changed = known_assignments(step);
    for (const auto& [service, assignment] : keeper.changed) {
        // Without a first token, the service had no assignment when the term began.
        keeper.first_tokens.try_emplace(service, 1);
    }
    write_lease(step);
}

/// Whether the changes are to be written now: no move is about to end, or they have waited long enough.
bool are_changes_due(step& step) {
    auto& keeper = step.state.keeper;
    if (keeper.changed.empty()) {
        keeper.first_change_at = step.now;
        return false;
    }
    const bool grants_in_progress = std::any_of(keeper.moves.begin(), keeper.moves.end(),
                                                [](const auto& entry) { return entry.second.grant_under_way; });
    return !grants_in_progress || step.now - keeper.first_change_at >= write_batching_time * size_factor(step.state);
}

} // namespace

void update_assignment(step& step, const assignment_learned& event) {
    const auto& keeper = step.state.keeper;
    if (keeper.write_under_way && event.assignment.keeper == step.state.self.instance) {
        // The answer to the write brings the same, and the other instances are told then.
        return;
    }
    replace_if_newer(step, event.service, event.version, event.assignment);
}

void note_assignment_version(step& step, const model::service_id& service, std::uint64_t version) {
    auto& record = step.state.services[service];
    if (version <= record.assignment_version) {
        record.assignment_behind_since = {};
        return;
    }
    if (record.assignment_behind_since == base::boot_time()) {
        record.assignment_behind_since = step.now;
        return;
    }
    const bool late = step.now - record.assignment_behind_since >= gap_tolerance;
    if (late && step.state.keeper.phase == keeper_phase::idle && step.now - step.state.refreshed_at >= refresh_pause) {
        step.state.refreshed_at = step.now;
        step.add(refresh_assignments{});
    }
}

void apply_assignment_change(step& step, const assignment_changed& event) {
    auto& record = step.state.services[event.service];
    if (record.assignment_version != event.base_version) {
        // A keeper acts only on assignments that it has read itself.
        const bool active = step.state.keeper.phase != keeper_phase::idle;
        if (record.assignment_version < event.version && !active &&
            step.now - step.state.refreshed_at >= refresh_pause) {
            step.state.refreshed_at = step.now;
            step.add(refresh_assignments{});
        }
        return;
    }
    const auto change = complete_change(record, event);
    if (!change) {
        return;
    }
    auto ranges = replace_ranges(record.assignment.ranges, change->ranges);
    if (!ranges) {
        step.add(log_line{true,
                          "assignment_change_rejected",
                          {text_field("service", event.service.value()), number_field("version", event.version)}});
        return;
    }
    assignment changed;
    changed.next_fence = event.next_fence;
    changed.keeper = event.keeper;
    changed.era = era_of(event.version);
    changed.ranges = std::move(*ranges);
    replace_if_newer(step, event.service, event.version, changed);
}

void end_lease_read(step& step, const lease_read& event) {
    auto& keeper = step.state.keeper;
    const bool resolving = keeper.phase == keeper_phase::reading && keeper.lease.holder == step.state.self.instance;
    keeper.read_under_way = false;
    if (!event.answered) {
        if (keeper.phase == keeper_phase::checking) {
            keeper.phase = keeper_phase::idle;
        }
        schedule_check(step);
        keeper.next_read = step.now + store_retry;
        return;
    }
    // By the store's clock before the restoration.
    const bool was_valid = resolving && is_lease_valid(step);
    const bool knows_grants = resolving && knows_all_grants(step);
    note_store_time(keeper, event.store_time, event.asked_at, step.now);
    note_store_era(step, era_of(event.version));
    const bool lease_was_lost = event.store_was_restored && !event.lease;
    if (lease_was_lost && knows_grants) {
        claim_restored_lease(step, event, was_valid);
        return;
    }
    const bool own = event.lease && event.lease->holder == step.state.self.instance;
    if (own && event.lease->incarnation == step.state.self.incarnation) {
        // A write without an answer has been done, or nothing has changed.
        if (!resolving) {
            keeper.term = event.version;
            keeper.order_sequence = 0;
            take_over_counters(step, event.lease->counters);
        }
        keeper.lease_version = event.version;
        keeper.lease = *event.lease;
        keeper.phase = keeper_phase::reading;
        keeper.read_under_way = true;
        step.add(read_assignments{});
        return;
    }
    if (resolving) {
        step_down(step, "another instance holds the lease");
    }
    const bool is_left_to_former = lease_was_lost && step.now - step.state.era_seen_at < restored_lease_delay;
    const bool free = !event.lease || own || event.lease->until + clock_margin.count() < event.store_time;
    if (!free || is_left_to_former || step.state.shutting_down || !step.state.registry_known) {
        keeper.phase = keeper_phase::idle;
        schedule_check(step);
        return;
    }
    const keeper_lease former = event.lease.value_or(keeper_lease());
    keeper.former_holder = former.holder;
    keeper.former_incarnation = former.incarnation;
    keeper.former_delegates = former.delegates;
    // An earlier run of this instance has ended.
    const bool former_ended = own || has_new_incarnation(step.state, former.holder, former.incarnation);
    const auto local_time = [&](std::int64_t store_time) {
        const std::chrono::milliseconds left(store_time - event.store_time);
        return left.count() > 0 ? step.now + left + clock_margin : step.now;
    };
    keeper.earlier_renewals_until = local_time(former.earlier_renewals_until);
    keeper.former_renewals_until = local_time(former.renewals_until);
    if (former_ended) {
        note_former_holder_ended(keeper, step.now);
    }
    keeper.token_floor = token_floor(event);
    const bool has_unrecorded = former.unrecorded_grants_until > event.store_time;
    keeper.moves_from = has_unrecorded ? local_time(former.unrecorded_grants_until) : base::boot_time();
    if (lease_was_lost) {
        keeper.former_renewals_until = step.now + lease_time + renewal_extension + clock_margin;
        keeper.earlier_renewals_until = keeper.former_renewals_until;
        keeper.moves_from = step.now + longest_unrecorded_grants();
    }
    keeper.grants_from = keeper.moves_from;
    keeper.assignments_current = false;
    keeper.confirmed.clear();
    keeper.first_tokens.clear();
    keeper.started_at = step.now;
    keeper.lease_version = event.version;
    keeper.lease = {};
    keeper.phase = keeper_phase::claiming;
    keeper.changed.clear();
    take_over_counters(step, former.counters);
    write_lease(step);
}

void end_write(step& step, const rows_written& event) {
    auto& keeper = step.state.keeper;
    keeper.write_under_way = false;
    const auto written = std::exchange(keeper.writing, {});
    if (keeper.phase == keeper_phase::idle) {
        return;
    }
    const bool in_new_era = era_of(event.version) > era_of(keeper.lease_version);
    if (event.outcome == write_outcome::written && !in_new_era) {
        note_store_time(keeper, event.store_time, event.asked_at, step.now);
        keeper.write_unresolved = false;
        keeper.lease_version = event.version;
        keeper.lease = keeper.pending;
        keeper.counters.confirmed = true;
        for (const auto& [service, assignment] : written) {
            publish_assignment_change(step, service, event.version, assignment);
            replace_if_newer(step, service, event.version, assignment);
        }
        remove_old_records(step);
        if (keeper.phase == keeper_phase::claiming) {
            keeper.phase = keeper_phase::reading;
            keeper.term = event.version;
            if (keeper.delegates.empty()) {
                keeper.order_sequence = 0;
            }
            step.add(log_line{
                false,
                "keeper_started",
                {number_field("lease_version", store_version::from_ordered(keeper.lease_version).number()),
                 text_field("former", keeper.former_holder.value()),
                 number_field("former_right_ms", in_milliseconds(keeper.former_renewals_until - step.now)),
                 number_field("earlier_right_ms", in_milliseconds(keeper.earlier_renewals_until - step.now))}});
            keeper.read_under_way = true;
            step.add(read_assignments{});
        }
        return;
    }
    if (event.outcome == write_outcome::refused) {
        for (const auto& [service, assignment] : written) {
            keeper.changed.try_emplace(service, assignment);
        }
        keeper.next_write = step.now + store_retry;
        if (keeper.phase == keeper_phase::claiming && !retry_restored_claim(step)) {
            step_down(step, "store refused the claim");
        }
        return;
    }
    // The plan may be based on an outdated assignment: read the store again.
    keeper.changed.clear();
    keeper.write_unresolved = event.outcome == write_outcome::unknown;
    step.add(log_line{true,
                      "lease_write_unresolved",
                      {text_field("outcome", event.outcome == write_outcome::conflict ? "conflict" : "unknown")}});
    if (keeper.phase == keeper_phase::claiming) {
        if (!retry_restored_claim(step)) {
            step_down(step, "claim not confirmed");
        }
        return;
    }
    keeper.phase = keeper_phase::reading;
}

void end_assignments_read(step& step, const assignments_read& event) {
    auto& keeper = step.state.keeper;
    if (keeper.phase != keeper_phase::reading) {
        return;
    }
    keeper.read_under_way = false;
    if (!event.answered) {
        keeper.next_read = step.now + store_retry;
        return;
    }
    keeper.assignments_current = true;
    keeper.phase = keeper_phase::holding;
    keeper.next_plan = step.now;
    remove_old_records(step);
    renew_former_fences(step);
}

void run_keeper(step& step) {
    auto& keeper = step.state.keeper;
    check_pause(step);
    check_restoration(step);
    if (has_new_incarnation(step.state, keeper.former_holder, keeper.former_incarnation)) {
        note_former_holder_ended(keeper, step.now);
    }
    if (step.now - step.state.keeper_reported_at < peer_timeout && step.now >= keeper.next_check) {
        // The holder has sent a message lately, so the lease need not be read.
        schedule_check(step);
    }
    const bool tables_known = step.state.registry_known && step.state.assignments_known;
    if (tables_known && keeper.next_check == base::boot_time()) {
        schedule_first_check(step);
    }
    if (keeper.phase == keeper_phase::idle && !step.state.shutting_down && tables_known &&
        step.now >= keeper.next_check) {
        keeper.phase = keeper_phase::checking;
        keeper.read_under_way = true;
        step.add(read_lease{});
    }
    if (keeper.phase == keeper_phase::reading && !keeper.read_under_way && step.now >= keeper.next_read) {
        keeper.read_under_way = true;
        step.add(read_lease{});
    }
    if (step.state.shutting_down) {
        release_lease(step);
    }
    if (may_renew(step)) {
        delegate_renewals(step);
        for (const auto& [name, record] : step.state.services) {
            renew_grants(step, name, record);
        }
    }
    name_counters(step);
    // A write that is carried out late must not replace an owner that was granted its keys meanwhile.
    if (may_move(step) && !keeper.write_unresolved) {
        plan_all(step);
        for (const auto& [name, record] : step.state.services) {
            for (const auto& range : record.assignment.ranges) {
                if (!range.moving()) {
                    continue;
                }
                const auto* const later = find_range(newest_assignment(step, name), range.first);
                if (later != nullptr && *later == range) {
                    continue_move(step, name, range);
                }
            }
        }
    }
    const bool due = step.now - keeper.renewed_at >= lease_renewal || keeper.write_unresolved;
    if (keeper.phase == keeper_phase::holding && !keeper.write_under_way && step.now >= keeper.next_write &&
        (due || ((are_changes_due(step) || are_roles_unwritten(step)) && may_change(step)))) {
        if (!may_change(step)) {
            // The lease may have another holder; the write then fails by its condition on the version.
            keeper.changed.clear();
        }
        write_lease(step);
    }
}

} // namespace lovagetack::routing
