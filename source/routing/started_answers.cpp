#include "routing/started_answers.hpp"

#include <algorithm>

#include "routing/exchanges.hpp"
#include "routing/limits.hpp"
#include "routing/requests.hpp"

namespace lovagetack::routing {
namespace {

void schedule_check(step& step, exchange_id id, exchange& exchange, base::boot_time at) {
    step.state.answer_checks.erase({exchange.answer_check_at, id});
    exchange.answer_check_at = at;
    step.state.answer_checks.insert({at, id});
}

} // namespace

void watch_started_answer(step& step, const answer_forwarding_started& event) {
    auto* const exchange = find_attempt(step, event.exchange, event.attempt);
    if (exchange == nullptr) {
        return;
    }
    exchange->forwarding = true;
    exchange->forwarding_since = step.now;
    exchange->answer_reported_at = step.now;
    step.state.deadlines.erase({exchange->expires_at, event.exchange});
    // The silence at the deadline is counted from the check before it.
    schedule_check(step, event.exchange, *exchange, std::max(step.now, exchange->expires_at - answer_silence));
}

void check_started_answers(step& step) {
    auto& checks = step.state.answer_checks;
    while (!checks.empty() && checks.begin()->first <= step.now) {
        const auto id = checks.begin()->second;
        auto& exchange = step.state.exchanges.at(id);
        step.add(report_answer_progress{id, exchange.attempt});
        schedule_check(step, id, exchange, std::max(exchange.expires_at, step.now + answer_silence));
    }
}

void note_answer_progress(step& step, const answer_progress& event) {
    auto* const exchange = find_attempt(step, event.exchange, event.attempt);
    if (exchange == nullptr) {
        return;
    }
    const bool stopped = event.bytes == exchange->answer_bytes && !event.awaits_caller;
    const bool suspended = step.now - exchange->answer_reported_at > longest_report_gap;
    exchange->answer_bytes = event.bytes;
    exchange->answer_reported_at = step.now;
    if (step.now < exchange->expires_at || suspended) {
        return;
    }
    if (stopped || step.now >= exchange->expires_at + answer_overtime) {
        end_overdue_exchange(step, event.exchange);
    }
}

} // namespace lovagetack::routing
