#pragma once

#include <string>
#include <vector>

#include "membership/effect.hpp"
#include "membership/event.hpp"
#include "membership/reduce.hpp"
#include "membership/state.hpp"

namespace lovagetack::membership {

/// Handles one event. New facts are collected and forwarded together at its end.
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

    /// Forwards new facts and returns all effects.
    effects finish();

private:
    using instance_ids = member_table::instance_ids;
    using time = base::boot_time;

    // Own member fact.
    void initialise_once();
    void publish_own_member_fact(std::uint64_t sequence_above);
    void set_own_state(model::member_state state);
    void report_configuration_version();
    void merge_own_member_fact(const model::fact& fact);

    // Facts.
    void merge_fact(const model::fact& fact, const model::instance_id& from, bool forward);
    void merge_member_fact(const model::fact& fact, const model::instance_id& from, bool forward);
    bool store(const model::fact& fact, bool digested, const model::instance_id& from, bool forward);
    void add_recent_fact(const model::fact& fact, const model::instance_id& from);
    void retire_earlier_owner_of_address(const model::member& member);
    void publish_member_report(const model::member& member, model::member_state state, bool forward);
    void remove_gone_members();
    void remove_member(const model::instance_id& id);

    // Dissemination.
    void forward_new_facts();
    void send_load_report(const model::fact& fact);
    [[nodiscard]] model::instance_id controller_of_data_centre() const;
    [[nodiscard]] instance_ids gossip_targets();
    void send_facts(const model::instance_id& to, const model::address& address, const std::vector<model::fact>& list);
    void compare_digest(const model::peer_message& message, std::uint64_t digest);
    /// For how long the digests have differed; 0 when they are equal. Starts or ends that period.
    std::chrono::microseconds mismatch_time(member_entry& entry, bool differs);
    void send_own_member_fact(const model::peer_message& message);
    void send_recent_facts(const model::peer_message& message, member_entry& entry);
    void request_sync(const model::instance_id& to, const model::address& address);
    void answer_sync(const model::peer_message& message, const model::sync_request& request);
    [[nodiscard]] std::chrono::microseconds sync_spacing() const;

    // Failure detection.
    void detect_pause();
    void send_heartbeats();
    void send_heartbeat(const model::instance_id& to, const model::address& address);
    void contact_unknown_instances();
    [[nodiscard]] std::vector<model::address> contact_candidates() const;
    void check_neighbours();
    void check_neighbour(const model::instance_id& id, member_entry& entry);
    void suspect(const model::instance_id& id, member_entry& entry);
    void probe(const model::instance_id& id, member_entry& entry);
    [[nodiscard]] instance_ids probe_helpers(const model::instance_id& id);
    void confirm_failure(const model::instance_id& id, const member_entry& entry);
    [[nodiscard]] bool has_contact_with_other_since(const model::instance_id& id, time since) const;

    // Messages.
    [[nodiscard]] bool accept(const model::peer_message& message);
    void record_contact(const model::peer_message& message);
    void send_report_to_subject(member_entry& entry);
    void handle(const model::peer_message& message, const model::heartbeat& body);
    void handle(const model::peer_message& message, const model::facts& body);
    void handle(const model::peer_message& message, const model::sync_request& body);
    void handle(const model::peer_message& message, const model::probe_request& body);
    void handle(const model::peer_message& message, const model::probe& body);
    void handle(const model::peer_message& message, const model::probe_answer& body);
    // Leases and controllers' heartbeats are handled by ownership; here they only count as
    // messages received from the sender.
    void handle(const model::peer_message&, const model::lease_request&) {}
    void handle(const model::peer_message&, const model::lease_reply&) {}
    void handle(const model::peer_message&, const model::controller_heartbeat&) {}

    void send(const model::instance_id& to, const model::address& address, model::peer_message_body body);
    void send_to_member(const model::instance_id& to, model::peer_message_body body);
    void add_timeline_entry(std::string name, std::vector<model::timeline_field> fields);
    [[nodiscard]] std::uint64_t next_random();
    [[nodiscard]] instance_ids choose(instance_ids from, std::size_t count);

    state& state_;
    time now_;
    std::uint64_t random_;
    effects effects_;
    /// Facts to forward, and the instance that sent them.
    std::vector<model::fact> new_facts_;
    model::instance_id new_facts_sender_;
    bool members_changed_ = false;
};

} // namespace lovagetack::membership
