#include "requests/placement.hpp"

#include <algorithm>

#include "base/key_hash.hpp"
#include "requests/attempts.hpp"
#include "requests/choice.hpp"
#include "requests/claims.hpp"
#include "requests/finish.hpp"
#include "requests/queue.hpp"

namespace lovagetack::requests {

namespace {

using base::result_code;

std::chrono::microseconds deadline_of(const caller_request& request, const model::service& service) {
    if (request.deadline.count() <= 0) {
        return service.default_deadline;
    }
    return std::min<std::chrono::microseconds>(request.deadline, service.maximum_deadline);
}

void wait(context& ctx, exchange& exchange, service_record& service, result_code code) {
    const auto limit = static_cast<std::size_t>(std::max(0, service.configuration.queue_per_backend_server)) *
                       std::max<std::size_t>(1, service.servers.size());
    if (service.waiting.size() >= limit) {
        refuse(ctx, exchange, code, "too many requests wait for a backend server");
        return;
    }
    exchange.phase = exchange_phase::waiting;
    exchange.wait_reason = code;
    exchange.queued_at = ctx.now;
    service.waiting.insert({exchange.arrived, exchange.id});
}

void send(context& ctx, exchange& exchange, const choice& chosen) {
    auto& server = *chosen.server;
    exchange.target = server.configuration.id;
    exchange.fence = chosen.fence;
    const bool at_home = server.home == ctx.state.self.instance;
    exchange.relay_to = at_home ? model::instance_id() : server.home;
    if (!at_home && exchange.claim == claim_state::claimed) {
        // The claim names this instance, so the new home instance would take it for the claim of another request.
        refuse(ctx, exchange, result_code::request_not_home, "the home instance changed after the claim");
        return;
    }
    if (!at_home) {
        start_relay(ctx, exchange, server);
        return;
    }
    if (exchange.needs_claim() && exchange.claim != claim_state::claimed) {
        start_claim(ctx, exchange);
        return;
    }
    enqueue(ctx, exchange, server);
}

/// True if a waiting request should be placed now. During a pause before a retry, only if its target differs from that
/// of the last attempt or it has to be refused.
bool needs_new_placement(const context& ctx, const exchange& exchange, const choice& chosen) {
    if (chosen.kind == choice_kind::wait) {
        return false;
    }
    if (!exchange.retry_at || chosen.kind == choice_kind::refuse) {
        return true;
    }
    const auto& home = chosen.server->home;
    const auto relay_to = home == ctx.state.self.instance ? model::instance_id() : home;
    return chosen.server->configuration.id != exchange.target || chosen.fence != exchange.fence ||
           relay_to != exchange.relay_to;
}

} // namespace

void admit(context& ctx, const caller_request& request) {
    if (ctx.state.exchanges.contains(request.exchange)) {
        return;
    }
    auto& exchange = ctx.state.exchanges[request.exchange];
    exchange.id = request.exchange;
    exchange.request = request;
    exchange.arrived = ctx.now;
    exchange.deadline = ctx.now;
    auto* service = ctx.service(request.service);
    const bool knows_services = std::any_of(ctx.state.services.begin(), ctx.state.services.end(),
                                            [](const auto& entry) { return entry.second.configured; });
    if (!knows_services) {
        answer(ctx, exchange,
               {503, result_code::instance_not_ready, outcome::not_run, default_retry_after,
                "no configuration is known yet"});
        return;
    }
    if (service == nullptr || !service->configured) {
        answer(ctx, exchange,
               {404, result_code::request_service_unknown, outcome::not_run, {}, "the service is not known"});
        return;
    }
    exchange.deadline = ctx.now + deadline_of(request, service->configuration);
    if (ctx.state.shutting_down) {
        refuse(ctx, exchange, result_code::request_shutting_down, "the instance shuts down");
        return;
    }
    if (service->configuration.divided_by_key && request.key.empty()) {
        answer(ctx, exchange, {400, result_code::request_key_missing, outcome::not_run, {}, "the key is missing"});
        return;
    }
    exchange.hash = base::key_hash(request.key);
    service->retries.count_request();
    ctx.state.timers.insert({exchange.deadline, exchange.id, timer_kind::deadline});
    place(ctx, exchange);
}

void place(context& ctx, exchange& exchange) {
    auto* service = ctx.service(exchange.request.service);
    if (service == nullptr || !service->configured) {
        refuse(ctx, exchange, result_code::request_service_unknown, "the service is not known any more");
        return;
    }
    const auto chosen = choose_target(ctx, *service, exchange);
    switch (chosen.kind) {
    case choice_kind::send:
        send(ctx, exchange, chosen);
        return;
    case choice_kind::wait:
        wait(ctx, exchange, *service, chosen.code);
        return;
    case choice_kind::refuse:
        refuse(ctx, exchange, chosen.code, "no backend server can take the request");
        return;
    }
}

void pause_before_retry(context& ctx, exchange& exchange, base::result_code code) {
    const auto id = exchange.id;
    wait(ctx, exchange, *ctx.service(exchange.request.service), code);
    // wait() may have refused the request.
    auto* waiting = ctx.find_exchange(id);
    if (waiting != nullptr) {
        set_timer(ctx, waiting->id, timer_kind::retry, waiting->retry_at, ctx.now + retry_pause);
    }
}

void leave_waiting(context& ctx, exchange& exchange) {
    if (exchange.phase != exchange_phase::waiting) {
        return;
    }
    exchange.phase = exchange_phase::placing;
    exchange.queued_for += ctx.now - exchange.queued_at;
    set_timer(ctx, exchange.id, timer_kind::retry, exchange.retry_at, std::nullopt);
    if (auto* service = ctx.service(exchange.request.service)) {
        service->waiting.erase({exchange.arrived, exchange.id});
    }
}

void recheck_waiting(context& ctx, service_record& service) {
    const auto waiting = service.waiting;
    for (const auto& [arrived, id] : waiting) {
        auto* exchange = ctx.find_exchange(id);
        if (exchange == nullptr || exchange->phase != exchange_phase::waiting) {
            continue;
        }
        const bool go =
            !service.configured || needs_new_placement(ctx, *exchange, choose_target(ctx, service, *exchange));
        if (go) {
            leave_waiting(ctx, *exchange);
            place(ctx, *exchange);
        }
    }
}

void on_retry_due(context& ctx, exchange& exchange) {
    auto& service = *ctx.service(exchange.request.service);
    const bool would_send = choose_target(ctx, service, exchange).kind == choice_kind::send;
    if (would_send && !service.retries.take()) {
        set_timer(ctx, exchange.id, timer_kind::retry, exchange.retry_at, ctx.now + retry_pause);
        return;
    }
    leave_waiting(ctx, exchange);
    place(ctx, exchange);
}

} // namespace lovagetack::requests
