#include "routing/keeper.hpp"

#include <algorithm>
#include <utility>

#include "routing/log_fields.hpp"
#include "routing/plan.hpp"
#include "routing/servers.hpp"

namespace lovagetack::routing {
namespace {

/// Every change of an assignment is read by all instances: the more there are, the rarer it should be.
std::int64_t size_factor(const state& state) {
    return static_cast<std::int64_t>(1 + state.instances.size() / (small_deployment + 1));
}

std::chrono::microseconds longest_hold() {
    const auto hold = std::chrono::duration_cast<std::chrono::microseconds>(hold_time);
    return std::chrono::microseconds(static_cast<std::int64_t>(static_cast<double>(hold.count()) * slow_clock)) +
           hold_margin;
}

std::int64_t milliseconds(std::chrono::microseconds time) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

/// The latest time that the store's clock can show now.
std::int64_t latest_store_time(const keeper_state& keeper, base::boot_time now) {
    return keeper.store_time + milliseconds(now - keeper.asked_at) + 1;
}

/// Nobody else can hold the duty.
bool lease_holds(const step& step) {
    const auto& keeper = step.state.keeper;
    return latest_store_time(keeper, step.now) < keeper.lease.until - clock_margin.count();
}

bool may_change(const step& step) {
    return step.state.keeper.phase == keeper_phase::holding && lease_holds(step);
}

bool may_renew(const step& step) {
    const auto& keeper = step.state.keeper;
    return keeper.assignments_current && keeper.lease.holder == step.state.self.instance &&
           keeper.lease.incarnation == step.state.self.incarnation &&
           latest_store_time(keeper, step.now) < keeper.lease.renewals_until - clock_margin.count();
}

void note_store_time(keeper_state& keeper, std::int64_t store_time, base::boot_time asked_at, base::boot_time now) {
    keeper.store_time = store_time;
    keeper.asked_at = asked_at;
    keeper.answered_at = now;
}

/// How readily an instance takes the duty, which costs more than a small one can spare.
double readiness_for_duty(std::uint32_t processor) {
    const double cores = processor == 0 ? 1.0 : static_cast<double>(processor) / 1000.0;
    return cores * cores;
}

void schedule_check(step& step) {
    // All instances together check about once in lease_check_period.
    const double own = readiness_for_duty(step.state.self.processor);
    double all = 0;
    for (const auto& [id, record] : step.state.instances) {
        all += readiness_for_duty(record.processor);
    }
    const double share = std::min(1.0, own / std::max(own, all));
    const auto mean =
        std::chrono::microseconds(static_cast<std::int64_t>(static_cast<double>(lease_check_period.count()) / share));
    const auto random = static_cast<std::int64_t>(step.state.random() % 1000);
    step.state.keeper.next_check = step.now + mean / 2 + mean * random / 1000;
}

/// The first check, when nobody may hold the duty yet: those with more processor time come first.
void schedule_first_check(step& step) {
    const auto processor = step.state.self.processor == 0 ? 1000 : static_cast<std::int64_t>(step.state.self.processor);
    const auto random = static_cast<std::int64_t>(step.state.random() % 1000);
    step.state.keeper.next_check = step.now + first_check_delay * 1000 / processor + first_check_spread * random / 1000;
}

void stand_down(step& step, const char* reason) {
    auto& keeper = step.state.keeper;
    if (keeper.phase == keeper_phase::holding || keeper.phase == keeper_phase::reading) {
        step.add(log_line{false, "keeper_stopped", {text_field("reason", reason)}});
    }
    keeper.phase = keeper_phase::idle;
    keeper.assignments_current = false;
    keeper.lease = {};
    keeper.grants.clear();
    keeper.moves.clear();
    keeper.owners.clear();
    keeper.changed.clear();
    keeper.writing.clear();
    schedule_check(step);
}

keeper_lease next_lease(const step& step) {
    const auto& keeper = step.state.keeper;
    keeper_lease lease;
    lease.holder = step.state.self.instance;
    lease.incarnation = step.state.self.incarnation;
    lease.until = latest_store_time(keeper, step.now) + lease_time.count();
    lease.renewals_until = std::max(lease.until + renewal_right.count(), keeper.lease.renewals_until);
    return lease;
}

void write(step& step) {
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
        rows.assignments.emplace_back(service, assignment);
    }
    step.add(std::move(rows));
}

/// The assignment with the changes that are not written yet, or whose write is under way.
const assignment& newest(const step& step, const model::service_id& service) {
    const auto& keeper = step.state.keeper;
    if (const auto changed = keeper.changed.find(service); changed != keeper.changed.end()) {
        return changed->second;
    }
    if (const auto writing = keeper.writing.find(service); writing != keeper.writing.end()) {
        return writing->second;
    }
    return step.state.services.at(service).assignment;
}

// Grants.

std::string_view name_of(grant_outcome outcome) {
    switch (outcome) {
    case grant_outcome::accepted:
        return "accepted";
    case grant_outcome::superseded:
        return "superseded";
    case grant_outcome::refused:
        return "refused";
    case grant_outcome::unanswered:
        return "unanswered";
    }
    return "";
}

void send_grant(step& step, const model::service_id& service, const key_range& range, const server_record& server,
                const std::string& handover) {
    auto& owner = step.state.keeper.owners[range.owner];
    owner.sent_at = step.now;
    ++owner.under_way;
    step.add(grant_range{service, range.owner, server.registration.address, range.first, range.last, range.fence,
                         hold_time, handover});
}

/// The server of a range's owner, if it lives the life that was assigned the keys.
const server_record* owner_of(const state& state, const key_range& range) {
    const auto found = state.servers.find(range.owner);
    return found != state.servers.end() && found->second.registration.born == range.owner_born ? &found->second
                                                                                               : nullptr;
}

bool is_lost(const step& step, const model::backend_server_id& id) {
    const auto found = step.state.keeper.owners.find(id);
    return found != step.state.keeper.owners.end() && found->second.failures_in_row >= 2 &&
           step.now - found->second.confirmed_at > lost_after;
}

void renew_grants(step& step, const model::service_id& service, const service_record& record) {
    auto& keeper = step.state.keeper;
    for (const auto& range : record.assignment.ranges) {
        // A range that a pending change takes away or divides is not renewed: its grant has to end.
        const auto* const later = find_range(newest(step, service), range.first);
        if (range.moving() || later == nullptr || *later != range) {
            continue;
        }
        const auto* const server = owner_of(step.state, range);
        if (server == nullptr || is_lost(step, range.owner)) {
            continue;
        }
        auto& grant = keeper.grants[{service, range.first, range.fence}];
        if (grant.under_way || step.now - grant.sent_at < renewal_period) {
            continue;
        }
        grant.under_way = true;
        grant.sent_at = step.now;
        send_grant(step, service, range, *server, "");
    }
}

// Moves.

/// Whether the leaving owner's grant of the range has ended for sure.
bool has_ended(const step& step, const model::service_id& service, const key_range& range, const move_record& move) {
    const auto& keeper = step.state.keeper;
    const auto owner = keeper.owners.find(range.leaving);
    const auto sent = owner != keeper.owners.end() ? owner->second.sent_at : base::boot_time();
    const auto unanswered = owner != keeper.owners.end() ? owner->second.unanswered_at : base::boot_time();
    // Once the owner has seen a token of this term, grants of former holders are rejected there.
    const auto server = step.state.servers.find(range.leaving);
    const bool same_life = server != step.state.servers.end() && server->second.registration.born == range.leaving_born;
    const bool guarded = same_life && keeper.confirmed.contains({service, range.leaving_fence});
    const auto foreign = std::max(keeper.former_right_until, keeper.started_at);
    if (move.released && step.now > unanswered + longest_hold() && (guarded || step.now > foreign + longest_hold())) {
        return true;
    }
    // Renewals ended before the move began.
    const auto last = std::max(std::min(sent, move.started_at), foreign);
    return step.now > last + longest_hold();
}

void release(step& step, const model::service_id& service, const key_range& range, move_record& move) {
    const auto server = step.state.servers.find(range.leaving);
    if (server == step.state.servers.end() || move.released || move.release_under_way ||
        step.now - move.release_sent_at < release_retry) {
        return;
    }
    // A renewal that overtakes the release would give the keys back.
    const auto owner = step.state.keeper.owners.find(range.leaving);
    if (owner != step.state.keeper.owners.end() && owner->second.under_way > 0) {
        return;
    }
    move.release_under_way = true;
    move.release_sent_at = step.now;
    step.add(release_range{service, range.leaving, server->second.registration.address, range.first, range.last,
                           range.leaving_fence, range.first, range.fence});
}

void continue_move(step& step, const model::service_id& service, const key_range& range) {
    auto& keeper = step.state.keeper;
    const auto [found, is_new] = keeper.moves.try_emplace({service, range.first, range.fence});
    auto& move = found->second;
    if (is_new) {
        move.started_at = step.now;
    }
    if (!has_ended(step, service, range, move)) {
        release(step, service, range, move);
        return;
    }
    const auto* const server = owner_of(step.state, range);
    if (server == nullptr || move.grant_under_way || step.now - move.grant_sent_at < release_retry) {
        return;
    }
    move.grant_under_way = true;
    move.grant_sent_at = step.now;
    send_grant(step, service, range, *server, move.handover);
}

// Planning.

std::vector<candidate> candidates(const step& step, const model::service_id& service) {
    std::vector<candidate> found;
    std::vector<candidate> cold;
    double usual = 0;
    for (const auto& [id, server] : step.state.servers) {
        if (server.registration.service != service || is_lost(step, id) || server.failures_in_row > 2) {
            continue;
        }
        if (may_own(step.state, server, step.now)) {
            const auto time = static_cast<double>(usual_time(step.state, server).count());
            usual += time;
            found.push_back({id, server.registration.born, time});
        } else if (server.registered && !server.leaving_since &&
                   !step.state.evacuated.contains(server.registration.data_centre)) {
            cold.push_back({id, server.registration.born, 1});
        }
    }
    if (found.empty()) {
        return cold;
    }
    usual /= static_cast<double>(found.size());
    for (auto& item : found) {
        // Observed service times vary, so that only a part of the difference is believed.
        item.capacity = std::clamp(usual / std::max(1.0, item.capacity), 0.5, 1.6);
    }
    return found;
}

std::vector<std::uint32_t> recent_keys(service_record& record, base::boot_time now) {
    while (!record.samples.empty() && now - record.samples.front().first > sample_age) {
        record.samples.pop_front();
    }
    std::vector<std::uint32_t> keys;
    keys.reserve(record.samples.size());
    for (const auto& [at, key] : record.samples) {
        keys.push_back(key);
    }
    return keys;
}

bool must_move(const step& step, const key_range& range) {
    const auto* const server = owner_of(step.state, range);
    if (server == nullptr) {
        return true;
    }
    return !server->registered || server->leaving_since || server->evacuated_since || is_lost(step, range.owner);
}

/// Whether all servers that start at the same time have probably registered.
bool has_settled(const step& step, const model::service_id& service) {
    return std::none_of(step.state.servers.begin(), step.state.servers.end(), [&](const auto& entry) {
        return entry.second.registration.service == service && step.now - entry.second.registered_at < settling_time;
    });
}

move_stage stage_of(const step& step, const model::service_id& service, const key_range& range) {
    const auto& keeper = step.state.keeper;
    const auto found = keeper.moves.find({service, range.first, range.fence});
    if (found != keeper.moves.end() && found->second.grant_sent_at != base::boot_time()) {
        return move_stage::granted;
    }
    const auto first = keeper.first_tokens.find(service);
    const bool inherited = first == keeper.first_tokens.end() || range.fence < first->second;
    const auto foreign = std::max(keeper.former_right_until, keeper.started_at);
    // A move of an earlier term may have been granted; after this time nobody holds its keys any more.
    return inherited && step.now <= foreign + longest_hold() ? move_stage::unknown : move_stage::begun;
}

void note_postponed_balance(step& step, const model::service_id& service, const assignment& assignment) {
    auto& keeper = step.state.keeper;
    if (step.now < keeper.next_postponed_note) {
        return;
    }
    keeper.next_postponed_note = step.now + postponed_note_period;
    const auto moving = std::find_if(assignment.ranges.begin(), assignment.ranges.end(),
                                     [](const key_range& range) { return range.moving(); });
    const auto unconfirmed =
        std::find_if(assignment.ranges.begin(), assignment.ranges.end(), [&](const key_range& range) {
            return !keeper.confirmed.contains({service, range.fence});
        });
    const auto owner_in = [&assignment](auto range) {
        return range == assignment.ranges.end() ? std::string() : range->owner.value();
    };
    step.add(log_line{false,
                      "balance_postponed",
                      {text_field("service", service.value()), text_field("moving_to", owner_in(moving)),
                       text_field("unconfirmed", owner_in(unconfirmed))}});
}

void plan(step& step, const model::service_id& service, service_record& record, bool balancing) {
    auto& keeper = step.state.keeper;
    assignment next = newest(step, service);
    const auto able = candidates(step, service);
    if (next.ranges.empty()) {
        if (!has_settled(step, service)) {
            return;
        }
        next = first_assignment(able);
        if (!next.ranges.empty()) {
            keeper.changed[service] = std::move(next);
        }
        return;
    }
    plan_inputs inputs{able, [&step](const key_range& range) { return must_move(step, range); },
                       [&step, &service](const key_range& range) { return stage_of(step, service, range); },
                       load_estimate(recent_keys(record, step.now))};
    bool changed = move_lost_ranges(next, inputs);
    const bool settled =
        std::none_of(next.ranges.begin(), next.ranges.end(), [](const key_range& range) { return range.moving(); });
    const bool guarded = std::all_of(next.ranges.begin(), next.ranges.end(), [&](const key_range& range) {
        return keeper.confirmed.contains({service, range.fence});
    });
    if (!changed && balancing && !(settled && guarded)) {
        note_postponed_balance(step, service, next);
    }
    if (!changed && balancing && settled && guarded) {
        changed = merge_ranges(next, able.size() * ranges_per_owner);
        if (inputs.load.samples() >= fewest_samples) {
            changed = balance(next, inputs) || changed;
        }
    }
    if (!changed) {
        return;
    }
    const auto moving =
        std::count_if(next.ranges.begin(), next.ranges.end(), [](const key_range& range) { return range.moving(); });
    step.state.moves += static_cast<std::uint64_t>(moving);
    step.add(log_line{false,
                      "assignment_planned",
                      {text_field("service", service.value()), number_field("ranges", next.ranges.size()),
                       number_field("moving", moving), number_field("candidates", able.size()),
                       number_field("samples", inputs.load.samples())}});
    keeper.changed[service] = std::move(next);
}

void plan_all(step& step) {
    auto& keeper = step.state.keeper;
    if (step.now < keeper.next_plan || !keeper.writing.empty() || !step.state.registry_known) {
        return;
    }
    keeper.next_plan = step.now + plan_period;
    const bool balancing = step.now >= keeper.next_balance;
    if (balancing) {
        keeper.next_balance = step.now + balance_period * size_factor(step.state);
    }
    for (const auto& [name, settings] : step.state.configuration.services) {
        if (settings.divided_by_key) {
            plan(step, name, step.state.services[name], balancing);
        }
    }
}

/// A server has seen a higher token of these keys, as when a former holder's grant arrived late.
void renew_fence(step& step, const range_id& id) {
    auto next = newest(step, id.service);
    for (auto& range : next.ranges) {
        if (range.first == id.first && range.fence == id.fence) {
            range.fence = next.next_fence++;
            step.state.keeper.changed[id.service] = next;
            return;
        }
    }
}

/// Gives all ranges new fencing tokens, so that grants of a former holder that are still on their way, or that it still
/// sends, are rejected.
void refence(step& step) {
    auto& keeper = step.state.keeper;
    for (const auto& [name, record] : step.state.services) {
        keeper.first_tokens[name] = record.assignment.next_fence;
        if (record.assignment.ranges.empty()) {
            continue;
        }
        auto next = record.assignment;
        for (auto& range : next.ranges) {
            if (!range.moving()) {
                range.fence = next.next_fence++;
            }
        }
        keeper.changed[name] = std::move(next);
    }
}

void forget_old_records(step& step) {
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
    // A move stays known until the row shows that it is over: its new owner may have been granted the keys.
    std::erase_if(keeper.moves, [&](const auto& entry) {
        const auto* const range = current(entry.first);
        return range == nullptr || !range->moving();
    });
    while (keeper.confirmed.size() > remembered_tokens) {
        keeper.confirmed.erase(keeper.confirmed.begin());
    }
}

bool apply(step& step, const model::service_id& service, std::uint64_t version, const assignment& assignment) {
    auto& record = step.state.services[service];
    if (version <= record.assignment_version) {
        return false;
    }
    record.assignment_version = version;
    record.assignment = assignment;
    step.state.known_keeper = assignment.keeper;
    return true;
}

/// Tells the other instances what the store has confirmed, so that they need not read the whole row.
void pass_on(step& step, const model::service_id& service, std::uint64_t version, const assignment& assignment) {
    const auto& record = step.state.services[service];
    assignment_changed change{service,           record.assignment_version,
                              version,           assignment.next_fence,
                              assignment.keeper, new_ranges(record.assignment, assignment)};
    if (record.assignment_version > 0 && version > record.assignment_version &&
        change.ranges.size() <= ranges_per_message) {
        step.add(send_change{std::move(change)});
    }
}

bool has_new_incarnation(const state& state, const model::instance_id& instance, std::uint64_t incarnation) {
    const auto found = state.instances.find(instance);
    return found != state.instances.end() && found->second.incarnation > incarnation;
}

} // namespace

