#include "routing/requests.hpp"

#include <algorithm>
#include <cmath>

#include "routing/accounts/allowances.hpp"
#include "routing/accounts/authentication.hpp"
#include "routing/asking.hpp"
#include "routing/exchanges.hpp"
#include "routing/log_fields.hpp"
#include "routing/peers.hpp"
#include "routing/quarantine.hpp"
#include "routing/servers.hpp"
#include "routing/signals.hpp"

namespace lovagetack::routing {
namespace {

using base::result_code;

/// Time reserved before the caller's deadline for sending the answer back.
constexpr std::chrono::microseconds answer_margin = 15ms;

std::string_view name_of(attempt_outcome outcome) {
    switch (outcome) {
    case attempt_outcome::delivered:
        return "delivered";
    case attempt_outcome::failed:
        return "failed";
    case attempt_outcome::not_run:
        return "not_run";
    case attempt_outcome::wrong_server:
        return "wrong_server";
    case attempt_outcome::no_key:
        return "no_key";
    case attempt_outcome::not_connected:
        return "not_connected";
    case attempt_outcome::connection_lost:
        return "connection_lost";
    case attempt_outcome::invalid_answer:
        return "invalid_answer";
    case attempt_outcome::cut_short:
        return "cut_short";
    }
    return "";
}

std::string_view name_of(exchange_phase phase) {
    switch (phase) {
    case exchange_phase::queued:
        return "queued";
    case exchange_phase::counting:
        return "counting";
    case exchange_phase::asking:
        return "asking";
    case exchange_phase::waiting:
        return "waiting";
    case exchange_phase::sent:
        return "sent";
    }
    return "";
}

bool take_retry_token(service_record& service) {
    if (service.retry_tokens < 1.0) {
        return false;
    }
    service.retry_tokens -= 1.0;
    return true;
}

/// Chooses the target of a traffic split by accumulated credit, so that the shares hold even over a few requests.
const model::service_id& choose_target(step& step, const route& route) {
    if (route.targets.size() == 1) {
        return route.targets.front().service;
    }
    auto& credits = step.state.split_credit[route.name];
    if (credits.empty()) {
        // Random initial credits prevent all instances from starting with the same target.
        for (const auto& target : route.targets) {
            credits[target.service] = static_cast<double>(step.state.random() % 1000) / 1000.0;
        }
    }
    double sum = 0;
    for (const auto& target : route.targets) {
        sum += target.weight;
    }
    const route_target* best = &route.targets.front();
    for (const auto& target : route.targets) {
        credits[target.service] += sum > 0 ? target.weight / sum : 0;
        if (credits[target.service] > credits[best->service]) {
            best = &target;
        }
    }
    credits[best->service] -= 1.0;
    return best->service;
}

/// Expected delay at a server in another data centre of a large deployment, where the load that other instances cause
/// is not known.
std::chrono::microseconds unknown_load_penalty(step& step, const exchange& exchange) {
    const auto usual = static_cast<double>(service_of(step, exchange).service_time.count());
    return std::chrono::microseconds(static_cast<std::int64_t>(usual * unknown_load_share));
}

/// The server of the service with the lowest score for this request; null if none can accept it now.
server_record* choose_server(step& step, const exchange& exchange) {
    server_record* best = nullptr;
    double best_score = 0;
    for (auto& [id, server] : step.state.servers) {
        if (server.registration.service != exchange.service || !takes_new_work(step.state, server, step.now) ||
            !has_room(step.state, server, step.now) || !accepts_from_here(server, step.now) ||
            std::find(exchange.tried_servers.begin(), exchange.tried_servers.end(), id) !=
                exchange.tried_servers.end()) {
            continue;
        }
        auto time = expected_time(step.state, server, step.now);
        if (server.registration.data_centre != step.state.self.data_centre) {
            time +=
                step.state.instances.size() > small_deployment ? unknown_load_penalty(step, exchange) : remote_penalty;
        }
        const double jitter = 0.9 + static_cast<double>(step.state.random() % 1000) / 5000.0;
        const double score = static_cast<double>(time.count()) * jitter / (1.0 - std::min(0.9, server.failing));
        if (best != nullptr && score >= best_score) {
            continue;
        }
        // A cold server is eligible only while its request allowance is not used up.
        if (is_cold(server, step.now)) {
            auto server_copy = server;
            if (!take_cold_token(step.state, server_copy, step.now)) {
                continue;
            }
        }
        best = &server;
        best_score = score;
    }
    return best;
}

bool has_available_server(const step& step, const exchange& exchange) {
    return std::any_of(step.state.servers.begin(), step.state.servers.end(), [&](const auto& entry) {
        return entry.second.registration.service == exchange.service &&
               takes_new_work(step.state, entry.second, step.now) && !is_pausing(entry.second, step.now) &&
               std::find(exchange.tried_servers.begin(), exchange.tried_servers.end(), entry.first) ==
                   exchange.tried_servers.end();
    });
}

/// Expected time until a request is sent if `ahead` requests of the service are queued before it.
std::chrono::microseconds expected_wait(const step& step, const exchange& exchange, std::size_t ahead) {
    double rate = 0;
    for (const auto& [id, server] : step.state.servers) {
        if (server.registration.service == exchange.service && takes_new_work(step.state, server, step.now) &&
            !is_pausing(server, step.now) && !is_cold(server, step.now)) {
            rate += server.registration.slots / static_cast<double>(usual_time(step.state, server).count());
        }
    }
    if (rate <= 0) {
        return exchange.timeout;
    }
    return std::chrono::microseconds(static_cast<std::int64_t>(static_cast<double>(ahead + 1) / rate));
}

template <class Queue>
std::size_t count_requests_ahead(const Queue& queue, const exchange& exchange, exchange_id id) {
    return static_cast<std::size_t>(
        std::distance(queue.begin(), queue.lower_bound({exchange.priority, exchange.request.arrived, id})));
}

void place_at_any_server(step& step, exchange_id id) {
    auto& exchange = step.state.exchanges.at(id);
    auto* const server = choose_server(step, exchange);
    if (server != nullptr && take_cold_token(step.state, *server, step.now)) {
        send(step, id, *server);
        return;
    }
    if (!has_available_server(step, exchange)) {
        answer(step, id, result_code::request_no_backend_server, retry_after_for(step, exchange));
        return;
    }
    auto& queue = service_of(step, exchange).queue;
    const auto wait = expected_wait(step, exchange, count_requests_ahead(queue, exchange, id));
    const auto spent = step.now - exchange.request.arrived;
    if (spent + wait > latest_answer_time(exchange)) {
        answer(step, id, result_code::request_queue_full, retry_after_for(step, exchange));
        return;
    }
    exchange.phase = exchange_phase::queued;
    exchange.queued_at = {};
    queue.insert({exchange.priority, exchange.request.arrived, id});
}

void wait_for_owner(step& step, exchange_id id) {
    auto& exchange = step.state.exchanges.at(id);
    exchange.phase = exchange_phase::waiting;
    service_of(step, exchange).waiting.insert(id);
}

/// Sends to the owner of the key or queues there; waits while the key moves. Refuses the request if its answer would
/// come too late or the key has no usable owner.
void place_at_owner(step& step, exchange_id id, bool may_ask) {
    auto& exchange = step.state.exchanges.at(id);
    const auto* const range = find_range(service_of(step, exchange).assignment, *exchange.request.key);
    if (range == nullptr) {
        answer(step, id, result_code::ownership_no_owner, retry_after_for(step, exchange));
        return;
    }
    const auto found = step.state.servers.find(range->owner);
    const bool known = found != step.state.servers.end() && found->second.registration.born == range->owner_born;
    const auto spent = step.now - exchange.request.arrived;
    const auto longest_wait = std::chrono::microseconds(
        static_cast<std::int64_t>(static_cast<double>(exchange.objective.count()) * 1000 * move_wait_share));
    if (range->moving() || exchange.not_before > step.now) {
        if (spent > longest_wait) {
            answer(step, id, result_code::ownership_no_owner, retry_after_for(step, exchange));
            return;
        }
        wait_for_owner(step, id);
        return;
    }
    if (!known || !serves_own_keys(step.state, found->second, step.now) || is_unreachable(found->second, step.now)) {
        answer(step, id, result_code::ownership_no_owner, retry_after_for(step, exchange));
        return;
    }
    auto& server = found->second;
    if (is_pausing(server, step.now)) {
        answer(step, id, result_code::request_no_backend_server, retry_after_for(step, exchange));
        return;
    }
    const bool accepts = accepts_from_here(server, step.now);
    if (may_ask && accepts && uses_dispatchers(step.state) && ask_for_slot_at(step, id, server)) {
        return;
    }
    const auto ahead = count_requests_ahead(server.queue, exchange, id);
    if (ahead == 0 && accepts && has_room(step.state, server, step.now) &&
        take_cold_token(step.state, server, step.now)) {
        send(step, id, server);
        return;
    }
    // Assumes that half of the requests queued at other instances are served first.
    const double queued = static_cast<double>(ahead) + server.peers_queued / 2.0;
    const auto wait =
        expected_time(step.state, server, step.now) +
        std::chrono::microseconds(static_cast<std::int64_t>(
            queued * static_cast<double>(usual_time(step.state, server).count()) / server.registration.slots));
    if (spent + wait > latest_answer_time(exchange)) {
        answer(step, id, result_code::request_queue_full, retry_after_for(step, exchange));
        return;
    }
    exchange.phase = exchange_phase::queued;
    exchange.queued_at = range->owner;
    server.queue.insert({exchange.priority, exchange.request.arrived, id});
}

/// Whether this instance would most likely exit before the request has ended, so that its caller would not learn the
/// outcome.
bool outlasts_shutdown(step& step, const exchange& exchange) {
    if (!step.state.shutting_down) {
        return false;
    }
    const auto usual_end = step.now + service_of(step, exchange).service_time * work_time_before_exit;
    return std::min(usual_end, exchange.expires_at) > step.state.work_ends_at;
}

/// Places the request again if its deadline, the attempt limit and the retry budget permit; false if the caller has to
/// be answered instead. `takes_token`: charge the retry budget.
bool retry(step& step, exchange_id id, bool takes_token) {
    auto& exchange = step.state.exchanges.at(id);
    if (step.state.sends_nothing_more || exchange.attempts_left <= 0 ||
        exchange.expires_at <= step.now + answer_margin || is_quarantined(step.state, exchange.request.fingerprint) ||
        stated_wait(step, exchange).count() > 0) {
        return false;
    }
    if (takes_token && !take_retry_token(service_of(step, exchange))) {
        return false;
    }
    ++step.state.retries;
    if (divided_by_key(step.state, exchange.service)) {
        exchange.not_before = step.now + missing_key_pause;
        wait_for_owner(step, id);
        return true;
    }
    place(step, id);
    return true;
}

/// Whether the request waits for a connection to its server, so that nothing of it has been written. The effect that
/// sends an attempt of this step is executed before any that withdraws it.
bool is_unwritten(const step& step, const exchange& exchange) {
    return exchange.phase == exchange_phase::sent && !exchange.sending && exchange.attempt_step != step.state.steps;
}

/// Cancels the attempt of a request that is at a backend server, which may go on working on it.
void cancel_current_attempt(step& step, exchange_id id) {
    auto& exchange = step.state.exchanges.at(id);
    // The effect that sends an attempt of this step is executed before the one that cancels it.
    const bool sent_in_this_step = exchange.attempt_at == step.now;
    exchange.may_have_run = exchange.may_have_run || exchange.sending || sent_in_this_step;
    const auto server = step.state.servers.find(exchange.server);
    if (server != step.state.servers.end()) {
        end_outstanding(step, server->second, exchange);
    }
    step.add(cancel_attempt{id, exchange.attempt});
    note_cancelled_request(step, exchange);
}

void log_attempt(step& step, const exchange& exchange, const attempt_ended& event, std::chrono::microseconds elapsed) {
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(elapsed).count();
    step.add(log_line{
        true,
        "attempt_failed",
        {text_field("request", exchange.request.request), text_field("server", exchange.server.value()),
         text_field("outcome", std::string(name_of(event.outcome))), number_field("status", event.status),
         number_field("attempt", exchange.attempts), number_field("reused_connection", event.reused_connection ? 1 : 0),
         number_field("after_ms", milliseconds), number_field("configuration", exchange.configuration_version),
         number_field("configuration_age_ms", exchange.configuration_age.count())}});
}

} // namespace

void admit(step& step, const request_arrived& event) {
    auto& state = step.state;
    const auto id = event.exchange;
    auto& exchange = state.exchanges[id];
    exchange.request = event;
    if (state.configuration.version == 0) {
        exchange.expires_at = step.now;
        answer(step, id, result_code::instance_not_ready, spread_retry_after(step));
        return;
    }
    const auto configuration_age =
        std::chrono::duration_cast<std::chrono::milliseconds>(step.now - state.configuration_since);
    exchange.configuration_version = state.configuration.version;
    exchange.configuration_age = configuration_age;
    const auto* const route = find_route(state.configuration, event.host, event.path);
    if (route != nullptr && !authenticate(step, exchange, *route)) {
        state.exchanges.erase(id);
        return;
    }
    const bool too_late =
        state.sends_nothing_more || (state.shutting_down && step.now - state.shutdown_begun_at > admission_after_stop);
    if (too_late) {
        exchange.expires_at = step.now;
        answer(step, id, result_code::instance_not_ready, spread_retry_after(step));
        return;
    }
    if (route == nullptr) {
        state.exchanges.erase(id);
        step.add(answer_caller{id, 404, result_code::request_service_unknown, {}});
        step.add(log_line{true,
                          "route_unknown",
                          {text_field("request", event.request), text_field("host", event.host),
                           text_field("path", event.path), number_field("configuration", state.configuration.version),
                           number_field("configuration_age_ms", configuration_age.count())}});
        return;
    }
    exchange.kind = route->kind;
    exchange.attempts_left = std::max(1, route->most_attempts);
    exchange.objective = route->latency_objective;
    exchange.timeout = route->timeout;
    auto longest_wait = std::chrono::duration_cast<std::chrono::microseconds>(route->timeout);
    if (event.deadline.count() > 0) {
        longest_wait = std::min(longest_wait, event.deadline - answer_margin);
    }
    exchange.expires_at = event.arrived + longest_wait;
    exchange.service = choose_target(step, *route);
    state.deadlines.insert({exchange.expires_at, id});
    if (exchange.expires_at <= step.now) {
        answer(step, id, result_code::request_deadline_passed, spread_retry_after(step));
        return;
    }
    if (is_quarantined(state, event.fingerprint)) {
        answer(step, id, result_code::request_quarantined, quarantine_time_left(step, event.fingerprint));
        return;
    }
    if (!waits_for_allowance(step, id)) {
        place_admitted(step, id);
    }
}

void place_admitted(step& step, exchange_id id) {
    const auto& exchange = step.state.exchanges.at(id);
    const auto& key = exchange.request.key;
    auto& service = service_of(step, exchange);
    service.retry_tokens = std::min(most_retry_tokens, service.retry_tokens + retry_share);
    if (!divided_by_key(step.state, exchange.service)) {
        place(step, id);
        return;
    }
    if (!key) {
        answer(step, id, result_code::request_key_missing, retry_after_for(step, exchange));
        return;
    }
    note_key(service, step.now, *key);
    service.keys_for_peers.push_back(*key);
    service.keys_for_keeper.push_back(*key);
    place(step, id);
}

void place(step& step, exchange_id id) {
    const auto& exchange = step.state.exchanges.at(id);
    if (exchange.phase == exchange_phase::asking) {
        return;
    }
    if (outlasts_shutdown(step, exchange)) {
        answer(step, id, result_code::request_shutting_down, spread_retry_after(step));
        return;
    }
    if (divided_by_key(step.state, exchange.service)) {
        place_at_owner(step, id, true);
        return;
    }
    if (stated_wait(step, exchange).count() > 0) {
        answer(step, id, result_code::request_no_backend_server, retry_after_for(step, exchange));
        return;
    }
    if (!uses_dispatchers(step.state) || !ask_for_slot(step, id)) {
        place_at_any_server(step, id);
    }
}

void place_without_dispatcher(step& step, exchange_id id) {
    if (divided_by_key(step.state, step.state.exchanges.at(id).service)) {
        place_at_owner(step, id, false);
        return;
    }
    place_at_any_server(step, id);
}

void place_unsent_elsewhere(step& step, const model::backend_server_id& server, bool with_keys) {
    std::vector<exchange_id> unsent;
    for (const auto& [id, exchange] : step.state.exchanges) {
        const bool is_unsent = exchange.server == server && is_unwritten(step, exchange);
        const bool asks = exchange.phase == exchange_phase::asking && exchange.wanted_server == server;
        if ((is_unsent || asks) && (with_keys || !divided_by_key(step.state, exchange.service))) {
            unsent.push_back(id);
        }
    }
    for (const auto id : unsent) {
        auto& exchange = step.state.exchanges.at(id);
        if (exchange.phase == exchange_phase::sent) {
            step.add(cancel_attempt{id, exchange.attempt});
            end_outstanding(step, step.state.servers.at(server), exchange);
            --exchange.attempts;
            ++exchange.attempts_left;
        }
        release_ask(step, exchange, std::nullopt);
        exchange.phase = exchange_phase::queued;
        place(step, id);
    }
}

bool owns_key(const step& step, const exchange& exchange, const server_record& server) {
    const auto service = step.state.services.find(exchange.service);
    if (service == step.state.services.end() || !exchange.request.key) {
        return false;
    }
    const auto* const range = find_range(service->second.assignment, *exchange.request.key);
    return range != nullptr && !range->moving() && range->owner == server.registration.id &&
           range->owner_born == server.registration.born && serves_own_keys(step.state, server, step.now);
}

void end_left_exchange(step& step, const caller_left& event) {
    const auto id = event.exchange;
    const auto found = step.state.exchanges.find(id);
    if (found == step.state.exchanges.end()) {
        return;
    }
    const auto& exchange = found->second;
    const auto waited =
        std::chrono::duration_cast<std::chrono::milliseconds>(step.now - exchange.request.arrived).count();
    step.add(
        log_line{false,
                 "caller_left",
                 {text_field("request", exchange.request.request), text_field("cause", event.cause),
                  text_field("phase", std::string(name_of(exchange.phase))),
                  text_field("server", exchange.server.value()), number_field("attempts", exchange.attempts),
                  number_field("waited_ms", waited), number_field("deadline_ms", exchange.request.deadline.count()),
                  number_field("configuration", exchange.configuration_version),
                  number_field("configuration_age_ms", exchange.configuration_age.count())}});
    if (exchange.phase == exchange_phase::sent) {
        cancel_current_attempt(step, id);
    }
    erase_exchange(step, id);
}

void mark_request_sent(step& step, const attempt_sent& event) {
    if (auto* const exchange = find_attempt(step, event.exchange, event.attempt)) {
        exchange->sending = true;
    }
}

void end_attempt(step& step, const attempt_ended& event) {
    auto* const current = find_attempt(step, event.exchange, event.attempt);
    if (current == nullptr) {
        return;
    }
    auto& exchange = *current;
    const auto elapsed = step.now - exchange.attempt_at;
    // A caller that reads its answer slowly says nothing of the server.
    const auto worked = exchange.forwarding ? exchange.forwarding_since - exchange.attempt_at : elapsed;
    const auto server = step.state.servers.find(exchange.server);
    if (server != step.state.servers.end()) {
        end_outstanding(step, server->second, exchange);
        note_end_after_pause(server->second, exchange, event.outcome);
        record_outcome(step, server->second, event, worked);
    }
    const auto worked_milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(worked);
    release_ask(step, exchange,
                attempt_summary{event.outcome, event.status, worked_milliseconds, event.load, exchange.signals,
                                exchange.server_born});
    if (event.outcome == attempt_outcome::delivered || event.outcome == attempt_outcome::failed) {
        note_good_end(step, exchange.request.fingerprint);
    }
    if (event.outcome == attempt_outcome::connection_lost || event.outcome == attempt_outcome::cut_short) {
        suspect_request(step, exchange, event.outcome);
    }
    if (event.outcome == attempt_outcome::not_connected) {
        note_unreachable_server(step, exchange.server);
    }
    if (event.outcome == attempt_outcome::delivered) {
        ++step.state.delivered;
        step.add(
            request_delivered{exchange.service, event.status, exchange.attempts, step.now - exchange.request.arrived});
        erase_exchange(step, event.exchange);
        return;
    }
    log_attempt(step, exchange, event, elapsed);
    const bool idempotent = exchange.kind == request_kind::idempotent;
    switch (event.outcome) {
    case attempt_outcome::delivered:
    case attempt_outcome::cut_short:
        erase_exchange(step, event.exchange);
        return;
    case attempt_outcome::not_connected:
        // Nothing reached a server, so the attempt is not counted against the limit.
        ++exchange.attempts_left;
        if (!retry(step, event.exchange, false)) {
            answer(step, event.exchange, result_code::request_backend_server_unreachable,
                   retry_after_for(step, exchange));
        }
        return;
    case attempt_outcome::not_run:
    case attempt_outcome::no_key:
    case attempt_outcome::wrong_server:
        if (event.outcome == attempt_outcome::wrong_server && server != step.state.servers.end()) {
            remove_server(step, exchange.server);
        }
        // The server did not run the request, so it can be sent to another one.
        ++exchange.attempts_left;
        if (exchange.attempts > 2 || !retry(step, event.exchange, true)) {
            answer(step, event.exchange, result_code::request_backend_server_refused, retry_after_for(step, exchange));
        }
        return;
    case attempt_outcome::failed:
        exchange.may_have_run = true;
        exchange.answer_stored = true;
        if (!idempotent || divided_by_key(step.state, exchange.service) || !retry(step, event.exchange, true)) {
            if (step.state.exchanges.contains(event.exchange)) {
                step.add(deliver_answer{event.exchange});
                erase_exchange(step, event.exchange);
            }
        }
        return;
    case attempt_outcome::connection_lost:
    case attempt_outcome::invalid_answer:
        exchange.may_have_run = true;
        if (!idempotent || is_suspected_again(step.state, exchange.request.fingerprint) ||
            !retry(step, event.exchange, true)) {
            answer(step, event.exchange, result_code::request_answer_cut_short, retry_after_for(step, exchange));
        }
        return;
    }
}

void end_overdue_exchange(step& step, exchange_id id) {
    auto& exchange = step.state.exchanges.at(id);
    if (exchange.phase == exchange_phase::sent) {
        cancel_current_attempt(step, id);
        const auto server = step.state.servers.find(exchange.server);
        if (server != step.state.servers.end() && !exchange.forwarding) {
            server->second.spare_window = std::max(smallest_spare_window, server->second.spare_window - 0.5);
        }
    }
    answer(step, id, result_code::request_deadline_passed, retry_after_for(step, exchange));
}

void end_overdue_exchanges(step& step) {
    while (!step.state.deadlines.empty() && step.state.deadlines.begin()->first <= step.now) {
        end_overdue_exchange(step, step.state.deadlines.begin()->second);
    }
}

void refuse_unsent_exchanges(step& step) {
    for (const auto& [expires_at, id] : std::set(step.state.deadlines)) {
        if (step.state.exchanges.at(id).phase != exchange_phase::sent) {
            answer(step, id, result_code::request_shutting_down, spread_retry_after(step));
        }
    }
}

void end_unanswered_exchanges(step& step) {
    // Started answers are not among the deadlines; state.answer_checks holds them.
    for (const auto& [expires_at, id] : std::set(step.state.deadlines)) {
        if (step.state.exchanges.at(id).phase == exchange_phase::sent) {
            cancel_current_attempt(step, id);
        }
        answer(step, id, result_code::request_shutting_down, spread_retry_after(step));
    }
}

void send_queued_requests(step& step) {
    auto& state = step.state;
    const bool has_unsent = std::any_of(state.exchanges.begin(), state.exchanges.end(), [](const auto& entry) {
        return entry.second.phase != exchange_phase::sent && entry.second.phase != exchange_phase::asking;
    });
    if (!has_unsent) {
        return;
    }
    std::vector<exchange_id> due;
    for (auto& [name, service] : state.services) {
        for (const auto id : service.waiting) {
            due.push_back(id);
        }
        for (const auto& item : service.queue) {
            due.push_back(std::get<2>(item));
        }
    }
    for (auto& [id, server] : state.servers) {
        if (server.queue.empty()) {
            continue;
        }
        std::size_t tried = 0;
        for (const auto& item : server.queue) {
            // Entries beyond the server's window cannot be sent now, so checking them would be wasted work.
            if (++tried > static_cast<std::size_t>(largest_spare_window) + 2 &&
                serves_own_keys(state, server, step.now) && !is_pausing(server, step.now)) {
                break;
            }
            due.push_back(std::get<2>(item));
        }
    }
    for (const auto id : due) {
        const auto found = state.exchanges.find(id);
        if (found == state.exchanges.end() || found->second.phase == exchange_phase::sent) {
            continue;
        }
        remove_from_queues(step, id, found->second);
        place(step, id);
    }
}

} // namespace lovagetack::routing
