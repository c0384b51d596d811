#include "requests/silence.hpp"

#include <algorithm>
#include <vector>

#include "requests/attempts.hpp"
#include "requests/choice.hpp"
#include "requests/finish.hpp"
#include "requests/placement.hpp"

namespace lovagetack::requests {

namespace {

bool can_send_again(const exchange& exchange) {
    return exchange.request.idempotent && exchange.request.body_bytes <= maximum_resend_body_bytes;
}

/// Cancels the silent attempt and sends the request on a new connection, if the retry budget allows it.
void send_again(context& ctx, exchange& exchange, service_record& service) {
    if (!service.retries.take()) {
        return;
    }
    stop_attempt(ctx, exchange);
    exchange.fresh_connection = true;
    place(ctx, exchange);
}

void replace_connection(context& ctx, exchange& exchange) {
    auto* service = ctx.service(exchange.request.service);
    if (service == nullptr || !exchange.sending || exchange.answering) {
        return;
    }
    // A request that cannot be sent again continues until its deadline: a slow request looks like a silent connection,
    // and an early outcome "unknown" would deny its caller the answer.
    if (can_send_again(exchange)) {
        send_again(ctx, exchange, *service);
    }
}

/// Requests sent directly to the backend server that have been without an answer for at least the limit.
std::vector<exchange_id> silent_requests(context& ctx, const server_record& server, std::chrono::microseconds limit) {
    std::vector<exchange_id> silent;
    for (const auto& [started, id] : server.unanswered) {
        const auto* exchange = ctx.find_exchange(id);
        if (exchange != nullptr && exchange->relay_to.empty() && started + limit <= ctx.now) {
            silent.push_back(id);
        }
    }
    return silent;
}

void move_if_owner_changed(context& ctx, service_record& service, exchange_id id) {
    auto* exchange = ctx.find_exchange(id);
    if (exchange == nullptr || !can_send_again(*exchange) || exchange->answering) {
        return;
    }
    const auto* range = range_of(service, *exchange);
    if (range != nullptr && range->owner != exchange->target) {
        send_again(ctx, *exchange, service);
    }
}

} // namespace

std::chrono::microseconds silence_limit(const service_record& service, bool relay) {
    if (!relay) {
        return std::max(minimum_silence_limit, service.latency.percentile_99() * silence_factor);
    }
    // The limit for a relay is twice as long, so that the home instance probes the backend server first.
    const auto latency = std::max(service.latency.percentile_99(), service.relay_latency.percentile_99());
    return 2 * std::max(minimum_silence_limit, latency * silence_factor);
}

void on_silence(context& ctx, exchange& exchange) {
    auto* service = ctx.service(exchange.request.service);
    auto* server = ctx.server(exchange.target);
    if (service == nullptr || server == nullptr || exchange.phase != exchange_phase::in_flight) {
        return;
    }
    const bool relay = !exchange.relay_to.empty();
    set_timer(ctx, exchange.id, timer_kind::silence, exchange.silence_at, ctx.now + silence_limit(*service, relay));
    if (relay) {
        if (exchange.sending && can_send_again(exchange)) {
            send_again(ctx, exchange, *service);
        }
        return;
    }
    if (exchange.sending && server->probing_until <= ctx.now) {
        server->probing_until = ctx.now + probe_time;
        ctx.emit(probe_connection{server->configuration.id, server->configuration.address});
    }
}

void on_connection_probed(context& ctx, const connection_probed& received) {
    auto* server = ctx.server(received.backend_server);
    if (server == nullptr) {
        return;
    }
    server->probing_until = ctx.now;
    const auto* service = ctx.service(server->configuration.service);
    if (!received.reachable || service == nullptr) {
        return;
    }
    const auto silent = silent_requests(ctx, *server, silence_limit(*service, false));
    if (!silent.empty()) {
        ctx.emit(model::timeline_entry{
            "silent_connections_replaced",
            {{"backend_server", server->configuration.id.value()}, {"requests", std::to_string(silent.size())}}});
    }
    for (const auto id : silent) {
        if (auto* exchange = ctx.find_exchange(id)) {
            replace_connection(ctx, *exchange);
        }
    }
}

void move_silent_requests(context& ctx, service_record& service) {
    const auto limit = silence_limit(service, false);
    for (const auto& id : service.servers) {
        const auto* server = ctx.server(id);
        if (server == nullptr || server->unanswered.empty()) {
            continue;
        }
        for (const auto silent : silent_requests(ctx, *server, limit)) {
            move_if_owner_changed(ctx, service, silent);
        }
    }
}

} // namespace lovagetack::requests
