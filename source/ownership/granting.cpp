#include "ownership/granting.hpp"

#include <algorithm>

#include "ownership/changes.hpp"
#include "ownership/data_centres.hpp"
#include "ownership/intervals.hpp"
#include "ownership/servers.hpp"
#include "ownership/units.hpp"

namespace lovagetack::ownership {
namespace {

constexpr std::size_t maximum_pending_polls = 32;

bool covered(const std::vector<model::granted_range>& ranges, const model::service_id& service, const unit& unit) {
    return std::any_of(ranges.begin(), ranges.end(), [&](const model::granted_range& range) {
        return range.service == service && range.fence == unit.fence && range.first <= unit.first &&
               range.last >= unit.last;
    });
}

/// Whether the unit may be in the next poll of its target.
bool may_grant(const step& step, const server_view& view, const model::service_id& service, const unit& unit) {
    const auto& state = step.state;
    if (!view.reached || is_withheld(state, service, unit)) {
        return false;
    }
    if (covered(view.sent_ranges, service, unit)) {
        return true;
    }
    if (covered(view.reported_ranges, service, unit) && may_adopt(state, service, unit, step.now)) {
        return true;
    }
    if (should_release_ranges(state, view.server.id) || is_silent(state, view, step.now)) {
        return false;
    }
    return is_clear(state, service, unit, step.now);
}

using grant_lists = std::map<model::backend_server_id, std::vector<model::granted_range>>;

/// The ranges that each server should have now. `settled` becomes false when a range has to wait.
grant_lists wanted_grants(const step& step, bool& settled) {
    const auto& state = step.state;
    grant_lists lists;
    for (const auto& service : state.deployment.services) {
        if (!service.divided_by_key) {
            continue;
        }
        for (const auto& unit : units_of(state, service.id, step.now)) {
            const auto found = state.servers.find(unit.target);
            if (found == state.servers.end() || !may_grant(step, found->second, service.id, unit)) {
                settled = false;
                continue;
            }
            auto& list = lists[unit.target];
            const bool continues = !list.empty() && list.back().service == service.id &&
                                   list.back().last + 1 == unit.first && list.back().fence == unit.fence;
            if (continues) {
                list.back().last = unit.last;
                continue;
            }
            list.push_back({service.id, unit.first, unit.last, unit.fence});
        }
    }
    return lists;
}

/// Adds the ranges that the server reported for services without a row known here: they stay granted until a row is
/// known.
void add_ranges_without_row(const state& state, const server_view& view, std::vector<model::granted_range>& list) {
    for (const auto& range : view.reported_ranges) {
        const auto* row = own_row(state, range.service);
        if (row == nullptr && model::find_service(state.deployment, range.service) != nullptr) {
            list.push_back(range);
        }
    }
}

void record_revocations(server_view& view, const std::vector<model::granted_range>& next, std::uint64_t version) {
    const auto is_next = [&](const model::granted_range& range) {
        return std::find(next.begin(), next.end(), range) != next.end();
    };
    for (const auto& range : view.sent_ranges) {
        if (!is_next(range)) {
            view.revoked.push_back({range, version});
        }
    }
    for (const auto& range : view.reported_ranges) {
        const bool known = std::any_of(view.revoked.begin(), view.revoked.end(),
                                       [&](const revocation& revocation) { return revocation.range == range; });
        if (!known && !is_next(range)) {
            view.revoked.push_back({range, version});
        }
    }
}

void record_activations(step& step, server_view& view, const std::vector<model::granted_range>& next) {
    for (const auto& range : next) {
        record_grant(step.state, range.service, {range.first, range.last, view.server.id, range.fence});
        const bool is_new =
            std::find(view.sent_ranges.begin(), view.sent_ranges.end(), range) == view.sent_ranges.end() &&
            std::find(view.reported_ranges.begin(), view.reported_ranges.end(), range) == view.reported_ranges.end();
        if (is_new) {
            add_timeline_entry(step, "range_activated",
                               {{"service", range.service.value()},
                                {"first", std::to_string(range.first)},
                                {"last", std::to_string(range.last)},
                                {"backend_server", view.server.id.value()},
                                {"fence", text_of(range.fence)}});
        }
    }
}

model::grant_poll poll_without_grant(const state& state) {
    model::grant_poll body;
    body.epoch = state.epoch;
    body.grant_version = state.grant_version;
    return body;
}

/// Renews the lease unless the server is suspected, and replaces its ranges.
void add_grant(step& step, server_view& view, std::vector<model::granted_range> ranges, model::grant_poll& body) {
    auto& state = step.state;
    body.replace_ranges = true;
    if (ranges != view.sent_ranges || ranges != view.reported_ranges) {
        record_revocations(view, ranges, body.grant_version);
        record_activations(step, view, ranges);
        view.sent_ranges = ranges;
    }
    body.ranges = std::move(ranges);
    if (is_silent(state, view, step.now)) {
        return;
    }
    body.lease_from = view.clock;
    body.lease_boot_id = view.boot_id;
    body.lease_time = state.rules.lease_time;
    // The bound of a server that does not check grants is that of its home lease.
    if (view.checks_grants) {
        view.lease_bound = std::max(view.lease_bound, view.last_answer_at + state.rules.lease_bound);
    }
}

void send_poll(step& step, server_view& view, model::grant_poll body) {
    auto& state = step.state;
    const auto poll = state.next_poll++;
    view.pending[poll] = {step.now, state.epoch};
    while (view.pending.size() > maximum_pending_polls) {
        view.pending.erase(view.pending.begin());
    }
    view.next_poll_at = step.now + state.rules.poll_interval;
    step.effects.emplace_back(send_grant_poll{view.server.id, view.server.address, poll, std::move(body)});
}

/// Whether a grant now would revoke a range that the server may keep once the other servers have answered.
bool awaits_adoption(const step& step, const server_view& view, const std::vector<model::granted_range>& wanted) {
    if (step.now >= step.state.term_start + step.state.rules.adoption_grace || !view.sent_ranges.empty()) {
        return false;
    }
    return std::any_of(view.reported_ranges.begin(), view.reported_ranges.end(),
                       [&](const model::granted_range& range) {
                           return std::find(wanted.begin(), wanted.end(), range) == wanted.end();
                       });
}

/// Sends the server the ranges it should have, when they changed or a poll is due. Returns false when the last poll had
/// other ranges or the grant has to wait.
bool poll_server(step& step, server_view& view, std::vector<model::granted_range> wanted, bool controls) {
    auto& state = step.state;
    add_ranges_without_row(state, view, wanted);
    const bool waits = controls && view.reached && awaits_adoption(step, view, wanted);
    const bool grants = controls && view.reached && !waits;
    const bool changed = wanted != view.sent_ranges;
    const bool settled = !changed && !waits;
    if (!(grants && changed) && step.now < view.next_poll_at) {
        return settled;
    }
    ++state.grant_version;
    auto body = poll_without_grant(state);
    if (grants) {
        add_grant(step, view, std::move(wanted), body);
    }
    send_poll(step, view, std::move(body));
    return settled;
}

/// Repeats the last grant when a poll is due and the decisions cannot have changed.
void repeat_poll(step& step, server_view& view, bool controls) {
    if (step.now < view.next_poll_at) {
        return;
    }
    ++step.state.grant_version;
    auto body = poll_without_grant(step.state);
    if (controls && view.reached) {
        add_grant(step, view, view.sent_ranges, body);
    }
    send_poll(step, view, std::move(body));
}

void handle_lapsed_lease(step& step, server_view& view) {
    const bool lapsed = view.reached && is_down(step.state, view, step.now);
    if (!lapsed) {
        return;
    }
    view.reached = false;
    view.reported_ranges.clear();
    view.sent_ranges.clear();
    view.revoked.clear();
    add_timeline_entry(step, "lease_lapsed", {{"backend_server", view.server.id.value()}});
}

/// Whether the answer is the newest one of the server; an older one says nothing about its present state.
bool record_observations(step& step, server_view& view, std::uint64_t poll, const model::grant_answer& answer) {
    if (poll <= view.last_answered_poll) {
        return false;
    }
    if (view.answered && view.boot_id != answer.boot_id) {
        add_timeline_entry(step, "backend_server_restarted", {{"backend_server", view.server.id.value()}});
    }
    view.last_answered_poll = poll;
    view.answered = true;
    view.last_answer_at = step.now;
    view.clock = answer.clock;
    view.boot_id = answer.boot_id;
    view.uptime = answer.uptime;
    if (view.draining != answer.draining) {
        mark_inputs_changed(step.state);
    }
    view.draining = answer.draining;
    view.activity = answer.activity;
    return true;
}

void record_reported_ranges(step& step, server_view& view, const model::grant_answer& answer) {
    view.answered_version = answer.grant_version;
    const auto confirmed = std::erase_if(
        view.revoked, [&](const revocation& revocation) { return revocation.grant_version <= answer.grant_version; });
    if (confirmed > 0) {
        mark_inputs_changed(step.state);
    }
    if (view.reached && view.reported_ranges == answer.ranges) {
        return;
    }
    mark_inputs_changed(step.state);
    view.reached = true;
    view.reported_ranges = answer.ranges;
    for (const auto& range : answer.ranges) {
        record_grant(step.state, range.service, {range.first, range.last, view.server.id, range.fence});
    }
}

} // namespace

void handle_grant_answer(step& step, const grant_answered& answered) {
    auto& state = step.state;
    const auto found = state.servers.find(answered.backend_server);
    if (found == state.servers.end()) {
        return;
    }
    auto& view = found->second;
    const auto sent = view.pending.find(answered.poll);
    if (sent == view.pending.end()) {
        return;
    }
    const auto sent_at = sent->second.sent_at;
    view.pending.erase(sent);
    if (!answered.answer) {
        return;
    }
    const auto& answer = *answered.answer;
    if (!answer.accepted || answer.epoch != state.epoch) {
        // Such a server can't be granted anything: it counts as silent, and its ranges go to their successors.
        view.refused = view.refused || answer.epoch > state.epoch;
        state.highest_epoch_seen = std::max(state.highest_epoch_seen, answer.epoch);
        return;
    }
    const bool newest = record_observations(step, view, answered.poll, answer);
    if (answer.uptime >= state.rules.minimum_witness_uptime) {
        view.accepted_at = std::max(view.accepted_at.value_or(sent_at), sent_at);
    }
    if (newest) {
        record_reported_ranges(step, view, answer);
    }
}

bool is_poll_due(const step& step) {
    const auto& state = step.state;
    return state.role != role::candidate &&
           std::any_of(state.servers.begin(), state.servers.end(),
                       [&](const auto& entry) { return step.now >= entry.second.next_poll_at; });
}

void decide_grants(step& step) {
    auto& state = step.state;
    state.settled = true;
    if (state.role == role::candidate) {
        return;
    }
    const bool controls = is_controller(state, step.now);
    grant_lists lists;
    if (controls) {
        for (auto& [id, view] : state.servers) {
            handle_lapsed_lease(step, view);
        }
        lists = wanted_grants(step, state.settled);
    }
    for (auto& [id, view] : state.servers) {
        const bool unchanged = poll_server(step, view, std::move(lists[id]), controls);
        state.settled = state.settled && unchanged;
    }
}

void repeat_polls(step& step) {
    auto& state = step.state;
    if (state.role == role::candidate) {
        return;
    }
    const bool controls = is_controller(state, step.now);
    for (auto& [id, view] : state.servers) {
        repeat_poll(step, view, controls);
    }
}

void record_grant(state& state, const model::service_id& service, const model::active_range& range) {
    overlay(state.granted[service], range);
}

} // namespace lovagetack::ownership
