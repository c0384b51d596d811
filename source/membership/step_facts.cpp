#include <algorithm>

#include "base/json.hpp"
#include "membership/step.hpp"

namespace lovagetack::membership {

void step::merge_fact(const model::fact& fact, const model::instance_id& from, bool forward) {
    if (fact.name.empty()) {
        ++state_.counters_.facts_refused;
        return;
    }
    if (fact.kind == model::fact_kind::member) {
        merge_member_fact(fact, from, forward);
        return;
    }
    store(fact, fact.kind != model::fact_kind::load_report, from, forward);
}

void step::merge_member_fact(const model::fact& fact, const model::instance_id& from, bool forward) {
    model::member member;
    if (!base::from_json_text(fact.value, member) || member.id.value() != fact.name) {
        ++state_.counters_.facts_refused;
        return;
    }
    member.incarnation = model::incarnation(fact.version.epoch);
    member.sequence = fact.version.sequence;
    if (member.id == state_.self_.id) {
        merge_own_member_fact(fact);
        return;
    }
    const auto removed = state_.removed_members_.find(fact.name);
    if (removed != state_.removed_members_.end()) {
        if (!is_newer(fact.version, removed->second.version)) {
            // The member itself gets the report, so that it can refute it.
            if (from == member.id) {
                send_facts(from, member.peer_address, {removed->second});
            }
            return;
        }
        state_.removed_members_.erase(removed);
    }
    if (!is_present(member) && state_.table_.find(member.id) == nullptr) {
        // The instances that still know that member will remove it; adding it again here would keep it known for ever.
        return;
    }
    if (!store(fact, is_present(member), from, forward)) {
        return;
    }
    state_.table_.set(member, now_);
    state_.data_centre_last_contact_.try_emplace(member.data_centre.value(), now_);
    members_changed_ = true;
    retire_earlier_owner_of_address(member);
}

bool step::store(const model::fact& fact, bool digested, const model::instance_id& from, bool forward) {
    switch (state_.facts_.put(fact, digested)) {
    case fact_store::outcome::not_newer:
        return false;
    case fact_store::outcome::refused:
        ++state_.counters_.facts_refused;
        return false;
    case fact_store::outcome::stored:
        break;
    }
    ++state_.counters_.facts_stored;
    effects_.emplace_back(model::fact_learned{fact});
    if (fact.kind == model::fact_kind::load_report) {
        if (from.empty() && forward) {
            send_load_report(fact);
        }
        return true;
    }
    if (forward) {
        new_facts_.push_back(fact);
        new_facts_sender_ = from;
        add_recent_fact(fact, from);
    }
    return true;
}

void step::add_recent_fact(const model::fact& fact, const model::instance_id& from) {
    auto& recent = state_.recent_;
    std::erase_if(recent,
                  [&](const auto& known) { return known.fact.kind == fact.kind && known.fact.name == fact.name; });
    recent.push_back({fact, from, now_});
    while (recent.size() > state_.limits_.maximum_recent_facts) {
        recent.pop_front();
    }
}

void step::retire_earlier_owner_of_address(const model::member& member) {
    if (member.peer_address.port == 0 || !is_present(member)) {
        return;
    }
    std::vector<model::member> earlier;
    for (const auto& [id, entry] : state_.table_.all()) {
        if (id != member.id && is_present(entry.member) && entry.member.peer_address == member.peer_address &&
            entry.member.incarnation.value() < member.incarnation.value()) {
            earlier.push_back(entry.member);
        }
    }
    for (const auto& gone : earlier) {
        publish_member_report(gone, model::member_state::left, true);
    }
}

void step::remove_gone_members() {
    instance_ids gone;
    for (const auto& [id, entry] : state_.table_.all()) {
        if (entry.gone_since && now_ - *entry.gone_since >= state_.limits_.gone_member_retention) {
            gone.push_back(id);
        }
    }
    for (const auto& id : gone) {
        remove_member(id);
    }
}

void step::remove_member(const model::instance_id& id) {
    const model::fact* const fact = state_.facts_.find(model::fact_kind::member, id.value());
    if (fact != nullptr) {
        state_.removed_members_.insert_or_assign(id.value(), *fact);
    }
    if (state_.removed_members_.size() > state_.limits_.maximum_removed_members) {
        const auto earliest =
            std::min_element(state_.removed_members_.begin(), state_.removed_members_.end(),
                             [](const auto& a, const auto& b) { return is_newer(b.second.version, a.second.version); });
        state_.removed_members_.erase(earliest);
    }
    state_.facts_.erase(model::fact_kind::member, id.value());
    state_.facts_.erase(model::fact_kind::load_report, id.value());
    state_.table_.erase(id, now_);
    members_changed_ = true;
    add_timeline_entry("member_forgotten", {{"member", id.value()}});
}

} // namespace lovagetack::membership
