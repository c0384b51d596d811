#include "ownership/election.hpp"

#include <algorithm>

#include "ownership/changes.hpp"
#include "ownership/data_centres.hpp"
#include "ownership/servers.hpp"

namespace lovagetack::ownership {
namespace {

std::size_t majority_of(std::size_t count) {
    return count / 2 + 1;
}

void begin_term(step& step) {
    auto& state = step.state;
    state.role = role::controller;
    state.term_start = step.now;
    state.next_heartbeat_at = step.now;
    state.next_store_call_at = step.now;
    state.next_row_read_at = step.now;
    state.rows_read = false;
    state.rows_final = false;
    state.rows_needed_since = step.now;
    state.published.clear();
    withhold_withdrawn(state);
    mark_inputs_changed(state);
    add_timeline_entry(step, "controller_elected", {{"epoch", std::to_string(state.epoch.value())}});
}

void lose_authority(step& step) {
    auto& state = step.state;
    state.role = role::claimant;
    state.claim_since = step.now;
    reset_term(state);
    add_timeline_entry(step, "authority_lost", {{"epoch", std::to_string(state.epoch.value())}});
}

std::optional<std::size_t> own_rank(const state& state) {
    if (!state.reservation) {
        return std::nullopt;
    }
    const auto candidates = candidates_in_order(state);
    for (std::size_t rank = 0; rank < candidates.size(); ++rank) {
        if (candidates[rank].id == state.id) {
            return rank;
        }
    }
    return std::nullopt;
}

void run_candidate(step& step) {
    auto& state = step.state;
    const auto rank = own_rank(state);
    const bool heard = rank && *rank < state.rules.heartbeat_receivers;
    if (heard && !state.receives_heartbeats) {
        state.listening_since = step.now;
    }
    state.receives_heartbeats = heard;
    if (!heard || state.record.witnesses.empty()) {
        return;
    }
    const auto silent_since = std::max(state.listening_since, state.last_heartbeat_at.value_or(base::boot_time{}));
    const auto allowed_silence =
        state.rules.controller_timeout + state.rules.claim_delay_per_rank * static_cast<int>(*rank);
    if (step.now - silent_since >= allowed_silence) {
        claim(step, *state.reservation);
    }
}

void run_claimant(step& step) {
    auto& state = step.state;
    const auto& witnesses = state.record.witnesses;
    std::size_t refused = 0;
    for (const auto& id : witnesses) {
        const auto found = state.servers.find(id);
        refused += found != state.servers.end() && found->second.refused ? 1 : 0;
    }
    if (!witnesses.empty() && refused > witnesses.size() - majority_of(witnesses.size())) {
        step_down(step, "epoch refused");
        return;
    }
    if (step.now - state.claim_since > state.rules.claim_timeout) {
        step_down(step, "no majority");
    }
}

void send_heartbeats(step& step) {
    auto& state = step.state;
    if (step.now < state.next_heartbeat_at) {
        return;
    }
    state.next_heartbeat_at = step.now + state.rules.heartbeat_interval;
    std::size_t sent = 0;
    for (const auto& member : candidates_in_order(state)) {
        if (member.id == state.id) {
            continue;
        }
        if (sent == state.rules.heartbeat_receivers) {
            return;
        }
        ++sent;
        step.effects.emplace_back(
            model::send_peer_message{member.id, member.peer_address, model::controller_heartbeat{state.epoch}});
    }
}

} // namespace

void detect_pause(step& step) {
    auto& state = step.state;
    if (!state.last_event_at) {
        state.listening_since = step.now;
        state.store_since = step.now;
        state.record_changed_at = step.now;
    } else if (step.now - *state.last_event_at > state.rules.pause_threshold) {
        state.listening_since = step.now;
        add_timeline_entry(
            step, "pause_noticed",
            {{"ms",
              std::to_string(
                  std::chrono::duration_cast<std::chrono::milliseconds>(step.now - *state.last_event_at).count())}});
    }
    state.last_event_at = step.now;
}

std::optional<base::boot_time> authority_until(const state& state) {
    if (state.role == role::candidate) {
        return std::nullopt;
    }
    const auto& witnesses = state.record.witnesses;
    if (witnesses.empty()) {
        if (!state.store_lease_from) {
            return std::nullopt;
        }
        return *state.store_lease_from + state.rules.store_lease_time;
    }
    std::vector<base::boot_time> accepted;
    for (const auto& id : witnesses) {
        const auto found = state.servers.find(id);
        if (found != state.servers.end() && found->second.accepted_at) {
            accepted.push_back(*found->second.accepted_at);
        }
    }
    const auto needed = majority_of(witnesses.size());
    if (accepted.size() < needed) {
        return std::nullopt;
    }
    std::sort(accepted.rbegin(), accepted.rend());
    return accepted[needed - 1] + state.rules.authority_time;
}

bool is_controller(const state& state, base::boot_time now) {
    const auto until = authority_until(state);
    return state.role == role::controller && until && now < *until;
}

void check_authority(step& step) {
    auto& state = step.state;
    const auto until = authority_until(state);
    const bool valid = until && step.now < *until;
    if (state.role == role::controller && !valid) {
        lose_authority(step);
    } else if (state.role == role::claimant && valid) {
        begin_term(step);
    }
}

void run_election(step& step) {
    auto& state = step.state;
    const auto own_state = own_member_state(state);
    const bool leaves =
        own_state && (*own_state == model::member_state::leaving || *own_state == model::member_state::left);
    if (leaves) {
        if (state.role != role::candidate) {
            step_down(step, "leaving");
        }
        state.reservation.reset();
        return;
    }
    switch (state.role) {
    case role::candidate:
        run_candidate(step);
        break;
    case role::claimant:
        run_claimant(step);
        break;
    case role::controller:
        send_heartbeats(step);
        break;
    }
}

void handle_heartbeat(step& step, const controller_heard& heard) {
    auto& state = step.state;
    if (heard.from == state.id || heard.epoch < state.record.current_epoch) {
        return;
    }
    state.last_heartbeat_at = step.now;
    state.heartbeat_sender = heard.from;
    state.highest_epoch_seen = std::max(state.highest_epoch_seen, heard.epoch);
    // A controller sends heartbeats only with authority, so a claimant that receives one is too late and steps
    // down, whatever the epochs.
    const bool yields = state.role == role::claimant || (state.role == role::controller && heard.epoch > state.epoch);
    if (yields) {
        step_down(step, "another controller was heard");
    }
}

void claim(step& step, model::epoch epoch) {
    auto& state = step.state;
    state.role = role::claimant;
    // An epoch that is claimed again goes on with its numbers: instances ignore lower ones.
    if (epoch != state.epoch) {
        state.fence_sequence = 0;
        state.activation_sequence = 0;
    }
    state.epoch = epoch;
    state.claim_since = step.now;
    state.highest_epoch_seen = std::max(state.highest_epoch_seen, epoch);
    state.store_lease_from.reset();
    reset_term(state);
    for (auto& [id, view] : state.servers) {
        view.refused = false;
        view.next_poll_at = step.now;
    }
    add_timeline_entry(step, "controller_claim", {{"epoch", std::to_string(epoch.value())}});
}

void step_down(step& step, std::string reason) {
    auto& state = step.state;
    const bool refused =
        std::any_of(state.servers.begin(), state.servers.end(), [](const auto& entry) { return entry.second.refused; });
    state.role = role::candidate;
    state.reservation.reset();
    if (!refused) {
        state.reservation = state.epoch;
    }
    state.listening_since = step.now;
    reset_term(state);
    add_timeline_entry(step, "controller_stepped_down",
                       {{"epoch", std::to_string(state.epoch.value())}, {"reason", std::move(reason)}});
}

void reset_term(state& state) {
    mark_inputs_changed(state);
    for (auto& [id, view] : state.servers) {
        view.pending.clear();
        view.accepted_at.reset();
        view.reached = false;
        view.answered_version = 0;
        view.reported_ranges.clear();
        view.sent_ranges.clear();
        view.revoked.clear();
        view.home_lease.reset();
    }
}

std::vector<model::backend_server_id> wanted_witnesses(const state& state) {
    std::vector<model::backend_server_id> result;
    for (const auto& [id, view] : state.servers) {
        if (view.checks_grants && !is_out_of_service(state, view.server)) {
            result.push_back(id);
        }
    }
    return result;
}

std::vector<model::member> candidates_in_order(const state& state) {
    auto reservations = state.record.reservations;
    std::sort(reservations.begin(), reservations.end(),
              [](const auto& left, const auto& right) { return left.epoch < right.epoch; });
    std::vector<model::member> result;
    for (const auto& reservation : reservations) {
        const auto found = std::find_if(state.members.begin(), state.members.end(), [&](const model::member& member) {
            return member.id == reservation.candidate;
        });
        const bool able = found != state.members.end() &&
                          (found->state == model::member_state::live || found->state == model::member_state::joining);
        if (able) {
            result.push_back(*found);
        }
    }
    return result;
}

std::optional<model::member_state> own_member_state(const state& state) {
    for (const auto& member : state.members) {
        if (member.id == state.id) {
            return member.state;
        }
    }
    return std::nullopt;
}

} // namespace lovagetack::ownership
