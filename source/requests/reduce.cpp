#include "requests/reduce.hpp"

#include "requests/attempts.hpp"
#include "requests/claims.hpp"
#include "requests/context.hpp"
#include "requests/finish.hpp"
#include "requests/placement.hpp"
#include "requests/queue.hpp"
#include "requests/reports.hpp"
#include "requests/silence.hpp"
#include "requests/topology.hpp"

namespace lovagetack::requests {

namespace {

void on_tick(context& ctx) {
    release_expired_slots(ctx);
    end_new_home_periods(ctx);
    update_medians(ctx);
    publish_report(ctx);
    // Whether queued requests may start depends on time, through the rate of a ramp and the end of a home lease.
    for (const auto& id : ctx.state.queued_servers) {
        ctx.state.scheduled_queues.push_back(id);
    }
}

struct dispatcher {
    context& ctx;

    void operator()(const model::tick& /*received*/) const { on_tick(ctx); }
    void operator()(const caller_request& received) const { admit(ctx, received); }
    void operator()(const attempt_sending& received) const { on_attempt_sending(ctx, received); }
    void operator()(const attempt_answering& received) const { on_attempt_answering(ctx, received); }
    void operator()(const attempt_ended& received) const { on_attempt_ended(ctx, received); }
    void operator()(const caller_left& received) const { on_caller_left(ctx, received); }
    void operator()(const connection_probed& received) const { on_connection_probed(ctx, received); }
    void operator()(const backend_server_observed& received) const { on_backend_server_observed(ctx, received); }
    /// The facts that matter here arrive as events of the modules that read them.
    void operator()(const model::fact_learned& /*received*/) const {}
    void operator()(const model::members_changed& received) const { on_members_changed(ctx, received); }
    void operator()(const model::deployment_changed& received) const { on_deployment_changed(ctx, received); }
    void operator()(const model::service_states_changed& received) const { on_service_states_changed(ctx, received); }
    void operator()(const model::routes_changed& received) const { on_routes_changed(ctx, received); }
    void operator()(const model::home_leases_changed& received) const { on_home_leases_changed(ctx, received); }
    void operator()(const model::store_reply& received) const { on_store_reply(ctx, received); }
    void operator()(const model::shutdown_started& /*received*/) const { ctx.state.shutting_down = true; }
};

void run_timer(context& ctx, exchange& exchange, timer_kind kind) {
    switch (kind) {
    case timer_kind::deadline:
        on_deadline(ctx, exchange);
        return;
    case timer_kind::retry:
        exchange.retry_at.reset();
        on_retry_due(ctx, exchange);
        return;
    case timer_kind::silence:
        exchange.silence_at.reset();
        on_silence(ctx, exchange);
        return;
    }
}

void run_due_timers(context& ctx) {
    auto& timers = ctx.state.timers;
    while (!timers.empty() && std::get<base::boot_time>(*timers.begin()) <= ctx.now) {
        const auto [at, id, kind] = *timers.begin();
        timers.erase(timers.begin());
        if (auto* exchange = ctx.find_exchange(id)) {
            run_timer(ctx, *exchange, kind);
        }
    }
}

} // namespace

effects reduce(state& state, base::boot_time now, std::uint64_t random, const event& received) {
    context ctx(state, now, random);
    std::visit(dispatcher{ctx}, received);
    // Timers run after the event, so that an answer counts that arrives when its timer is due too.
    run_due_timers(ctx);
    run_scheduled_queues(ctx);
    send_claim_batches(ctx);
    return std::move(ctx.effects);
}

} // namespace lovagetack::requests
