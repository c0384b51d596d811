#include "routing/asking.hpp"

#include <algorithm>
#include <utility>
#include <vector>

#include "routing/exchanges.hpp"
#include "routing/groups.hpp"
#include "routing/limits.hpp"
#include "routing/log_fields.hpp"
#include "routing/requests.hpp"
#include "routing/servers.hpp"
#include "routing/signals.hpp"

namespace lovagetack::routing {
namespace {

std::chrono::milliseconds in_whole_milliseconds(std::chrono::microseconds time) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(time);
}

/// Longest further wait in a queue after which the answer still comes in time.
std::chrono::microseconds patience_of(step& step, const exchange& exchange) {
    const auto latest = std::chrono::duration_cast<std::chrono::microseconds>(latest_answer_time(exchange)) *
                        longest_queue_percent / 100;
    const auto until = exchange.request.arrived + latest - service_of(step, exchange).service_time;
    return std::max(std::chrono::microseconds(0), std::min(until, exchange.expires_at) - step.now);
}

/// The group that the exchange asks next: two of the own data centre, then groups of other data centres. Nothing if all
/// have been asked.
std::optional<server_group> next_group(step& step, const exchange& exchange) {
    auto& state = step.state;
    const auto own = count_groups(state, exchange.service, state.self.data_centre);
    const auto asked = exchange.groups_asked;
    const auto own_to_ask = std::min(own_groups_asked, static_cast<std::int32_t>(own));
    if (asked < own_to_ask) {
        const auto number = asked == 0 ? ++state.dispatch.turn : exchange.group.number + 1;
        return server_group{exchange.service, state.self.data_centre, number % own};
    }
    auto others = data_centres_of(state, exchange.service);
    std::erase(others, state.self.data_centre);
    const auto remote = asked - own_to_ask;
    if (asked >= most_groups_asked || remote >= static_cast<std::int32_t>(others.size())) {
        return std::nullopt;
    }
    const auto start = state.random();
    const auto& data_centre = others[start % others.size()];
    const auto count = count_groups(state, exchange.service, data_centre);
    return server_group{exchange.service, data_centre, static_cast<std::uint32_t>((start >> 16U) % count)};
}

void send_ask(step& step, exchange& exchange) {
    exchange.asked_again_at = step.now;
    if (exchange.unanswered_since == base::boot_time()) {
        exchange.unanswered_since = step.now;
    }
    slot_request request;
    request.sender = step.state.self.instance;
    request.incarnation = step.state.self.incarnation;
    request.ask = exchange.ask;
    request.service = exchange.service;
    request.data_centre = exchange.group.data_centre;
    request.group = exchange.group.number;
    request.server = exchange.wanted_server;
    request.priority = exchange.priority;
    request.age = in_whole_milliseconds(step.now - exchange.request.arrived);
    request.patience = in_whole_milliseconds(patience_of(step, exchange));
    request.excluded = exchange.tried_servers;
    for (const auto& id : step.state.stating_servers) {
        const auto& server = step.state.servers.at(id);
        const auto& place = server.registration;
        const bool asked_for = exchange.wanted_server.empty() && place.service == exchange.service &&
                               place.data_centre == exchange.group.data_centre;
        if (asked_for && (is_leaving(server) || !accepts_from_here(server, step.now))) {
            request.excluded.push_back(id);
        }
    }
    step.add(send_slot_request{exchange.dispatcher, std::move(request)});
}

/// Asks the dispatcher of the exchange's group; false if there is none.
bool ask_group(step& step, exchange_id id) {
    auto& exchange = step.state.exchanges.at(id);
    const auto dispatcher = dispatcher_of(step.state, exchange.group, step.now);
    if (!dispatcher) {
        return false;
    }
    exchange.phase = exchange_phase::asking;
    exchange.ask = ++step.state.dispatch.last_ask;
    exchange.dispatcher = *dispatcher;
    exchange.unanswered_since = {};
    exchange.ask_queued = false;
    step.state.dispatch.asks[exchange.ask] = id;
    send_ask(step, exchange);
    return true;
}

/// Asks the next group, or refuses the request.
void ask_next(step& step, exchange_id id, std::chrono::milliseconds wait) {
    auto& exchange = step.state.exchanges.at(id);
    exchange.phase = exchange_phase::queued;
    while (exchange.wanted_server.empty()) {
        const auto group = next_group(step, exchange);
        if (!group) {
            break;
        }
        ++exchange.groups_asked;
        exchange.group = *group;
        if (ask_group(step, id)) {
            return;
        }
    }
    answer(step, id, base::result_code::request_queue_full, wait + retry_after_for(step, exchange));
}

/// The dispatcher does not answer: another one takes its place for this instance.
void replace_dispatcher(step& step, exchange_id id) {
    auto& exchange = step.state.exchanges.at(id);
    auto& suspect = step.state.dispatch.suspects[exchange.dispatcher];
    if (suspect.until <= step.now) {
        suspect.period = std::clamp(suspect.period * 2, dispatcher_suspicion, longest_suspicion);
        suspect.until = step.now + suspect.period;
        step.add(
            log_line{true,
                     "dispatcher_silent",
                     {text_field("dispatcher", exchange.dispatcher.value()),
                      text_field("service", exchange.service.value()), number_field("group", exchange.group.number)}});
    }
    release_ask(step, exchange, std::nullopt);
    exchange.phase = exchange_phase::queued;
    ++exchange.silent_dispatchers;
    if (exchange.silent_dispatchers > most_silent_dispatchers || !ask_group(step, id)) {
        place_without_dispatcher(step, id);
    }
}

void run_ask(step& step, exchange_id id) {
    auto& exchange = step.state.exchanges.at(id);
    const bool unanswered = exchange.unanswered_since != base::boot_time();
    if (unanswered && step.now - exchange.unanswered_since >= ask_timeout) {
        replace_dispatcher(step, id);
        return;
    }
    // The dispatcher refuses a queued request at the same time; this is for a lost message.
    if (exchange.ask_queued && step.now - exchange.asked_again_at >= queue_refresh &&
        patience_of(step, exchange).count() == 0) {
        release_ask(step, exchange, std::nullopt);
        ask_next(step, id, std::chrono::milliseconds(0));
        return;
    }
    if (step.now - exchange.asked_again_at >= (unanswered ? ask_retry : queue_refresh)) {
        send_ask(step, exchange);
    }
}

void report_slots(step& step) {
    auto& dispatch = step.state.dispatch;
    if (step.now < dispatch.next_report) {
        return;
    }
    dispatch.next_report = step.now + slot_report_period;
    std::map<model::instance_id, slot_report> reports;
    for (const auto& dispatcher : std::exchange(dispatch.reported_to, {})) {
        reports[dispatcher];
    }
    for (const auto& [ask, id] : dispatch.asks) {
        const auto& exchange = step.state.exchanges.at(id);
        if (exchange.phase == exchange_phase::sent) {
            reports[exchange.dispatcher].slots.push_back({ask, exchange.server});
        }
    }
    for (auto& [dispatcher, report] : reports) {
        report.sender = step.state.self.instance;
        report.incarnation = step.state.self.incarnation;
        if (!report.slots.empty()) {
            dispatch.reported_to.insert(dispatcher);
        }
        step.add(send_slot_report{dispatcher, std::move(report)});
    }
}

void send_release(step& step, const model::instance_id& dispatcher, std::uint64_t ask,
                  const model::backend_server_id& server, const std::optional<attempt_summary>& attempt) {
    step.add(
        send_slot_release{dispatcher, {step.state.self.instance, step.state.self.incarnation, ask, server, attempt}});
}

} // namespace

