#include "requests/attempts.hpp"

#include <bit>

#include "requests/choice.hpp"
#include "requests/finish.hpp"
#include "requests/outcome_table.hpp"
#include "requests/placement.hpp"
#include "requests/queue.hpp"
#include "requests/reports.hpp"
#include "requests/silence.hpp"

namespace lovagetack::requests {

namespace {

using base::result_code;
using std::chrono::microseconds;

constexpr std::uint32_t answers_mask = (1U << straggler_window) - 1U;

start_attempt begin_attempt(context& ctx, exchange& exchange, server_record& server) {
    ctx.state.last_attempt += 1;
    exchange.phase = exchange_phase::in_flight;
    exchange.attempt = model::attempt_id(ctx.state.last_attempt);
    exchange.attempt_started = ctx.now;
    exchange.attempts += 1;
    exchange.sending = false;
    exchange.latency = microseconds(0);
    server.unanswered.insert({ctx.now, exchange.id});
    const auto& service = *ctx.service(exchange.request.service);
    const bool relay = !exchange.relay_to.empty();
    set_timer(ctx, exchange.id, timer_kind::silence, exchange.silence_at, ctx.now + silence_limit(service, relay));

    start_attempt started;
    started.exchange = exchange.id;
    started.attempt = exchange.attempt;
    started.backend_server = exchange.target;
    started.relay_to = exchange.relay_to;
    started.fence = exchange.fence;
    started.deadline = exchange.deadline - ctx.now;
    started.fresh_connection = exchange.fresh_connection;
    return started;
}

void remove_from_server(server_record& server, exchange& exchange) {
    server.unanswered.erase({exchange.attempt_started, exchange.id});
    auto& count = exchange.relay_to.empty() ? server.outstanding : server.relayed;
    count -= 1;
}

/// Updates timers, counters and the queue of the backend server at the end of any attempt.
void close_attempt(context& ctx, exchange& exchange) {
    set_timer(ctx, exchange.id, timer_kind::silence, exchange.silence_at, std::nullopt);
    exchange.phase = exchange_phase::placing;
    if (auto* server = ctx.server(exchange.target)) {
        remove_from_server(*server, exchange);
        schedule_queue(ctx, *server);
    }
}

void count_latency(context& ctx, exchange& exchange) {
    exchange.latency = ctx.now - exchange.attempt_started;
    const bool relay = !exchange.relay_to.empty();
    if (auto* service = ctx.service(exchange.request.service)) {
        (relay ? service->relay_latency : service->latency).add(exchange.latency);
    }
    if (auto* server = ctx.server(exchange.target)) {
        server->latency.add(exchange.latency);
        server->unanswered.erase({exchange.attempt_started, exchange.id});
    }
}

bool is_error(const attempt_ended& received) {
    if (received.outcome == attempt_outcome::completed) {
        return received.status >= 500;
    }
    return received.outcome != attempt_outcome::refused || received.status == 503;
}

bool looks_cold(const server_record& server, const service_record& service) {
    const auto errors = std::popcount(server.errors);
    const auto limit = service.median_of_servers * straggler_factor;
    const bool slow = limit.count() > 0 && server.latency.full() && server.latency.median() > limit;
    return errors >= cold_errors || (slow && errors >= cold_errors_when_slow);
}

void restart_ramp(context& ctx, server_record& server, const char* reason) {
    if (!server.ramp.limited()) {
        ctx.emit(model::timeline_entry{"backend_server_ramped",
                                       {{"backend_server", server.configuration.id.value()}, {"reason", reason}}});
    }
    server.ramp.reset(ctx.now);
    server.cold_seen = true;
    server.errors = 0;
}

void count_answer(context& ctx, const exchange& exchange, const attempt_ended& received) {
    auto* server = ctx.server(exchange.target);
    const auto* service = ctx.service(exchange.request.service);
    if (server == nullptr || service == nullptr) {
        return;
    }
    const bool error = is_error(received);
    server->errors = ((server->errors << 1U) | (error ? 1U : 0U)) & answers_mask;
    server->slot_time.add(ctx.now - exchange.attempt_started);
    if (received.status == 503) {
        restart_ramp(ctx, *server, "status 503");
        return;
    }
    // A failed connection is the first sign of a restart; the new boot id is observed later.
    if (received.outcome == attempt_outcome::connect_failed) {
        restart_ramp(ctx, *server, "connection failed");
        return;
    }
    if (error && looks_cold(*server, *service)) {
        restart_ramp(ctx, *server, "errors");
        return;
    }
    if (received.outcome != attempt_outcome::completed || error) {
        server->ramp.count_error();
        return;
    }
    const auto limit = std::max(2 * service->median_of_servers, ramp_latency_floor);
    server->ramp.count_answer(exchange.latency < limit, server->configuration.slots);
}

void record_relay_answer(context& ctx, const exchange& exchange, const attempt_ended& received) {
    auto* server = ctx.server(exchange.target);
    if (server == nullptr) {
        return;
    }
    if (received.queue_at_home >= 0) {
        server->reported_queue = received.queue_at_home;
        server->reported_at = ctx.now;
    }
    const auto code = static_cast<result_code>(received.code);
    if (received.outcome == attempt_outcome::refused && code == result_code::request_out_of_service) {
        server->avoid_until = ctx.now + refusal_avoid_time;
    }
}

/// A home instance leaves retries to the relaying instance, except when a reused connection was lost.
bool may_retry(const exchange& exchange, const attempt_ended& received, const classification& classification) {
    if (exchange.answering || !received.can_resend) {
        return false;
    }
    const bool stale = received.outcome == attempt_outcome::connection_lost && received.reused_connection;
    if (exchange.relayed() && !stale) {
        return false;
    }
    return classification.surely_not_run || (classification.retry_if_idempotent && exchange.request.idempotent);
}

void answer_failure(context& ctx, exchange& exchange, const attempt_ended& received,
                    const classification& classification) {
    // A relaying instance needs the status 421 to wait for another owner; callers get 503.
    const bool misdirected = classification.surely_not_run && classification.status == 421 && !exchange.relayed();
    answer(ctx, exchange,
           {misdirected ? 503 : classification.status, classification.code, classification.caller_outcome,
            received.retry_after, "the attempt at the backend server failed"});
}

void handle_failure(context& ctx, exchange& exchange, const attempt_ended& received,
                    const classification& classification) {
    auto& service = *ctx.service(exchange.request.service);
    if (!may_retry(exchange, received, classification)) {
        answer_failure(ctx, exchange, received, classification);
        return;
    }
    exchange.fresh_connection = received.outcome == attempt_outcome::connection_lost;
    switch (follow_up_of(classification, received, service.configuration.divided_by_key)) {
    case follow_up::answer:
        answer_failure(ctx, exchange, received, classification);
        return;
    case follow_up::retry_later:
        pause_before_retry(ctx, exchange, classification.code);
        return;
    case follow_up::retry_now:
        if (!service.retries.take()) {
            answer_failure(ctx, exchange, received, classification);
            return;
        }
        exchange.tried.push_back(exchange.target);
        place(ctx, exchange);
        return;
    }
}

exchange* current_exchange(context& ctx, exchange_id id, model::attempt_id attempt) {
    auto* exchange = ctx.find_exchange(id);
    const bool current =
        exchange != nullptr && exchange->phase == exchange_phase::in_flight && exchange->attempt == attempt;
    return current ? exchange : nullptr;
}

} // namespace

void start_direct(context& ctx, exchange& exchange, server_record& server) {
    exchange.relay_to = {};
    server.outstanding += 1;
    server.ramp.count_sent(ctx.now);
    count_request(ctx, exchange, server);
    auto started = begin_attempt(ctx, exchange, server);
    started.address = server.configuration.address;
    ctx.emit(std::move(started));
}

void start_relay(context& ctx, exchange& exchange, server_record& server) {
    server.relayed += 1;
    auto started = begin_attempt(ctx, exchange, server);
    started.address = ctx.state.members[exchange.relay_to].caller_address;
    if (started.deadline >= minimum_relay_margin_deadline) {
        started.deadline -= relay_margin;
    }
    ctx.emit(std::move(started));
}

void stop_attempt(context& ctx, exchange& exchange) {
    ctx.emit(cancel_attempt{exchange.id, exchange.attempt, exchange.sending});
    auto* server = ctx.server(exchange.target);
    const bool executing = exchange.sending && exchange.relay_to.empty();
    if (executing && server != nullptr) {
        hold_slot(ctx, *server, exchange.attempt);
    }
    exchange.may_have_run = exchange.may_have_run || exchange.sending;
    close_attempt(ctx, exchange);
}

void on_attempt_sending(context& ctx, const attempt_sending& received) {
    if (auto* exchange = current_exchange(ctx, received.exchange, received.attempt)) {
        exchange->sending = true;
    }
}

void on_attempt_answering(context& ctx, const attempt_answering& received) {
    auto* exchange = current_exchange(ctx, received.exchange, received.attempt);
    if (exchange == nullptr || exchange->answering) {
        return;
    }
    exchange->sending = true;
    exchange->answering = true;
    set_timer(ctx, exchange->id, timer_kind::silence, exchange->silence_at, std::nullopt);
    count_latency(ctx, *exchange);
}

void on_attempt_ended(context& ctx, const attempt_ended& received) {
    release_held_slot(ctx, received.attempt);
    auto* exchange = current_exchange(ctx, received.exchange, received.attempt);
    if (exchange == nullptr) {
        return;
    }
    const bool relay = !exchange->relay_to.empty();
    const bool completed = received.outcome == attempt_outcome::completed;
    if (completed && !exchange->answering) {
        count_latency(ctx, *exchange);
    }
    close_attempt(ctx, *exchange);
    if (relay) {
        record_relay_answer(ctx, *exchange, received);
    } else {
        count_answer(ctx, *exchange, received);
    }
    if (completed) {
        complete(ctx, *exchange, received);
        return;
    }
    const auto classification = classify(received, relay);
    exchange->may_have_run = exchange->may_have_run || !classification.surely_not_run;
    handle_failure(ctx, *exchange, received, classification);
}

void on_deadline(context& ctx, exchange& exchange) {
    // Once the header of the answer was sent, only the idle limit of the shell applies, since a large file may take
    // longer than the deadline.
    if (exchange.answering) {
        return;
    }
    const bool waiting = exchange.phase == exchange_phase::waiting;
    const auto code = waiting ? exchange.wait_reason : result_code::request_deadline_passed;
    auto caller_outcome = outcome::not_run;
    if (exchange.phase == exchange_phase::in_flight) {
        caller_outcome = exchange.sending ? outcome::unknown : outcome::not_run;
        stop_attempt(ctx, exchange);
    }
    answer(ctx, exchange, {504, code, caller_outcome, {}, "the deadline passed"});
}

} // namespace lovagetack::requests
