#include <algorithm>

#include "base/json.hpp"
#include "membership/step.hpp"
#include "model/assignment.hpp"

namespace lovagetack::membership {

void step::forward_new_facts() {
    if (new_facts_.empty()) {
        return;
    }
    for (const auto& target : gossip_targets()) {
        send_facts(target, state_.table_.find(target)->member.peer_address, new_facts_);
    }
    new_facts_.clear();
}

step::instance_ids step::gossip_targets() {
    const auto without_sender = [&](instance_ids list) {
        std::erase(list, new_facts_sender_);
        return list;
    };
    instance_ids targets = choose(without_sender(state_.table_.local()), state_.limits_.local_fanout);
    for (const auto& [data_centre, members] : state_.table_.remote()) {
        const instance_ids chosen = choose(without_sender(members), state_.limits_.remote_fanout);
        targets.insert(targets.end(), chosen.begin(), chosen.end());
    }
    return targets;
}

void step::send_load_report(const model::fact& fact) {
    // Only the controller reads load reports. Sent to all, the reports of 490 instances would exceed 2 KB/s at each.
    const model::instance_id controller = controller_of_data_centre();
    if (controller == state_.self_.id) {
        return;
    }
    const bool known = state_.table_.find(controller) != nullptr;
    const instance_ids targets =
        known ? instance_ids{controller} : choose(state_.table_.local(), state_.limits_.local_fanout);
    for (const auto& target : targets) {
        send_to_member(target, model::facts{{fact}});
    }
}

model::instance_id step::controller_of_data_centre() const {
    const std::string& data_centre = state_.self_.data_centre.value();
    model::controller_record record;
    const model::fact* const written = state_.facts_.find(model::fact_kind::controller, data_centre);
    if (written != nullptr) {
        base::from_json_text(written->value, record);
    }
    // After a take-over while the store is down, only activations name the new controller.
    const model::fact* latest = nullptr;
    state_.facts_.for_each(model::fact_kind::activation, [&](const model::fact& fact) {
        const bool ours = fact.name.ends_with("." + data_centre);
        if (ours && (latest == nullptr || fact.version.epoch > latest->version.epoch)) {
            latest = &fact;
        }
    });
    if (latest == nullptr || latest->version.epoch <= record.current_epoch.value()) {
        return record.holder;
    }
    model::activation activation;
    base::from_json_text(latest->value, activation);
    return activation.controller;
}

void step::send_facts(const model::instance_id& to, const model::address& address,
                      const std::vector<model::fact>& list) {
    model::facts part;
    std::size_t bytes = 0;
    for (const auto& fact : list) {
        const std::size_t size = fact.name.size() + fact.value.size();
        const bool full = part.list.size() >= state_.limits_.facts_per_message ||
                          (!part.list.empty() && bytes + size > state_.limits_.bytes_per_message);
        if (full) {
            send(to, address, std::exchange(part, {}));
            bytes = 0;
        }
        part.list.push_back(fact);
        bytes += size;
    }
    if (!part.list.empty()) {
        send(to, address, std::move(part));
    }
}

std::chrono::microseconds step::mismatch_time(member_entry& entry, bool differs) {
    if (entry.member.data_centre == state_.self_.data_centre) {
        if (!differs) {
            entry.mismatch_since.reset();
            return std::chrono::microseconds(0);
        }
        entry.mismatch_since = entry.mismatch_since.value_or(now_);
        return now_ - *entry.mismatch_since;
    }
    const std::string& data_centre = entry.member.data_centre.value();
    if (!differs) {
        state_.remote_mismatch_since_.erase(data_centre);
        return std::chrono::microseconds(0);
    }
    return now_ - state_.remote_mismatch_since_.try_emplace(data_centre, now_).first->second;
}

void step::send_own_member_fact(const model::peer_message& message) {
    const model::fact* const self = state_.facts_.find(model::fact_kind::member, state_.self_.id.value());
    if (self != nullptr) {
        send(message.from, message.from_address, model::facts{{*self}});
    }
}

void step::compare_digest(const model::peer_message& message, std::uint64_t digest) {
    member_entry* const entry = state_.table_.find(message.from);
    if (entry == nullptr || entry->member.incarnation != message.from_incarnation) {
        send_own_member_fact(message);
        request_sync(message.from, message.from_address);
        return;
    }
    const auto differing_for = mismatch_time(*entry, digest != state_.facts_.digest());
    // A single mismatch is usually caused by a fact that is still being delivered.
    if (differing_for >= state_.limits_.heartbeat_interval / 2) {
        send_recent_facts(message, *entry);
    }
    if (differing_for >= state_.limits_.mismatch_time) {
        request_sync(message.from, message.from_address);
    }
}

void step::send_recent_facts(const model::peer_message& message, member_entry& entry) {
    if (entry.recent_pushed_at && now_ - *entry.recent_pushed_at < state_.limits_.recent_push_interval) {
        return;
    }
    std::vector<model::fact> list;
    for (const auto& recent : state_.recent_) {
        if (recent.from != message.from && now_ - recent.at <= state_.limits_.maximum_recent_age) {
            list.push_back(recent.fact);
        }
    }
    entry.recent_pushed_at = now_;
    send_facts(message.from, message.from_address, list);
}

std::chrono::microseconds step::sync_spacing() const {
    const auto facts = static_cast<std::int64_t>(state_.facts_.size());
    return std::max(state_.limits_.sync_interval, state_.limits_.sync_spacing_per_fact * facts);
}

void step::request_sync(const model::instance_id& to, const model::address& address) {
    if (now_ < state_.next_sync_) {
        return;
    }
    state_.next_sync_ = now_ + sync_spacing();
    ++state_.counters_.syncs_sent;
    send(to, address, model::sync_request{state_.facts_.summaries()});
}

void step::answer_sync(const model::peer_message& message, const model::sync_request& request) {
    std::vector<model::fact> list = state_.facts_.newer_than(request.known);
    std::vector<model::fact_summary> relevant;
    relevant.reserve(request.known.size());
    for (const auto& summary : request.known) {
        const auto removed = state_.removed_members_.find(summary.name.name);
        if (summary.name.kind != model::fact_kind::member || removed == state_.removed_members_.end()) {
            relevant.push_back(summary);
        } else if (is_newer(removed->second.version, summary.version)) {
            list.push_back(removed->second);
        }
    }
    send_facts(message.from, message.from_address, list);
    if (now_ >= state_.next_reverse_sync_ && state_.facts_.is_behind(relevant)) {
        state_.next_reverse_sync_ = now_ + sync_spacing();
        ++state_.counters_.syncs_sent;
        send(message.from, message.from_address, model::sync_request{state_.facts_.summaries()});
    }
}

} // namespace lovagetack::membership
