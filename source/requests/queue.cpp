#include "requests/queue.hpp"

#include <algorithm>

#include "requests/attempts.hpp"
#include "requests/choice.hpp"
#include "requests/finish.hpp"
#include "requests/placement.hpp"

namespace lovagetack::requests {

namespace {

using base::result_code;
using std::chrono::microseconds;

/// Upper bound of the backend servers that are tried for one request while queues are full.
constexpr std::size_t maximum_full_queues_tried = 3;

microseconds wait_for_slots(const server_record& server, std::int32_t slots) {
    const auto ahead =
        static_cast<std::int64_t>(server.queue.size()) + server.outstanding + server.held_slots + 1 - slots;
    if (ahead <= 0) {
        return microseconds(0);
    }
    const std::int64_t rounds = (ahead + slots - 1) / slots;
    return server.slot_time.average() * rounds;
}

microseconds wait_for_rate(const server_record& server) {
    if (server.ramp.rate() == 0) {
        return microseconds(0);
    }
    const auto waiting = static_cast<std::int64_t>(server.queue.size());
    return microseconds(std::chrono::seconds(1)) * waiting / server.ramp.rate();
}

microseconds estimated_wait(const server_record& server, base::boot_time now) {
    return std::max(wait_for_slots(server, usable_slots(server, now)), wait_for_rate(server));
}

bool choose_elsewhere(context& ctx, exchange& exchange, const service_record& service, const server_record& server) {
    if (service.configuration.divided_by_key || exchange.relayed() ||
        exchange.tried.size() >= maximum_full_queues_tried) {
        return false;
    }
    exchange.tried.push_back(server.configuration.id);
    place(ctx, exchange);
    return true;
}

bool holds_lease(const state& state, const server_record& server, base::boot_time now) {
    const auto service = state.services.find(server.configuration.service);
    if (service != state.services.end() && service->second.configuration.checks_grants) {
        return true;
    }
    const auto lease = state.leases.find(server.configuration.id);
    return lease != state.leases.end() && lease->second > now;
}

bool can_start(const context& ctx, const server_record& server) {
    return server.outstanding + server.held_slots < usable_slots(server, ctx.now) && server.ramp.allows(ctx.now) &&
           holds_lease(ctx.state, server, ctx.now);
}

/// Checks that the target still owns the key of a queued request, and updates the fence, which may have changed.
bool is_still_target(const service_record& service, exchange& exchange) {
    if (!service.configuration.divided_by_key) {
        return true;
    }
    const auto* range = range_of(service, exchange);
    if (range == nullptr || range->owner != exchange.target) {
        return false;
    }
    exchange.fence = range->fence;
    return true;
}

void place_again(context& ctx, server_record& server) {
    const auto queued = server.queue;
    for (const auto& [arrived, id] : queued) {
        auto* exchange = ctx.find_exchange(id);
        leave_queue(ctx, *exchange);
        place(ctx, *exchange);
    }
}

void start_first(context& ctx, server_record& server) {
    auto* exchange = ctx.find_exchange(server.queue.begin()->second);
    const auto* service = ctx.service(exchange->request.service);
    leave_queue(ctx, *exchange);
    if (is_still_target(*service, *exchange)) {
        start_direct(ctx, *exchange, server);
    } else {
        place(ctx, *exchange);
    }
}

void run_queue(context& ctx, server_record& server) {
    const bool may_serve = server.takes_new_work() && server.home == ctx.state.self.instance;
    if (!may_serve) {
        place_again(ctx, server);
    }
    while (may_serve && !server.queue.empty() && can_start(ctx, server)) {
        start_first(ctx, server);
    }
    if (server.queue.empty()) {
        ctx.state.queued_servers.erase(server.configuration.id);
    } else {
        ctx.state.queued_servers.insert(server.configuration.id);
    }
}

} // namespace

void enqueue(context& ctx, exchange& exchange, server_record& server) {
    const auto& service = *ctx.service(exchange.request.service);
    const auto limit = static_cast<std::size_t>(std::max(0, service.configuration.queue_per_backend_server));
    const auto wait = estimated_wait(server, ctx.now);
    if (server.queue.size() >= limit || ctx.now + wait >= exchange.deadline) {
        if (choose_elsewhere(ctx, exchange, service, server)) {
            return;
        }
        const auto retry_after = std::max(wait, microseconds(std::chrono::milliseconds(100)));
        refuse(ctx, exchange, result_code::request_queue_full, "the backend server's queue is too long", retry_after);
        return;
    }
    exchange.phase = exchange_phase::queued;
    exchange.queued_at = ctx.now;
    server.queue.insert({exchange.arrived, exchange.id});
    schedule_queue(ctx, server);
}

void leave_queue(context& ctx, exchange& exchange) {
    if (exchange.phase != exchange_phase::queued) {
        return;
    }
    exchange.phase = exchange_phase::placing;
    exchange.queued_for += ctx.now - exchange.queued_at;
    if (auto* server = ctx.server(exchange.target)) {
        server->queue.erase({exchange.arrived, exchange.id});
    }
}

void run_scheduled_queues(context& ctx) {
    auto& scheduled_queues = ctx.state.scheduled_queues;
    while (!scheduled_queues.empty()) {
        const auto id = scheduled_queues.back();
        scheduled_queues.pop_back();
        if (auto* server = ctx.server(id)) {
            run_queue(ctx, *server);
        }
    }
}

void recheck_queues(context& ctx) {
    const auto ids = ctx.state.queued_servers;
    for (const auto& id : ids) {
        auto* server = ctx.server(id);
        const auto queued = server == nullptr ? std::set<std::pair<base::boot_time, exchange_id>>() : server->queue;
        for (const auto& [arrived, waiting] : queued) {
            auto* exchange = ctx.find_exchange(waiting);
            const auto* service = ctx.service(exchange->request.service);
            if (!is_still_target(*service, *exchange)) {
                leave_queue(ctx, *exchange);
                place(ctx, *exchange);
            }
        }
    }
}

void schedule_queue(context& ctx, const server_record& server) {
    ctx.state.scheduled_queues.push_back(server.configuration.id);
}

std::int32_t usable_slots(const server_record& server, base::boot_time now) {
    const auto configured = server.configuration.slots;
    const bool new_home = now - server.home_since < new_home_time;
    const auto as_home = new_home ? std::max(1, configured / 2) : configured;
    return std::min(as_home, server.ramp.slots(configured));
}

void hold_slot(context& ctx, server_record& server, model::attempt_id attempt) {
    server.held_slots += 1;
    ctx.state.held_slots[attempt] = {server.configuration.id, ctx.now + cancellation_time};
}

void release_held_slot(context& ctx, model::attempt_id attempt) {
    const auto found = ctx.state.held_slots.find(attempt);
    if (found == ctx.state.held_slots.end()) {
        return;
    }
    if (auto* server = ctx.server(found->second.backend_server)) {
        server->held_slots -= 1;
        schedule_queue(ctx, *server);
    }
    ctx.state.held_slots.erase(found);
}

void release_expired_slots(context& ctx) {
    std::vector<model::attempt_id> due;
    for (const auto& [attempt, slot] : ctx.state.held_slots) {
        if (slot.release_at <= ctx.now) {
            due.push_back(attempt);
        }
    }
    for (const auto attempt : due) {
        release_held_slot(ctx, attempt);
    }
}

} // namespace lovagetack::requests
