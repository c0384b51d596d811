#include "routing/reduce.hpp"

#include <type_traits>
#include <variant>

#include "routing/accounts/allowances.hpp"
#include "routing/accounts/authentication.hpp"
#include "routing/accounts/counting.hpp"
#include "routing/accounts/naming.hpp"
#include "routing/asking.hpp"
#include "routing/delegation.hpp"
#include "routing/dispatching.hpp"
#include "routing/keeper.hpp"
#include "routing/log_fields.hpp"
#include "routing/peers.hpp"
#include "routing/quarantine.hpp"
#include "routing/readers.hpp"
#include "routing/renewing.hpp"
#include "routing/requests.hpp"
#include "routing/servers.hpp"
#include "routing/signals.hpp"
#include "routing/started_answers.hpp"
#include "routing/step.hpp"

namespace lovagetack::routing {
namespace {

void on(step& step, const store_reachability_changed& event) {
    set_store_reachable(step, event.reachable);
}

void on(step& step, const store_era_seen& event) {
    note_store_era(step, event.era);
}

void on(step& step, const configuration_updated& event) {
    if (event.configuration.version <= step.state.configuration.version) {
        return;
    }
    step.state.configuration = event.configuration;
    step.state.configuration_since = step.now;
    step.add(log_line{false,
                      "configuration_in_force",
                      {number_field("version", event.configuration.version),
                       number_field("routes", event.configuration.routes.size()),
                       number_field("services", event.configuration.services.size())}});
}

void on(step& step, const configuration_rejected& event) {
    step.add(log_line{true, "configuration_rejected", {text_field("reason", event.reason)}});
}

void on(step& step, const evacuations_updated& event) {
    update_evacuations(step, event.data_centres);
}

void on(step& step, const backend_server_updated& event) {
    update_server(step, event.server);
}

void on(step& step, const backend_server_removed& event) {
    remove_server(step, event.id);
}

void on(step& step, const registry_complete& /*event*/) {
    if (!step.state.registry_known) {
        step.state.registry_known = true;
        step.state.store_reached_since = step.now;
    }
}

void on(step& step, const assignment_learned& event) {
    update_assignment(step, event);
}

void on(step& step, const assignment_changed& event) {
    apply_assignment_change(step, event);
}

void on(step& step, const assignments_complete& /*event*/) {
    step.state.assignments_known = true;
}

void on(step& step, const instance_updated& event) {
    auto& record = step.state.instances[event.instance];
    if (record.incarnation != event.record.incarnation) {
        step.state.dispatch.suspects.erase(event.instance);
    }
    record = event.record;
    forget_reader_ranks(step);
}

void on(step& step, const instance_removed& event) {
    step.state.instances.erase(event.instance);
    forget_reader_ranks(step);
}

void on(step& step, const quarantine_learned& event) {
    begin_quarantine(step, event.request);
}

void on(step& step, const quarantine_removed& event) {
    end_quarantine(step, event.request);
}

void on(step& step, const request_strike& event) {
    collect_strike(step, event);
}

void on(step& step, const quarantine_objection& event) {
    collect_objection(step, event);
}

void on(step& step, const server_probed& event) {
    end_probe(step, event);
}

void on(step& step, const lease_read& event) {
    end_lease_read(step, event);
}

void on(step& step, const rows_written& event) {
    end_write(step, event);
}

void on(step& step, const assignments_read& event) {
    end_assignments_read(step, event);
}

void on(step& step, const grant_ended& event) {
    if (!end_renewal(step, event)) {
        end_grant(step, event);
    }
}

void on(step& step, const release_ended& event) {
    end_release(step, event);
}

void on(step& step, const renewal_orders& event) {
    accept_orders(step, event);
}

void on(step& step, const renewal_report& event) {
    accept_report(step, event);
}

void on(step& step, const table_updated& event) {
    note_table(step, event);
}

void on(step& step, const slot_request& event) {
    answer_slot_request(step, event);
}

void on(step& step, const slot_answer& event) {
    end_ask(step, event);
}

void on(step& step, const slot_release& event) {
    release_slot(step, event);
}

void on(step& step, const slot_report& event) {
    note_slot_report(step, event);
}

void on(step& step, const reader_heartbeat& event) {
    note_heartbeat(step, event);
}

void on(step& step, const table_change_received& event) {
    receive_table_change(step, event);
}

void on(step& step, const table_changes_wanted& event) {
    step.add(send_known_changes{event.sender, event.table, event.after});
}

void on(step& step, const table_changes_unknown& event) {
    step.add(catch_up{event.table});
}

void on(step& step, const instance_load& event) {
    update_peer_load(step, event);
}

void on(step& step, const request_announced& event) {
    refuse_unauthenticated(step, event);
}

void on(step& step, const request_arrived& event) {
    admit(step, event);
}

void on(step& step, const caller_left& event) {
    end_left_exchange(step, event);
}

void on(step& step, const connection_dropped& event) {
    step.add(
        log_line{true, "connection_dropped", {text_field("request", event.request), text_field("cause", event.cause)}});
}

void on(step& step, const attempt_sent& event) {
    mark_request_sent(step, event);
}

void on(step& step, const signals_received& event) {
    note_signals(step, event);
}

void on(step& step, const answer_forwarding_started& event) {
    watch_started_answer(step, event);
}

void on(step& step, const answer_progress& event) {
    note_answer_progress(step, event);
}

void on(step& step, const attempt_ended& event) {
    end_attempt(step, event);
}

void on(step& step, const promise_withheld& event) {
    step.add(
        log_line{true,
                 "promise_withheld",
                 {text_field("request", event.request), text_field("code", std::string(base::name_of(event.code)))}});
}

void on(step& step, const message_not_sent& event) {
    step.add(
        log_line{true, "message_not_sent", {text_field("receiver", event.receiver), text_field("cause", event.cause)}});
}

void on(step& step, const message_rejected& event) {
    step.add(log_line{true, "message_rejected", {text_field("cause", event.cause)}});
}

void on(step& step, const counter_roles& event) {
    accept_roles(step, event);
}

void on(step& step, const counter_report& event) {
    accept_counter_report(step, event);
}

void on(step& step, const token_request& event) {
    answer_token_request(step, event);
}

void on(step& step, const token_answer& event) {
    end_token_request(step, event);
}

void on(step& step, const allowance_message_received& event) {
    std::visit([&step](const auto& message) { on(step, message); }, event.message);
}

void on(step& step, const ticked& /*event*/) {
    remove_missing(step);
    end_missing_evacuations(step);
    remove_silent_peers(step);
    run_statements(step);
    run_renewals(step);
    run_readers(step);
    run_quarantine(step);
    run_dispatcher(step);
    run_asks(step);
    run_counter(step);
    run_allowances(step);
}

void on(step& step, const shutdown_begun& event) {
    step.state.shutting_down = true;
    step.state.shutdown_begun_at = step.now;
    step.state.work_ends_at = step.now + event.time_left;
    step.state.allowances.next_report = step.now;
}

void on(step& step, const shutdown_nears_end& /*event*/) {
    step.state.sends_nothing_more = true;
    refuse_unsent_exchanges(step);
}

void on(step& step, const shutdown_ends& /*event*/) {
    step.state.sends_nothing_more = true;
    end_unanswered_exchanges(step);
}

/// These events are frequent, and the keeper does not have to act on them before the next tick.
bool concerns_keeper(const event& event) {
    const auto is_any_of = [&event]<class... Events>(std::type_identity<std::variant<Events...>> /*kinds*/) {
        return (std::holds_alternative<Events>(event) || ...);
    };
    return !is_any_of(
        std::type_identity<
            std::variant<request_announced, request_arrived, caller_left, connection_dropped, attempt_sent,
                         signals_received, answer_forwarding_started, answer_progress, attempt_ended, promise_withheld,
                         message_not_sent, message_rejected, instance_load, renewal_orders, renewal_report,
                         reader_heartbeat, slot_request, slot_answer, slot_release, slot_report, request_strike,
                         quarantine_objection, server_probed, allowance_message_received>>());
}

} // namespace

bool is_ready(const state& state) {
    return !state.shutting_down && state.configuration.version > 0 && state.registry_known && state.assignments_known;
}

effects reduce(state& state, base::boot_time now, const event& event) {
    ++state.steps;
    step step{state, now, {}};
    std::visit([&step](const auto& body) { on(step, body); }, event);
    // More requests may have been written than this event tells of. No deadline is judged before all are known.
    if (!std::holds_alternative<attempt_sent>(event)) {
        end_overdue_exchanges(step);
        check_started_answers(step);
    }
    if (concerns_keeper(event)) {
        run_keeper(step);
    }
    send_queued_requests(step);
    send_load_if_due(step);
    return std::move(step.effects);
}

} // namespace lovagetack::routing