void learn_assignment(step& step, const assignment_learned& event) {
    apply(step, event.service, event.version, event.assignment);
}

void change_assignment(step& step, const assignment_changed& event) {
    const auto found = step.state.services.find(event.service);
    const auto known = found == step.state.services.end() ? 0 : found->second.assignment_version;
    if (known != event.base_version) {
        // Only a keeper's own reads tell it what it may act on.
        const bool reads = step.state.keeper.phase != keeper_phase::idle;
        if (known < event.version && !reads && step.now - step.state.refreshed_at >= refresh_pause) {
            step.state.refreshed_at = step.now;
            step.add(refresh_assignments{});
        }
        return;
    }
    auto ranges = replace_ranges(found->second.assignment.ranges, event.ranges);
    if (!ranges) {
        step.add(log_line{true,
                          "assignment_change_rejected",
                          {text_field("service", event.service.value()), number_field("version", event.version)}});
        return;
    }
    assignment changed;
    changed.next_fence = event.next_fence;
    changed.keeper = event.keeper;
    changed.ranges = std::move(*ranges);
    apply(step, event.service, event.version, changed);
}

void learn_lease(step& step, const lease_read& event) {
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
    note_store_time(keeper, event.store_time, event.asked_at, step.now);
    const bool own = event.lease && event.lease->holder == step.state.self.instance;
    if (own && event.lease->incarnation == step.state.self.incarnation) {
        // A write without an answer was done after all, or nothing has changed.
        keeper.lease_version = event.version;
        keeper.lease = *event.lease;
        keeper.phase = keeper_phase::reading;
        keeper.read_under_way = true;
        step.add(read_assignments{});
        return;
    }
    if (resolving) {
        stand_down(step, "another holder");
    }
    const bool free = !event.lease || own || event.lease->until + clock_margin.count() < event.store_time;
    if (!free || step.state.shutting_down || !step.state.registry_known) {
        keeper.phase = keeper_phase::idle;
        schedule_check(step);
        return;
    }
    const keeper_lease former = event.lease.value_or(keeper_lease());
    keeper.former_holder = former.holder;
    keeper.former_incarnation = former.incarnation;
    const auto right = former.renewals_until - event.store_time;
    // A former run on this very instance is over.
    const bool former_ended = own || right <= 0 || has_new_incarnation(step.state, former.holder, former.incarnation);
    keeper.former_right_until = former_ended ? step.now : step.now + std::chrono::milliseconds(right) + clock_margin;
    keeper.assignments_current = false;
    keeper.confirmed.clear();
    keeper.first_tokens.clear();
    keeper.started_at = step.now;
    keeper.lease_version = event.version;
    keeper.lease = {};
    keeper.lease.renewals_until = former_ended ? 0 : former.renewals_until;
    keeper.phase = keeper_phase::claiming;
    keeper.changed.clear();
    write(step);
}

