#include "membership/step.hpp"

#include <algorithm>
#include <utility>

#include "base/json.hpp"

namespace lovagetack::membership {
namespace {

/// An instance numbers its own member facts with multiples of this. Reports of other instances about it use the numbers
/// in between, so that two facts with equal versions are always equal.
constexpr std::uint64_t sequence_stride = 4;

} // namespace

void step::on(const model::tick&) {
    initialise_once();
    detect_pause();
    send_heartbeats();
    check_neighbours();
    if (now_ >= state_.next_contact_) {
        state_.next_contact_ = now_ + state_.limits_.contact_interval;
        contact_unknown_instances();
        remove_gone_members();
    }
    report_configuration_version();
}

void step::on(const model::peer_message& message) {
    initialise_once();
    if (!accept(message)) {
        ++state_.counters_.messages_ignored;
        return;
    }
    record_contact(message);
    std::visit([&](const auto& body) { handle(message, body); }, message.body);
}

void step::on(const model::publish_fact& published) {
    initialise_once();
    if (published.fact.kind == model::fact_kind::member) {
        // Only membership itself publishes member facts.
        ++state_.counters_.facts_refused;
        return;
    }
    merge_fact(published.fact, {}, true);
}

void step::on(const instances_listed& listed) {
    initialise_once();
    state_.listed_instances_ = listed.instances;
    if (state_.listed_instances_.size() > state_.limits_.maximum_listed_instances) {
        state_.listed_instances_.resize(state_.limits_.maximum_listed_instances);
    }
    for (const auto& instance : state_.listed_instances_) {
        const member_entry* const entry = state_.table_.find(instance.id);
        if (!instance.leaving || entry == nullptr || !is_present(entry->member) ||
            entry->member.state == model::member_state::leaving ||
            entry->member.data_centre == state_.self_.data_centre) {
            continue;
        }
        // In this data centre the heartbeats of the ring take precedence over the list. For another one the list is
        // used only when no message has come from any of its members for observation_lifetime.
        if (now_ - state_.data_centre_last_contact_[entry->member.data_centre.value()] >
            state_.limits_.observation_lifetime) {
            publish_member_report(model::member(entry->member), model::member_state::leaving, true);
        }
    }
}

void step::on(const service_started&) {
    initialise_once();
    if (state_.self_.state == model::member_state::joining) {
        set_own_state(model::member_state::live);
    }
}

void step::on(const model::deployment_changed& changed) {
    initialise_once();
    state_.configuration_version_ = std::max(state_.configuration_version_, changed.deployment.version);
    report_configuration_version();
}

void step::on(const model::shutdown_started&) {
    initialise_once();
    set_own_state(model::member_state::leaving);
}

effects step::finish() {
    forward_new_facts();
    if (members_changed_) {
        effects_.emplace_back(model::members_changed{state_.members()});
    }
    return std::move(effects_);
}

void step::initialise_once() {
    if (state_.self_.sequence != 0) {
        return;
    }
    state_.running_since_ = now_;
    // A random phase, so that instances that start together do not send at the same times.
    const auto phase = std::chrono::microseconds(
        next_random() % static_cast<std::uint64_t>(state_.limits_.remote_heartbeat_interval.count() + 1));
    state_.next_remote_heartbeat_ = now_ + phase;
    state_.next_heartbeat_ = now_;
    state_.next_contact_ = now_;
    publish_own_member_fact(0);
}

void step::publish_own_member_fact(std::uint64_t sequence_above) {
    auto& self = state_.self_;
    self.sequence = (sequence_above / sequence_stride + 1) * sequence_stride;
    self.configuration_version = state_.configuration_version_;
    const model::fact fact{
        model::fact_kind::member, self.id.value(), {self.incarnation.value(), self.sequence}, base::to_json_text(self)};
    store(fact, true, {}, true);
    members_changed_ = true;
}

void step::set_own_state(model::member_state state) {
    if (state_.self_.state == state) {
        return;
    }
    state_.self_.state = state;
    publish_own_member_fact(state_.self_.sequence);
}

void step::report_configuration_version() {
    if (state_.self_.configuration_version == state_.configuration_version_ || now_ < state_.next_version_report_) {
        return;
    }
    const auto members = static_cast<std::int64_t>(state_.table_.all().size() + 1);
    state_.next_version_report_ = now_ + state_.limits_.version_spacing_per_member * members;
    publish_own_member_fact(state_.self_.sequence);
}

void step::merge_own_member_fact(const model::fact& fact) {
    const auto& self = state_.self_;
    if (fact.version.epoch > self.incarnation.value()) {
        state_.superseded_ = true;
        add_timeline_entry("instance_superseded", {{"incarnation", std::to_string(self.incarnation.value())},
                                                   {"later", std::to_string(fact.version.epoch)}});
        return;
    }
    if (fact.version.epoch != self.incarnation.value() || fact.version.sequence <= self.sequence) {
        return;
    }
    ++state_.counters_.refutations;
    add_timeline_entry("member_report_refuted", {{"sequence", std::to_string(fact.version.sequence)}});
    publish_own_member_fact(fact.version.sequence);
}

void step::publish_member_report(const model::member& member, model::member_state state, bool forward) {
    model::member changed = member;
    changed.state = state;
    // 1 leaving, 2 unreachable, 3 left: a report replaces one about the same own fact only when it is more severe.
    const std::uint64_t severity = state == model::member_state::leaving       ? 1
                                   : state == model::member_state::unreachable ? 2
                                                                               : 3;
    changed.sequence = member.sequence / sequence_stride * sequence_stride + severity;
    if (changed.sequence <= member.sequence) {
        return;
    }
    ++state_.counters_.member_reports;
    add_timeline_entry("member_reported", {{"member", changed.id.value()},
                                           {"state", std::to_string(static_cast<int>(state))},
                                           {"incarnation", std::to_string(changed.incarnation.value())}});
    merge_member_fact({model::fact_kind::member,
                       changed.id.value(),
                       {changed.incarnation.value(), changed.sequence},
                       base::to_json_text(changed)},
                      {}, forward);
}

void step::send(const model::instance_id& to, const model::address& address, model::peer_message_body body) {
    ++state_.counters_.messages_sent;
    effects_.emplace_back(model::send_peer_message{to, address, std::move(body)});
}

void step::send_to_member(const model::instance_id& to, model::peer_message_body body) {
    const member_entry* const entry = state_.table_.find(to);
    if (entry != nullptr) {
        send(to, entry->member.peer_address, std::move(body));
    }
}

void step::add_timeline_entry(std::string name, std::vector<model::timeline_field> fields) {
    effects_.emplace_back(model::timeline_entry{std::move(name), std::move(fields)});
}

std::uint64_t step::next_random() {
    // SplitMix64, seeded with the event's random number.
    random_ += 0x9e3779b97f4a7c15ULL;
    std::uint64_t mixed = random_;
    mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebULL;
    return mixed ^ (mixed >> 31U);
}

step::instance_ids step::choose(instance_ids from, std::size_t count) {
    count = std::min(count, from.size());
    for (std::size_t index = 0; index < count; ++index) {
        std::swap(from[index], from[index + next_random() % (from.size() - index)]);
    }
    from.resize(count);
    return from;
}

} // namespace lovagetack::membership
