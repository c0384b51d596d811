#include "routing/granting.hpp"

#include <algorithm>
#include <utility>

#include "routing/delegation.hpp"
#include "routing/duty.hpp"
#include "routing/keeper.hpp"
#include "routing/keeper_plan.hpp"
#include "routing/log_fields.hpp"

namespace lovagetack::routing {
namespace {

void send_grant(step& step, const model::service_id& service, const key_range& range, const server_record& server,
                const std::string& handover) {
    ++step.state.keeper.owners[range.owner].under_way;
    step.add(grant_range{service, range.owner, server.registration.address, range.first, range.last, range.fence,
                         hold_time, handover});
}

bool is_grant_under_way(const step& step, const model::backend_server_id& server) {
    const auto owner = step.state.keeper.owners.find(server);
    return owner != step.state.keeper.owners.end() && owner->second.under_way > 0;
}

/// Whether the leaving owner's grant of the range has certainly ended.
bool leaving_grant_ended(const step& step, const model::service_id& service, const key_range& range,
                         const move_record& move) {
    const auto& keeper = step.state.keeper;
    const auto owner = keeper.owners.find(range.leaving);
    const auto granted = owner != keeper.owners.end() ? owner->second.granted_at : base::boot_time();
    const auto unanswered = owner != keeper.owners.end() ? owner->second.unanswered_at : base::boot_time();
    // An owner that has seen a token of this term rejects grants of former holders.
    const auto server = step.state.servers.find(range.leaving);
    const bool same_life = server != step.state.servers.end() && server->second.registration.born == range.leaving_born;
    const auto first_token = keeper.first_tokens.find(service);
    const bool of_this_term = first_token != keeper.first_tokens.end() && range.leaving_fence >= first_token->second;
    const bool fenced = same_life && of_this_term && keeper.confirmed.contains({service, range.leaving_fence});
    const auto last_former = last_former_grant(keeper);
    const auto delegated = renewals_of_leaving_owner(step, service, range);
    if (delegated.possible || move.started_at == base::boot_time()) {
        return false;
    }
    if (move.released && step.now > std::max(unanswered, delegated.unanswered_at) + longest_hold() &&
        (fenced || step.now > last_former + longest_hold())) {
        return true;
    }
    // Renewals ended before the move began.
    const auto last = std::max({std::min(granted, move.started_at), last_former, delegated.sent_at});
    return step.now > last + longest_hold();
}

void release(step& step, const model::service_id& service, const key_range& range, move_record& move) {
    const auto server = step.state.servers.find(range.leaving);
    if (server == step.state.servers.end() || move.released || move.release_under_way ||
        step.now - move.release_sent_at < release_retry) {
        return;
    }
    // A renewal that arrives after the release would grant the keys to the leaving owner again.
    if (is_grant_under_way(step, range.leaving) || renewals_of_leaving_owner(step, service, range).possible) {
        return;
    }
    move.release_under_way = true;
    move.release_sent_at = step.now;
    step.add(release_range{service, range.leaving, server->second.registration.address, range.first, range.last,
                           range.leaving_fence, range.first, range.fence});
}

} // namespace

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

std::chrono::microseconds longest_hold() {
    const auto hold = std::chrono::duration_cast<std::chrono::microseconds>(hold_time);
    return std::chrono::microseconds(static_cast<std::int64_t>(static_cast<double>(hold.count()) * slow_clock_factor)) +
           hold_margin;
}

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
    const auto& newest = newest_assignment(step, service);
    const bool pending = &newest != &record.assignment;
    for (const auto& range : record.assignment.ranges) {
        if (range.moving() || is_delegated(step.state, range.owner)) {
            continue;
        }
        // A range that a pending change moves or divides is not renewed: its grant has to end.
        const auto* const later = pending ? find_range(newest, range.first) : &range;
        if (later == nullptr || *later != range) {
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

void continue_move(step& step, const model::service_id& service, const key_range& range) {
    auto& keeper = step.state.keeper;
    auto& move = keeper.moves[{service, range.first, range.fence}];
    if (move.started_at == base::boot_time() && !is_grant_under_way(step, range.leaving)) {
        move.started_at = step.now;
    }
    if (!leaving_grant_ended(step, service, range, move)) {
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
        if (event.outcome != grant_outcome::refused) {
            owner.granted_at = step.now;
        }
        if (event.outcome == grant_outcome::accepted) {
            owner.failures_in_row = 0;
            owner.confirmed_at = std::max(owner.confirmed_at, event.sent_at);
            keeper.confirmed.insert({event.service, event.fence});
        } else {
            ++owner.failures_in_row;
        }
        if (event.outcome == grant_outcome::unanswered) {
            owner.unanswered_at = step.now;
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
        if (keeper.phase == keeper_phase::holding && is_lease_valid(step)) {
            renew_fence(step, id);
        } else if (std::exchange(keeper.assignments_current, false)) {
            // Another holder has issued higher tokens: this instance stops the renewals that it may make after its
            // lease.
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
    auto next = newest_assignment(step, event.service);
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

} // namespace lovagetack::routing
