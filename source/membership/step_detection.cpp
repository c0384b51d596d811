#include <algorithm>

#include "membership/step.hpp"

namespace lovagetack::membership {

void step::detect_pause() {
    const auto previous = std::exchange(state_.last_tick_, now_);
    if (!previous || now_ - *previous <= state_.limits_.pause_threshold) {
        return;
    }
    ++state_.counters_.pauses;
    state_.running_since_ = now_;
    for (auto& [id, entry] : state_.table_.all()) {
        entry.suspected.reset();
    }
    add_timeline_entry("instance_paused", {{"microseconds", std::to_string((now_ - *previous).count())}});
}

void step::send_heartbeat(const model::instance_id& to, const model::address& address) {
    send(to, address, model::heartbeat{++state_.heartbeat_sequence_, state_.facts_.digest()});
}

void step::send_heartbeats() {
    const auto due = [&](time& next, std::chrono::microseconds interval) {
        if (now_ < next) {
            return false;
        }
        // Keeps the phase, but does not catch up on intervals missed in a pause.
        next = std::max(next + interval, now_ + interval / 2);
        return true;
    };
    if (due(state_.next_heartbeat_, state_.limits_.heartbeat_interval)) {
        for (const auto& id : state_.table_.neighbours()) {
            send_heartbeat(id, state_.table_.find(id)->member.peer_address);
        }
    }
    if (due(state_.next_remote_heartbeat_, state_.limits_.remote_heartbeat_interval)) {
        for (const auto& [data_centre, members] : state_.table_.remote()) {
            const auto& id = members[next_random() % members.size()];
            send_heartbeat(id, state_.table_.find(id)->member.peer_address);
        }
    }
}

std::vector<model::address> step::contact_candidates() const {
    std::vector<model::address> candidates = state_.seeds_;
    for (const auto& instance : state_.listed_instances_) {
        candidates.push_back(instance.peer_address);
    }
    for (const auto& [id, entry] : state_.table_.all()) {
        if (entry.member.state == model::member_state::unreachable) {
            candidates.push_back(entry.member.peer_address);
        }
    }
    std::erase_if(candidates, [&](const model::address& address) {
        return address == state_.self_.peer_address ||
               std::any_of(state_.table_.all().begin(), state_.table_.all().end(), [&](const auto& known) {
                   return is_present(known.second.member) && known.second.member.peer_address == address;
               });
    });
    return candidates;
}

void step::contact_unknown_instances() {
    const auto candidates = contact_candidates();
    if (candidates.empty()) {
        return;
    }
    const std::size_t first = next_random() % candidates.size();
    const bool knows_no_other_member = state_.table_.local().empty() && state_.table_.remote().empty();
    if (!knows_no_other_member) {
        send_heartbeat({}, candidates[first]);
        return;
    }
    const model::fact* const self = state_.facts_.find(model::fact_kind::member, state_.self_.id.value());
    const std::size_t count = std::min(candidates.size(), state_.limits_.initial_contacts);
    for (std::size_t index = 0; index < count && self != nullptr; ++index) {
        const auto& address = candidates[(first + index) % candidates.size()];
        send({}, address, model::facts{{*self}});
        send({}, address, model::sync_request{state_.facts_.summaries()});
    }
}

void step::check_neighbours() {
    if (now_ - state_.running_since_ < state_.limits_.detection_delay) {
        return;
    }
    // Reporting a member changes the ring, so the list of neighbours is copied.
    const instance_ids neighbours = state_.table_.neighbours();
    for (const auto& id : neighbours) {
        member_entry* const entry = state_.table_.find(id);
        if (entry != nullptr && is_present(entry->member)) {
            check_neighbour(id, *entry);
        }
    }
}

void step::check_neighbour(const model::instance_id& id, member_entry& entry) {
    if (!entry.suspected) {
        const time grace_end = entry.neighbour_since.value_or(now_) + state_.limits_.neighbour_grace_period;
        const time silent_since =
            std::max({grace_end, entry.last_contact_at.value_or(grace_end), state_.running_since_});
        if (now_ - silent_since >= state_.limits_.suspect_after) {
            suspect(id, entry);
        }
        return;
    }
    if (now_ - entry.suspected->since >= state_.limits_.confirm_time) {
        confirm_failure(id, entry);
        return;
    }
    if (now_ - entry.suspected->probed_at >= state_.limits_.probe_interval) {
        probe(id, entry);
    }
}

void step::suspect(const model::instance_id& id, member_entry& entry) {
    ++state_.counters_.suspicions;
    entry.suspected = suspicion{now_, now_, next_random()};
    probe(id, entry);
}

void step::probe(const model::instance_id& id, member_entry& entry) {
    entry.suspected->probed_at = now_;
    send(id, entry.member.peer_address, model::probe{entry.suspected->nonce, {}});
    for (const auto& helper : probe_helpers(id)) {
        send_to_member(helper, model::probe_request{id, entry.suspected->nonce});
    }
}

step::instance_ids step::probe_helpers(const model::instance_id& id) {
    constexpr std::size_t helper_count = 2;
    // The suspected member's other neighbour receives its heartbeats, if it sends any.
    instance_ids helpers;
    for (const auto& neighbour : state_.table_.neighbours_of(id)) {
        if (neighbour != state_.self_.id) {
            helpers.push_back(neighbour);
        }
    }
    instance_ids others = state_.table_.local();
    if (others.size() <= helper_count) {
        for (const auto& [data_centre, members] : state_.table_.remote()) {
            others.insert(others.end(), members.begin(), members.end());
        }
    }
    std::erase_if(others, [&](const auto& other) {
        return other == id || std::find(helpers.begin(), helpers.end(), other) != helpers.end();
    });
    const instance_ids chosen = choose(others, helper_count - std::min(helper_count, helpers.size()));
    helpers.insert(helpers.end(), chosen.begin(), chosen.end());
    return helpers;
}

bool step::has_contact_with_other_since(const model::instance_id& id, time since) const {
    const auto& all = state_.table_.all();
    return std::any_of(all.begin(), all.end(), [&](const auto& known) {
        return known.first != id && known.second.last_contact_at && *known.second.last_contact_at >= since;
    });
}

void step::confirm_failure(const model::instance_id& id, const member_entry& entry) {
    const bool only_two_members = state_.table_.local().size() == 1 && state_.table_.remote().empty();
    const bool confirmed = only_two_members || has_contact_with_other_since(id, entry.suspected->since);
    const bool isolated = now_ - entry.suspected->since >= state_.limits_.isolated_confirm_time;
    if (!confirmed && !isolated) {
        if (now_ - entry.suspected->probed_at >= state_.limits_.probe_interval) {
            probe(id, *state_.table_.find(id));
        }
        return;
    }
    const bool expected = entry.member.state == model::member_state::leaving;
    publish_member_report(model::member(entry.member),
                          expected ? model::member_state::left : model::member_state::unreachable, confirmed);
}

} // namespace lovagetack::membership
