#include "membership/step.hpp"

#include <algorithm>
#include <utility>

#include "base/json.hpp"

namespace lovagetack::membership {
namespace {

/// Own member facts have sequences that are multiples of this. Others report about the member with the numbers in
/// between, so that two facts with equal versions are always equal.
constexpr std::uint64_t sequence_stride = 4;

} // namespace

void step::on(const model::tick&) {
    start();
    note_pause();
    send_heartbeats();
    watch_neighbours();
    if (now_ >= state_.next_contact_) {
        state_.next_contact_ = now_ + state_.limits_.contact_interval;
        contact_unknown();
        forget_gone_members();
    }
    report_configuration_version();
}

void step::on(const model::peer_message& message) {
    start();
    if (!accept(message)) {
        ++state_.counters_.messages_ignored;
        return;
    }
    note_heard(message);
    std::visit([&](const auto& body) { handle(message, body); }, message.body);
}

void step::on(const model::publish_fact& published) {
    start();
    if (published.fact.kind == model::fact_kind::member) {
        // Only membership itself speaks about members.
        ++state_.counters_.facts_refused;
        return;
    }
    learn(published.fact, {}, true);
}

void step::on(const instances_listed& listed) {
    start();
    state_.listed_ = listed.instances;
    if (state_.listed_.size() > state_.limits_.maximum_listed) {
        state_.listed_.resize(state_.limits_.maximum_listed);
    }
    for (const auto& instance : state_.listed_) {
        const member_entry* const entry = state_.table_.find(instance.id);
        if (!instance.leaving || entry == nullptr || !is_present(entry->member) ||
            entry->member.state == model::member_state::leaving ||
            entry->member.data_centre == state_.self_.data_centre) {
            continue;
        }
        // In the own data centre the ring knows better. Of another one the list is believed only while nobody there
        // has been heard for some time.
        if (now_ - state_.data_centre_heard_[entry->member.data_centre.value()] > state_.limits_.observation_time) {
            publish_about(model::member(entry->member), model::member_state::leaving, true);
        }
    }
}

void step::on(const service_started&) {
    start();
    if (state_.self_.state == model::member_state::joining) {
        set_own_state(model::member_state::live);
    }
}

void step::on(const model::deployment_changed& changed) {
    start();
    state_.configuration_version_ = std::max(state_.configuration_version_, changed.deployment.version);
    report_configuration_version();
}

void step::on(const model::shutdown_started&) {
    start();
    set_own_state(model::member_state::leaving);
}

effects step::finish() {
    send_on_new_facts();
    if (members_changed_) {
        effects_.emplace_back(model::members_changed{state_.members()});
    }
    return std::move(effects_);
}

void step::start() {
    if (state_.self_.sequence != 0) {
        return;
    }
    state_.listening_since_ = now_;
    // A random phase keeps instances that start together from sending together.
    const auto phase = std::chrono::microseconds(
        next_random() % static_cast<std::uint64_t>(state_.limits_.remote_heartbeat_interval.count() + 1));
    state_.next_remote_heartbeat_ = now_ + phase;
    state_.next_heartbeat_ = now_;
    state_.next_contact_ = now_;
    publish_self(0);
}

void step::publish_self(std::uint64_t sequence_above) {
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
    publish_self(state_.self_.sequence);
}

void step::report_configuration_version() {
    if (state_.self_.configuration_version == state_.configuration_version_ || now_ < state_.next_version_report_) {
        return;
    }
    const auto members = static_cast<std::int64_t>(state_.table_.all().size() + 1);
    state_.next_version_report_ = now_ + state_.limits_.version_spacing_per_member * members;
    publish_self(state_.self_.sequence);
}

void step::learn_about_self(const model::fact& fact) {
    const auto& self = state_.self_;
    if (fact.version.epoch > self.incarnation.value()) {
        state_.superseded_ = true;
        note("instance_superseded", {{"incarnation", std::to_string(self.incarnation.value())},
                                     {"later", std::to_string(fact.version.epoch)}});
        return;
    }
    if (fact.version.epoch != self.incarnation.value() || fact.version.sequence <= self.sequence) {
        return;
    }
    ++state_.counters_.refutations;
    note("member_report_refuted", {{"sequence", std::to_string(fact.version.sequence)}});
    publish_self(fact.version.sequence);
}

void step::publish_about(const model::member& member, model::member_state state, bool forward) {
    model::member changed = member;
    changed.state = state;
    // 1 leaving, 2 unreachable, 3 left: a later report about the same own fact can only be a graver one.
    const std::uint64_t gravity = state == model::member_state::leaving       ? 1
                                  : state == model::member_state::unreachable ? 2
                                                                              : 3;
    changed.sequence = member.sequence / sequence_stride * sequence_stride + gravity;
    if (changed.sequence <= member.sequence) {
        return;
    }
    ++state_.counters_.accusations;
    note("member_reported", {{"member", changed.id.value()},
                             {"state", std::to_string(static_cast<int>(state))},
                             {"incarnation", std::to_string(changed.incarnation.value())}});
    learn_member({model::fact_kind::member,
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

void step::note(std::string name, std::vector<model::timeline_field> fields) {
    effects_.emplace_back(model::timeline_entry{std::move(name), std::move(fields)});
}

std::uint64_t step::next_random() {
    // SplitMix64: the event's random number is the seed of all choices made in it.
    random_ += 0x9e3779b97f4a7c15ULL;
    std::uint64_t mixed = random_;
    mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebULL;
    return mixed ^ (mixed >> 31U);
}

step::names step::choose(names from, std::size_t count) {
    count = std::min(count, from.size());
    for (std::size_t index = 0; index < count; ++index) {
        std::swap(from[index], from[index + next_random() % (from.size() - index)]);
    }
    from.resize(count);
    return from;
}

} // namespace lovagetack::membership