void end_write(step& step, const rows_written& event) {
    auto& keeper = step.state.keeper;
    keeper.write_under_way = false;
    const auto written = std::exchange(keeper.writing, {});
    if (keeper.phase == keeper_phase::idle) {
        return;
    }
    if (event.outcome == write_outcome::written) {
        note_store_time(keeper, event.store_time, event.asked_at, step.now);
        keeper.lease_version = event.version;
        keeper.lease = keeper.pending;
        for (const auto& [service, assignment] : written) {
            pass_on(step, service, event.version, assignment);
            apply(step, service, event.version, assignment);
        }
        forget_old_records(step);
        if (keeper.phase == keeper_phase::claiming) {
            keeper.phase = keeper_phase::reading;
            step.add(log_line{false,
                              "keeper_started",
                              {number_field("lease_version", keeper.lease_version),
                               text_field("former", keeper.former_holder.value()),
                               number_field("former_right_ms", milliseconds(keeper.former_right_until - step.now))}});
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
        if (keeper.phase == keeper_phase::claiming) {
            stand_down(step, "store refused");
        }
        return;
    }
    // What is planned may rest on an assignment that has changed: begin with what the store says.
    keeper.changed.clear();
    step.add(log_line{true,
                      "lease_write_unresolved",
                      {text_field("outcome", event.outcome == write_outcome::conflict ? "conflict" : "unknown")}});
    if (keeper.phase == keeper_phase::claiming) {
        stand_down(step, "claim not confirmed");
        return;
    }
    keeper.phase = keeper_phase::reading;
}

void end_read_assignments(step& step, const assignments_read& event) {
    auto& keeper = step.state.keeper;
    if (keeper.phase != keeper_phase::reading) {
        return;
    }
    keeper.read_under_way = false;
    if (!event.answered) {
        keeper.next_read = step.now + store_retry;
        return;
    }
    // A term that goes on after a pause keeps its tokens.
    const bool begins = !keeper.assignments_current && keeper.confirmed.empty();
    keeper.assignments_current = true;
    keeper.phase = keeper_phase::holding;
    keeper.next_plan = step.now;
    forget_old_records(step);
    if (begins) {
        refence(step);
    }
}

void end_grant(step& step, const grant_ended& event) {
    auto& keeper = step.state.keeper;
    const range_id id{event.service, event.first, event.fence};
    const auto grant = keeper.grants.find(id);
    if (grant != keeper.grants.end()) {
        grant->second.under_way = false;
    }
    const auto found = keeper.owners.find(event.server);
    if (found != keeper.owners.end()) {
        auto& owner = found->second;
        owner.under_way = std::max(0, owner.under_way - 1);
        if (event.outcome == grant_outcome::accepted) {
            owner.failures_in_row = 0;
            owner.confirmed_at = std::max(owner.confirmed_at, event.sent_at);
            keeper.confirmed.insert({event.service, event.fence});
        } else {
            ++owner.failures_in_row;
        }
        if (event.outcome == grant_outcome::unanswered) {
            owner.unanswered_at = std::max(owner.unanswered_at, event.sent_at);
        }
    }
    if (event.outcome != grant_outcome::accepted) {
        step.add(log_line{true,
                          "grant_failed",
                          {text_field("service", event.service.value()), text_field("server", event.server.value()),
                           number_field("first", event.first), number_field("fence", event.fence),
                           text_field("outcome", std::string(name_of(event.outcome)))}});
    }
    if (event.outcome == grant_outcome::superseded) {
        if (keeper.phase == keeper_phase::holding && lease_holds(step)) {
            renew_fence(step, id);
        } else if (std::exchange(keeper.assignments_current, false)) {
            // Another holder has given higher tokens: renewals by the right that outlasts the lease end.
            step.add(log_line{true, "renewals_stopped", {text_field("server", event.server.value())}});
            keeper.phase = keeper_phase::reading;
        }
    }
    const auto move = keeper.moves.find(id);
    if (move == keeper.moves.end()) {
        return;
    }
    move->second.grant_under_way = false;
    if (event.outcome != grant_outcome::accepted || keeper.phase != keeper_phase::holding) {
        return;
    }
    auto next = newest(step, event.service);
    for (auto& range : next.ranges) {
        if (range.first == event.first && range.fence == event.fence && range.moving()) {
            range.leaving = {};
            range.leaving_born = 0;
            range.leaving_fence = 0;
            keeper.changed[event.service] = next;
            break;
        }
    }
    keeper.confirmed.insert({event.service, event.fence});
    keeper.grants[id].sent_at = event.sent_at;
}

void end_release(step& step, const release_ended& event) {
    const auto found = step.state.keeper.moves.find({event.service, event.first, event.fence});
    if (found == step.state.keeper.moves.end()) {
        return;
    }
    auto& move = found->second;
    move.release_under_way = false;
    move.released = move.released || event.released;
    if (event.released) {
        move.handover = event.handover;
    }
}

/// After a pause of this instance the duty may have passed on, and servers may have begun another life.
void check_pause(step& step) {
    auto& keeper = step.state.keeper;
    const bool paused = step.now - std::exchange(keeper.kept_at, step.now) > longest_pause_of_keeper;
    const bool acts = keeper.phase == keeper_phase::holding || keeper.phase == keeper_phase::reading;
    if (!paused || !acts) {
        return;
    }
    step.add(log_line{true, "keeper_paused", {}});
    keeper.assignments_current = false;
    keeper.changed.clear();
    keeper.phase = keeper_phase::reading;
}

/// Whether the changes are to be written now: nothing else is about to change, or they have waited.
bool has_gathered(step& step) {
    auto& keeper = step.state.keeper;
    if (keeper.changed.empty()) {
        keeper.changed_at = step.now;
        return false;
    }
    const bool others = std::any_of(keeper.moves.begin(), keeper.moves.end(),
                                    [](const auto& entry) { return entry.second.grant_under_way; });
    return !others || step.now - keeper.changed_at >= write_gathering * size_factor(step.state);
}

void keep(step& step) {
    auto& keeper = step.state.keeper;
    check_pause(step);
    if (has_new_incarnation(step.state, keeper.former_holder, keeper.former_incarnation)) {
        keeper.former_right_until = std::min(keeper.former_right_until, step.now);
    }
    if (step.now - step.state.keeper_heard_at < peer_age && step.now >= keeper.next_check) {
        // The holder is alive; the store need not be asked.
        schedule_check(step);
    }
    const bool informed = step.state.registry_known && step.state.assignments_known;
    if (informed && keeper.next_check == base::boot_time()) {
        schedule_first_check(step);
    }
    if (keeper.phase == keeper_phase::idle && !step.state.shutting_down && informed && step.now >= keeper.next_check) {
        keeper.phase = keeper_phase::checking;
        keeper.read_under_way = true;
        step.add(read_lease{});
    }
    if (keeper.phase == keeper_phase::reading && !keeper.read_under_way && step.now >= keeper.next_read) {
        keeper.read_under_way = true;
        step.add(read_lease{});
    }
    if (step.state.shutting_down) {
        resign(step);
    }
    if (may_renew(step)) {
        for (const auto& [name, record] : step.state.services) {
            renew_grants(step, name, record);
        }
    }
    if (may_change(step)) {
        plan_all(step);
        for (const auto& [name, record] : step.state.services) {
            for (const auto& range : record.assignment.ranges) {
                const auto* const later = find_range(newest(step, name), range.first);
                if (range.moving() && later != nullptr && *later == range) {
                    continue_move(step, name, range);
                }
            }
        }
    }
    const bool due = step.now - keeper.renewed_at >= lease_renewal;
    if (keeper.phase == keeper_phase::holding && !keeper.write_under_way && step.now >= keeper.next_write &&
        (due || (has_gathered(step) && may_change(step)))) {
        if (!may_change(step)) {
            // The lease may have passed to another holder, which a condition on its version will show.
            keeper.changed.clear();
        }
        write(step);
    }
}

void tell_duty(const state& state, base::boot_time now, instance_load& message) {
    const auto& keeper = state.keeper;
    message.is_keeper = keeper.phase == keeper_phase::holding &&
                        latest_store_time(keeper, now) < keeper.lease.until - clock_margin.count();
    message.renews = keeper.phase != keeper_phase::idle && keeper.phase != keeper_phase::checking;
}

void hear_instance(step& step, const instance_load& event) {
    auto& keeper = step.state.keeper;
    if (event.is_keeper) {
        step.state.keeper_heard_at = step.now;
        const bool acts = keeper.phase == keeper_phase::holding || keeper.phase == keeper_phase::reading;
        if (acts && !lease_holds(step)) {
            stand_down(step, "another holder was heard");
        }
        return;
    }
    const bool former = event.instance == keeper.former_holder && event.incarnation == keeper.former_incarnation;
    if (former && !event.renews && step.now < keeper.former_right_until) {
        // It has heard of this one, and renews nothing more.
        step.add(log_line{false, "former_keeper_stopped", {text_field("former", event.instance.value())}});
        keeper.former_right_until = step.now;
    }
}

void resign(step& step) {
    auto& keeper = step.state.keeper;
    if (keeper.phase != keeper_phase::holding || keeper.write_under_way || !may_change(step)) {
        return;
    }
    write_rows rows;
    rows.expected_lease_version = keeper.lease_version;
    rows.lease.holder = step.state.self.instance;
    rows.lease.incarnation = step.state.self.incarnation;
    step.add(std::move(rows));
    stand_down(step, "shutdown");
    keeper.next_check = base::boot_time::max();
}

} // namespace lovagetack::routing
