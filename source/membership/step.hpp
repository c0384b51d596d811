#pragma once

#include <string>
#include <vector>

#include "membership/effect.hpp"
#include "membership/event.hpp"
#include "membership/reduce.hpp"
#include "membership/state.hpp"

namespace lovagetack::membership {

/// The work on one event. Facts that become known in it are sent on together at its end.
class step {
public:
    step(state& state, base::boot_time now, std::uint64_t random) : state_(state), now_(now), random_(random) {}

    void on(const model::tick& tick);
    void on(const model::peer_message& message);
    void on(const model::publish_fact& published);
    void on(const instances_listed& listed);
    void on(const service_started& started);
    void on(const model::deployment_changed& changed);
    void on(const model::shutdown_started& started);

    /// Sends on what is new and returns all effects.
    effects finish();

private:
    using names = member_table::names;
    using time = base::boot_time;

    // Own member fact.
    void start();
    void publish_self(std::uint64_t sequence_above);
    void set_own_state(model::member_state state);
    void report_configuration_version();
    void learn_about_self(const model::fact& fact);

    // Facts.
    void learn(const model::fact& fact, const model::instance_id& from, bool forward);
    void learn_member(const model::fact& fact, const model::instance_id& from, bool forward);
    bool store(const model::fact& fact, bool digested, const model::instance_id& from, bool forward);
    void remember_recent(const model::fact& fact, const model::instance_id& from);
    void retire_earlier_owner_of_address(const model::member& member);
    void publish_about(const model::member& member, model::member_state state, bool forward);
    void forget_gone_members();
    void forget(const model::instance_id& id);

    // Dissemination.
    void send_on_new_facts();
    void send_load_report(const model::fact& fact);
    [[nodiscard]] model::instance_id controller_of_data_centre() const;
    [[nodiscard]] names gossip_targets();
    void send_facts(const model::instance_id& to, const model::address& address, const std::vector<model::fact>& list);
    void compare_digest(const model::peer_message& message, std::uint64_t digest);
    /// Since when digests differ; starts or ends the period.
    std::chrono::microseconds mismatch_time(member_entry& entry, bool differs);
    void introduce_self(const model::peer_message& message);
    void push_recent(const model::peer_message& message, member_entry& entry);
    void request_sync(const model::instance_id& to, const model::address& address);
    void answer_sync(const model::peer_message& message, const model::sync_request& request);
    [[nodiscard]] std::chrono::microseconds sync_spacing() const;

    // Failure detection.
    void note_pause();
    void send_heartbeats();
    void send_heartbeat(const model::instance_id& to, const model::address& address);
    void contact_unknown();
    [[nodiscard]] std::vector<model::address> contacts() const;
    void watch_neighbours();
    void watch(const model::instance_id& id, member_entry& entry);
    void suspect(const model::instance_id& id, member_entry& entry);
    void probe(const model::instance_id& id, member_entry& entry);
    [[nodiscard]] names helpers_against(const model::instance_id& id);
    void accuse(const model::instance_id& id, const member_entry& entry);
    [[nodiscard]] bool heard_other_since(const model::instance_id& id, time since) const;

    // Messages.
    [[nodiscard]] bool accept(const model::peer_message& message);
    void note_heard(const model::peer_message& message);
    void tell_accused(member_entry& entry);
    void handle(const model::peer_message& message, const model::heartbeat& body);
    void handle(const model::peer_message& message, const model::facts& body);
    void handle(const model::peer_message& message, const model::sync_request& body);
    void handle(const model::peer_message& message, const model::probe_request& body);
    void handle(const model::peer_message& message, const model::probe& body);
    void handle(const model::peer_message& message, const model::probe_answer& body);
    // Leases and controllers' heartbeats are handled by ownership; here they are only signs of life.
    void handle(const model::peer_message&, const model::lease_request&) {}
    void handle(const model::peer_message&, const model::lease_reply&) {}
    void handle(const model::peer_message&, const model::controller_heartbeat&) {}

    void send(const model::instance_id& to, const model::address& address, model::peer_message_body body);
    void send_to_member(const model::instance_id& to, model::peer_message_body body);
    void note(std::string name, std::vector<model::timeline_field> fields);
    [[nodiscard]] std::uint64_t next_random();
    [[nodiscard]] names choose(names from, std::size_t count);

    state& state_;
    time now_;
    std::uint64_t random_;
    effects effects_;
    /// Facts to send on, and who they came from.
    std::vector<model::fact> fresh_;
    model::instance_id fresh_from_;
    bool members_changed_ = false;
};

} // namespace lovagetack::membership
