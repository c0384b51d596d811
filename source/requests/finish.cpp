#include "requests/finish.hpp"

#include "requests/attempts.hpp"
#include "requests/claims.hpp"
#include "requests/placement.hpp"
#include "requests/queue.hpp"

namespace lovagetack::requests {

namespace {

void remove_exchange(context& ctx, exchange& exchange, std::int32_t status, base::result_code code) {
    leave_queue(ctx, exchange);
    leave_waiting(ctx, exchange);
    set_timer(ctx, exchange.id, timer_kind::silence, exchange.silence_at, std::nullopt);
    ctx.state.timers.erase({exchange.deadline, exchange.id, timer_kind::deadline});
    request_finished finished;
    finished.exchange = exchange.id;
    finished.request = exchange.request.request;
    finished.service = exchange.request.service;
    finished.key = exchange.request.key;
    finished.backend_server = exchange.target;
    finished.status = status;
    finished.code = static_cast<std::int32_t>(code);
    finished.attempts = exchange.attempts;
    finished.relayed = exchange.relayed();
    finished.queued_for = exchange.queued_for;
    finished.total = ctx.now - exchange.arrived;
    ctx.emit(std::move(finished));
    ctx.state.exchanges.erase(exchange.id);
}

} // namespace

void answer(context& ctx, exchange& exchange, const refusal& refusal) {
    const bool not_run = refusal.outcome == outcome::not_run && !exchange.may_have_run;
    answer_caller reply;
    reply.exchange = exchange.id;
    reply.status = refusal.status;
    reply.code = static_cast<std::int32_t>(refusal.code);
    reply.outcome = refusal.outcome == outcome::not_run && !not_run ? outcome::unknown : refusal.outcome;
    reply.retry_after = refusal.retry_after;
    reply.message = refusal.message;
    ctx.emit(std::move(reply));
    release_claim(ctx, exchange, not_run);
    remove_exchange(ctx, exchange, refusal.status, refusal.code);
}

void refuse(context& ctx, exchange& exchange, base::result_code code, std::string_view message,
            std::chrono::microseconds retry_after) {
    answer(ctx, exchange, {503, code, outcome::not_run, retry_after, message});
}

void answer_repeated(context& ctx, exchange& exchange, std::int32_t status, std::string body) {
    answer_caller reply;
    reply.exchange = exchange.id;
    reply.status = status;
    reply.code = static_cast<std::int32_t>(base::result_code::request_repeated);
    reply.outcome = outcome::repeated;
    reply.message = "answered from the stored outcome of an earlier request";
    reply.stored_body = std::move(body);
    ctx.emit(std::move(reply));
    release_claim(ctx, exchange, false);
    remove_exchange(ctx, exchange, status, base::result_code::request_repeated);
}

void complete(context& ctx, exchange& exchange, const attempt_ended& ended) {
    store_outcome(ctx, exchange, ended);
    remove_exchange(ctx, exchange, ended.status, base::result_code::ok);
}

void on_caller_left(context& ctx, const caller_left& received) {
    auto* exchange = ctx.find_exchange(received.exchange);
    if (exchange == nullptr) {
        return;
    }
    const bool not_run = !exchange->may_have_run && !exchange->sending;
    if (exchange->phase == exchange_phase::in_flight) {
        stop_attempt(ctx, *exchange);
    }
    release_claim(ctx, *exchange, not_run);
    remove_exchange(ctx, *exchange, 0, base::result_code::request_caller_left);
}

void set_timer(context& ctx, exchange_id id, timer_kind kind, std::optional<base::boot_time>& at,
               std::optional<base::boot_time> new_at) {
    if (at) {
        ctx.state.timers.erase({*at, id, kind});
    }
    at = new_at;
    if (at) {
        ctx.state.timers.insert({*at, id, kind});
    }
}

} // namespace lovagetack::requests