bool uses_dispatchers(const state& state) {
    return state.uses_dispatchers && state.instances.size() > small_deployment;
}

bool ask_for_slot_at(step& step, exchange_id id, const server_record& server) {
    auto& exchange = step.state.exchanges.at(id);
    exchange.silent_dispatchers = 0;
    exchange.wanted_server = server.registration.id;
    exchange.group = group_of(step.state, server.registration);
    return ask_group(step, id);
}

bool ask_for_slot(step& step, exchange_id id) {
    auto& exchange = step.state.exchanges.at(id);
    exchange.groups_asked = 0;
    exchange.silent_dispatchers = 0;
    exchange.wanted_server = {};
    const auto group = next_group(step, exchange);
    if (!group) {
        return false;
    }
    exchange.groups_asked = 1;
    exchange.group = *group;
    return ask_group(step, id);
}

void end_ask(step& step, const slot_answer& event) {
    auto& state = step.state;
    state.dispatch.suspects.erase(event.dispatcher);
    const auto found = state.dispatch.asks.find(event.ask);
    const bool waits = found != state.dispatch.asks.end() &&
                       state.exchanges.at(found->second).phase == exchange_phase::asking &&
                       state.exchanges.at(found->second).dispatcher == event.dispatcher;
    if (!waits) {
        const bool is_used =
            found != state.dispatch.asks.end() && state.exchanges.at(found->second).server == event.server;
        if (event.outcome == slot_outcome::granted && !is_used) {
            send_release(step, event.dispatcher, event.ask, event.server, std::nullopt);
        }
        return;
    }
    const auto id = found->second;
    auto& exchange = state.exchanges.at(id);
    if (event.outcome == slot_outcome::queued) {
        exchange.ask_queued = true;
        exchange.unanswered_since = {};
        return;
    }
    if (event.outcome == slot_outcome::refused) {
        state.dispatch.asks.erase(found);
        exchange.ask = 0;
        ask_next(step, id, event.wait);
        return;
    }
    const auto server = state.servers.find(event.server);
    const bool known = server != state.servers.end();
    if (known && accepts_from_here(server->second, step.now) &&
        (exchange.wanted_server.empty() ? takes_new_work(state, server->second, step.now)
                                        : owns_key(step, exchange, server->second))) {
        send(step, id, server->second);
        return;
    }
    exchange.server = event.server;
    release_ask(step, exchange, std::nullopt);
    if (!exchange.wanted_server.empty()) {
        // The key has another owner by now, or its owner has asked this instance for a pause.
        exchange.phase = exchange_phase::queued;
        place(step, id);
        return;
    }
    // This instance knows of the server's leaving or of a failure, the dispatcher does not yet.
    exchange.tried_servers.push_back(event.server);
    ask_next(step, id, std::chrono::milliseconds(0));
}

void release_ask(step& step, exchange& exchange, const std::optional<attempt_summary>& attempt) {
    if (exchange.ask == 0) {
        return;
    }
    const auto ask = std::exchange(exchange.ask, 0);
    step.state.dispatch.asks.erase(ask);
    send_release(step, exchange.dispatcher, ask, exchange.server, attempt);
}

void run_asks(step& step) {
    auto& state = step.state;
    std::vector<exchange_id> waiting;
    for (const auto& [ask, id] : state.dispatch.asks) {
        if (state.exchanges.at(id).phase == exchange_phase::asking) {
            waiting.push_back(id);
        }
    }
    for (const auto id : waiting) {
        run_ask(step, id);
    }
    report_slots(step);
}

} // namespace lovagetack::routing
