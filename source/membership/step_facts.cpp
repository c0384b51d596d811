#include <algorithm>

#include "base/json.hpp"
#include "membership/step.hpp"

namespace lovagetack::membership {

void step::learn(const model::fact& fact, const model::instance_id& from, bool forward) {
    if (fact.name.empty()) {
        ++state_.counters_.facts_refused;
        return;
    }
    if (fact.kind == model::fact_kind::member) {
        learn_member(fact, from, forward);
        return;
    }
    store(fact, fact.kind != model::fact_kind::load_report, from, forward);
}

void step::learn_member(const model::fact& fact, const model::instance_id& from, bool forward) {
    model::member member;
    if (!base::from_json_text(fact.value, member) || member.id.value() != fact.name) {
        ++state_.counters_.facts_refused;
        return;
    }
    member.incarnation = model::incarnation(fact.version.epoch);
    member.sequence = fact.version.sequence;
    if (member.id == state_.self_.id) {
        learn_about_self(fact);
        return;
    }
    const auto forgotten = state_.forgotten_.find(fact.name);
    if (forgotten != state_.forgotten_.end()) {
        if (!is_newer(fact.version, forgotten->second.version)) {
            // The member itself is told why, so that it can refute the report.
            if (from == member.id) {
                send_facts(from, member.peer_address, {forgotten->second});
            }
            return;
        }
        state_.forgotten_.erase(forgotten);
    }
    if (!is_present(member) && state_.table_.find(member.id) == nullptr) {
        // Whoever still knows that member will forget it; learning it anew would keep it known for ever.
        return;
    }
    if (!store(fact, is_present(member), from, forward)) {
        return;
    }
    state_.table_.set(member, now_);
    state_.data_centre_heard_.try_emplace(member.data_centre.value(), now_);
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
    ++state_.counters_.facts_learned;
    effects_.emplace_back(model::fact_learned{fact});
    if (fact.kind == model::fact_kind::load_report) {
        if (from.empty() && forward) {
            send_load_report(fact);
        }
        return true;
    }
    if (forward) {
        fresh_.push_back(fact);
        fresh_from_ = from;
        remember_recent(fact, from);
    }
    return true;
}

void step::remember_recent(const model::fact& fact, const model::instance_id& from) {
    auto& recent = state_.recent_;
    std::erase_if(recent,
                  [&](const auto& known) { return known.fact.kind == fact.kind && known.fact.name == fact.name; });
    recent.push_back({fact, from, now_});
    while (recent.size() > state_.limits_.recent_facts) {
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
        publish_about(gone, model::member_state::left, true);
    }
}

void step::forget_gone_members() {
    names gone;
    for (const auto& [id, entry] : state_.table_.all()) {
        if (entry.gone_since && now_ - *entry.gone_since >= state_.limits_.forget_after) {
            gone.push_back(id);
        }
    }
    for (const auto& id : gone) {
        forget(id);
    }
}

void step::forget(const model::instance_id& id) {
    const model::fact* const fact = state_.facts_.find(model::fact_kind::member, id.value());
    if (fact != nullptr) {
        state_.forgotten_.insert_or_assign(id.value(), *fact);
    }
    if (state_.forgotten_.size() > state_.limits_.maximum_forgotten) {
        const auto earliest =
            std::min_element(state_.forgotten_.begin(), state_.forgotten_.end(),
                             [](const auto& a, const auto& b) { return is_newer(b.second.version, a.second.version); });
        state_.forgotten_.erase(earliest);
    }
    state_.facts_.erase(model::fact_kind::member, id.value());
    state_.facts_.erase(model::fact_kind::load_report, id.value());
    state_.table_.erase(id, now_);
    members_changed_ = true;
    note("member_forgotten", {{"member", id.value()}});
}

} // namespace lovagetack::membership
