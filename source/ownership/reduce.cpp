#include "ownership/reduce.hpp"

#include "base/json.hpp"
#include "ownership/activations.hpp"
#include "ownership/assigning.hpp"
#include "ownership/balance.hpp"
#include "ownership/changes.hpp"
#include "ownership/data_centres.hpp"
#include "ownership/election.hpp"
#include "ownership/granting.hpp"
#include "ownership/home_leases.hpp"
#include "ownership/servers.hpp"
#include "ownership/step.hpp"
#include "ownership/store.hpp"

namespace lovagetack::ownership {
namespace {

void handle_load_fact(step& step, const model::fact& fact) {
    model::load_report report;
    if (base::from_json_text(fact.value, report)) {
        auto& known = step.state.loads[report.instance];
        known.received_at = step.now;
        known.report = std::move(report);
    }
}

void handle_fact(step& step, const model::fact& fact) {
    switch (fact.kind) {
    case model::fact_kind::controller:
    case model::fact_kind::assignment:
        mark_inputs_changed(step.state);
        handle_row_fact(step, fact);
        return;
    case model::fact_kind::activation:
        mark_inputs_changed(step.state);
        handle_activation_fact(step, fact);
        return;
    case model::fact_kind::load_report:
        handle_load_fact(step, fact);
        return;
    case model::fact_kind::unknown:
    case model::fact_kind::member:
    case model::fact_kind::configuration:
    case model::fact_kind::service_state:
        return;
    }
}

/// Applies an event to the state. The decisions follow in decide(), after the authority was checked.
struct event_handler {
    ownership::step& step;

    void operator()(const model::tick&) const { run_election(step); }
    void operator()(const model::fact_learned& event) const { handle_fact(step, event.fact); }
    void operator()(const model::members_changed& event) const {
        step.state.members = event.members;
        mark_inputs_changed(step.state);
    }
    void operator()(const model::deployment_changed& event) const {
        step.state.deployment = event.deployment;
        update_servers(step);
        mark_inputs_changed(step.state);
        step.state.routes_outdated = true;
    }
    void operator()(const model::service_states_changed& event) const {
        step.state.service_states = event.states;
        mark_inputs_changed(step.state);
    }
    void operator()(const model::store_reply& event) const { handle_store_reply(step, event); }
    void operator()(const grant_answered& event) const { handle_grant_answer(step, event); }
    void operator()(const lease_message& event) const { handle_lease_message(step, event); }
    void operator()(const controller_heard& event) const { handle_heartbeat(step, event); }
};

void decide(step& step, bool ticked) {
    check_authority(step);
    const bool deciding = start_deciding(step, ticked || is_poll_due(step));
    if (deciding) {
        decide_grants(step);
    } else {
        repeat_polls(step);
    }
    run_store_calls(step);
    if (deciding || ticked) {
        move_between_data_centres(step);
    }
    if (deciding) {
        maintain_rows(step);
    }
    if (deciding || ticked) {
        balance_load(step);
    }
    if (deciding) {
        publish_activations(step);
    }
    publish_routes(step);
    request_home_leases(step);
}

} // namespace

effects reduce(state& state, base::boot_time now, std::uint64_t random, const event& input) {
    effects result;
    step step{state, now, random, result};
    detect_pause(step);
    check_authority(step);
    std::visit(event_handler{step}, input);
    decide(step, std::holds_alternative<model::tick>(input));
    return result;
}

} // namespace lovagetack::ownership
