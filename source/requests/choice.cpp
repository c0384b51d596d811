#include "requests/choice.hpp"

#include <algorithm>
#include <array>

namespace lovagetack::requests {

namespace {

using base::result_code;

choice send_to(server_record& server, const model::fence& fence) {
    return {choice_kind::send, &server, fence, result_code::ok};
}

choice wait_because(result_code code) {
    return {choice_kind::wait, nullptr, {}, code};
}

choice refuse_because(result_code code) {
    return {choice_kind::refuse, nullptr, {}, code};
}

choice choose_owner(context& ctx, service_record& service, const exchange& exchange) {
    const auto* range = range_of(service, exchange);
    auto* owner = range == nullptr ? nullptr : ctx.server(range->owner);
    if (owner == nullptr) {
        return wait_because(result_code::ownership_no_owner);
    }
    if (owner->ordered_out) {
        return refuse_because(result_code::request_out_of_service);
    }
    // The ranges of a draining server move to other owners shortly, so its requests wait instead.
    if (owner->draining) {
        return wait_because(result_code::request_out_of_service);
    }
    if (owner->home.empty()) {
        return wait_because(result_code::request_no_backend_server);
    }
    return send_to(*owner, range->fence);
}

choice refuse_unless_home(context& ctx, const choice& chosen) {
    if (chosen.kind == choice_kind::send && chosen.server->home != ctx.state.self.instance) {
        return refuse_because(result_code::request_not_home);
    }
    return chosen;
}

choice choose_relayed_owner(context& ctx, service_record& service, const exchange& exchange) {
    return refuse_unless_home(ctx, choose_owner(ctx, service, exchange));
}

choice choose_relayed_target(context& ctx, service_record& service, const exchange& exchange) {
    auto* target = ctx.server(exchange.request.relay_target);
    if (target == nullptr || target->configuration.service != service.configuration.id) {
        return refuse_because(result_code::request_not_home);
    }
    if (!target->takes_new_work()) {
        return refuse_because(result_code::request_out_of_service);
    }
    return refuse_unless_home(ctx, send_to(*target, {}));
}

bool is_tried(const exchange& exchange, const server_record& server) {
    return std::find(exchange.tried.begin(), exchange.tried.end(), server.configuration.id) != exchange.tried.end();
}

/// Latency to expect for a new request: the number of requests ahead of it and itself, times the average latency.
std::int64_t expected_latency(const state& state, const server_record& server, base::boot_time now) {
    std::int64_t requests = 1 + server.outstanding + static_cast<std::int64_t>(server.queue.size()) + server.relayed;
    const bool report_is_recent =
        server.home != state.self.instance && now - server.reported_at <= maximum_reported_queue_age;
    if (report_is_recent) {
        requests = std::max<std::int64_t>(requests, 1 + server.reported_queue);
    }
    return requests * std::max<std::int64_t>(1, server.latency.average().count());
}

/// Draws random candidates, except those that failed this request or are avoided at present, and returns the first that
/// is no straggler. With stragglers_too, a drawn straggler is accepted with a probability of 1 in straggler_divisor. If
/// no draw is accepted, returns the last straggler drawn, or null.
server_record* draw_candidate(context& ctx, service_record& service, const exchange& exchange, bool stragglers_too) {
    constexpr int draws = 8;
    const auto count = service.candidates.size();
    server_record* last = nullptr;
    for (int drawn = 0; drawn < draws; ++drawn) {
        auto* server = ctx.server(service.candidates[ctx.next_random() % count]);
        if (is_tried(exchange, *server) || server->avoid_until > ctx.now) {
            continue;
        }
        last = server;
        if (!is_straggler(*server, service, ctx.now)) {
            return server;
        }
        if (stragglers_too && ctx.next_random() % straggler_divisor == 0) {
            return server;
        }
    }
    return last;
}

/// Returns a candidate when the draws found none, preferably one that has not failed this request.
server_record* any_candidate(context& ctx, service_record& service, const exchange& exchange) {
    const auto count = service.candidates.size();
    const auto offset = ctx.next_random() % count;
    for (std::size_t step = 0; step < count; ++step) {
        auto* server = ctx.server(service.candidates[(offset + step) % count]);
        if (!is_tried(exchange, *server)) {
            return server;
        }
    }
    return ctx.server(service.candidates[offset]);
}

choice reason_without_candidates(context& ctx, const service_record& service) {
    if (service.servers.empty()) {
        return refuse_because(result_code::request_no_backend_server);
    }
    const bool any_in_service = std::any_of(service.servers.begin(), service.servers.end(), [&](const auto& id) {
        const auto* server = ctx.server(id);
        return server != nullptr && server->takes_new_work();
    });
    return any_in_service ? wait_because(result_code::request_no_backend_server)
                          : refuse_because(result_code::request_out_of_service);
}

choice choose_of_two(context& ctx, service_record& service, const exchange& exchange) {
    if (service.candidates.empty()) {
        return reason_without_candidates(ctx, service);
    }
    auto* first = draw_candidate(ctx, service, exchange, true);
    if (first == nullptr) {
        return send_to(*any_candidate(ctx, service, exchange), {});
    }
    // A straggler that was drawn is used without a comparison: by latency it would always lose and never be measured
    // again.
    if (is_straggler(*first, service, ctx.now)) {
        return send_to(*first, {});
    }
    auto* second = draw_candidate(ctx, service, exchange, false);
    if (second == nullptr || is_straggler(*second, service, ctx.now)) {
        return send_to(*first, {});
    }
    const bool second_is_better =
        expected_latency(ctx.state, *second, ctx.now) < expected_latency(ctx.state, *first, ctx.now);
    return send_to(second_is_better ? *second : *first, {});
}

using strategy = choice (*)(context&, service_record&, const exchange&);

/// Indexed by [divided by key][relayed].
constexpr std::array<std::array<strategy, 2>, 2> strategies = {{
    {choose_of_two, choose_relayed_target},
    {choose_owner, choose_relayed_owner},
}};

} // namespace

choice choose_target(context& ctx, service_record& service, const exchange& exchange) {
    const std::size_t divided = service.configuration.divided_by_key ? 1 : 0;
    const std::size_t relayed = exchange.relayed() ? 1 : 0;
    return strategies.at(divided).at(relayed)(ctx, service, exchange);
}

const model::active_range* range_of(const service_record& service, const exchange& exchange) {
    return model::find_range(service.routes, exchange.hash);
}

bool is_straggler(const server_record& server, const service_record& service, base::boot_time now) {
    const auto limit = service.median_of_servers * straggler_factor;
    if (limit.count() == 0) {
        return false;
    }
    if (server.latency.full() && server.latency.median() > limit) {
        return true;
    }
    if (server.unanswered.empty()) {
        return false;
    }
    return now - server.unanswered.begin()->first > std::max(limit, straggler_unanswered_age);
}

} // namespace lovagetack::requests
