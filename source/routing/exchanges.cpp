#include "routing/exchanges.hpp"

#include <algorithm>

#include "routing/accounts/allowances.hpp"
#include "routing/asking.hpp"
#include "routing/log_fields.hpp"
#include "routing/signals.hpp"

namespace lovagetack::routing {

using base::result_code;

std::chrono::milliseconds spread_retry_after(step& step) {
    const auto spread = static_cast<std::uint64_t>(retry_after_spread.count());
    return shortest_retry_after + std::chrono::milliseconds(step.state.random() % spread);
}

std::chrono::milliseconds retry_after_for(step& step, const exchange& exchange) {
    return stated_wait(step, exchange) + spread_retry_after(step);
}

void end_outstanding(step& step, server_record& server, const exchange& exchange) {
    --server.outstanding;
    step.state.load_changed = true;
    if (server.stated.sent_after_pause > 0 && exchange.attempt_at >= server.stated.paused_until) {
        --server.stated.sent_after_pause;
    }
}

exchange* find_attempt(step& step, exchange_id id, model::attempt_id attempt) {
    const auto found = step.state.exchanges.find(id);
    return found != step.state.exchanges.end() && found->second.attempt == attempt ? &found->second : nullptr;
}

service_record& service_of(step& step, const exchange& exchange) {
    return step.state.services[exchange.service];
}

bool divided_by_key(const state& state, const model::service_id& service) {
    const auto found = state.configuration.services.find(service);
    return found != state.configuration.services.end() && found->second.divided_by_key;
}

void remove_from_queues(step& step, exchange_id id, const exchange& exchange) {
    const std::tuple key{exchange.priority, exchange.request.arrived, id};
    auto& service = service_of(step, exchange);
    service.queue.erase(key);
    service.waiting.erase(id);
    const auto server = step.state.servers.find(exchange.queued_at);
    if (server != step.state.servers.end()) {
        server->second.queue.erase(key);
    }
}

void erase_exchange(step& step, exchange_id id) {
    const auto found = step.state.exchanges.find(id);
    release_ask(step, found->second, std::nullopt);
    return_token(step, found->second);
    remove_from_queues(step, id, found->second);
    step.state.deadlines.erase({found->second.expires_at, id});
    step.state.answer_checks.erase({found->second.answer_check_at, id});
    step.state.exchanges.erase(found);
}

void answer(step& step, exchange_id id, result_code code, std::chrono::milliseconds retry_after) {
    const auto& exchange = step.state.exchanges.at(id);
    int status = 503;
    if (exchange.may_have_run) {
        status = code == result_code::request_deadline_passed ? 504 : 502;
    }
    if (exchange.answer_stored) {
        step.add(deliver_answer{id});
    } else {
        step.add(answer_caller{id, status, code, status == 503 ? retry_after : std::chrono::milliseconds(0)});
    }
    ++step.state.refused[code];
    const auto waited =
        std::chrono::duration_cast<std::chrono::milliseconds>(step.now - exchange.request.arrived).count();
    step.add(log_line{true,
                      "request_ended",
                      {text_field("request", exchange.request.request), text_field("service", exchange.service.value()),
                       number_field("status", status), text_field("code", std::string(base::name_of(code))),
                       text_field("server", exchange.server.value()), number_field("attempts", exchange.attempts),
                       number_field("may_have_run", exchange.may_have_run ? 1 : 0), number_field("waited_ms", waited),
                       number_field("configuration", exchange.configuration_version),
                       number_field("configuration_age_ms", exchange.configuration_age.count()),
                       number_field("key", exchange.request.key ? static_cast<int>(*exchange.request.key) : -1)}});
    erase_exchange(step, id);
}

void send(step& step, exchange_id id, server_record& server) {
    auto& exchange = step.state.exchanges.at(id);
    remove_from_queues(step, id, exchange);
    exchange.queued_at = {};
    exchange.phase = exchange_phase::sent;
    exchange.server = server.registration.id;
    exchange.server_born = server.registration.born;
    exchange.attempt = model::attempt_id(++step.state.last_attempt);
    exchange.attempt_at = step.now;
    exchange.attempt_step = step.state.steps;
    exchange.signals = {};
    exchange.sending = false;
    exchange.answer_stored = false;
    ++exchange.attempts;
    --exchange.attempts_left;
    exchange.tried_servers.push_back(exchange.server);
    ++server.outstanding;
    if (server.stated.most_after_pause > 0) {
        ++server.stated.sent_after_pause;
    }
    step.state.load_changed = true;
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(exchange.expires_at - step.now);
    step.add(send_request{id, exchange.attempt, exchange.server, server.registration.address,
                          std::max(left, std::chrono::milliseconds(1)), exchange.kind == request_kind::non_idempotent,
                          exchange.account});
}

std::chrono::microseconds latest_answer_time(const exchange& exchange) {
    const auto objective = std::chrono::duration_cast<std::chrono::microseconds>(exchange.objective);
    return std::chrono::microseconds(
        static_cast<std::int64_t>(static_cast<double>(objective.count()) * latest_answer_share));
}

} // namespace lovagetack::routing
