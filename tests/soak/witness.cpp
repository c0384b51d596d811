#include "soak/witness.hpp"

#include <algorithm>

namespace lovagetack::soak {
namespace {

using namespace std::chrono_literals;

/// Time bounds that the platform's settings state.
constexpr auto contact_time = 3000ms;
constexpr auto drain_time = 2500ms;
constexpr auto configuration_time = 2500ms;
constexpr auto downgrade_slack = 250ms;
constexpr auto resume_slack = 300ms;
constexpr auto grace_period = 6000ms;
/// A request sent within this time before its connection closes may be lost unexecuted.
constexpr auto close_slack = 200ms;
/// Two owners of a key at once violate the promise as soon as requests start at both, and in any case after this time.
constexpr auto longest_double_hold = 500ms;

std::string milliseconds_text(std::chrono::nanoseconds time) {
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(time).count()) + " ms";
}

} // namespace

void witness::report_violation(const std::string& promise, const std::string& text) {
    violations_.push_back(promise + ": " + text);
}

bool witness::is_undisturbed(int instance, clock::time_point since) const {
    const auto before = since - contact_time;
    const auto found = disturbed_.find(instance);
    return (found == disturbed_.end() || found->second < before) && store_disturbed_ < before && lagged_ < before;
}

void witness::note_run(const std::string& id, const std::string& server) {
    const auto call = calls_.find(id);
    if (call == calls_.end()) {
        return;
    }
    const int runs = ++runs_[id];
    if (runs > 1 && !call->second.idempotent) {
        report_violation("at most once", id + " " + call->second.path + " ran again on " + server);
    }
    const auto promised = promised_not_run_.find(id);
    if (promised != promised_not_run_.end() && !call->second.idempotent) {
        report_violation("not run",
                         id + " was answered " + std::to_string(promised->second) + " and ran later on " + server);
    }
}

void witness::note_arrival_at_leaving(const std::string& id, const std::string& server,
                                      clock::time_point leaving_since) {
    const auto call = calls_.find(id);
    const auto late = clock::now() - std::max(leaving_since, restoring_ + contact_time) - drain_time;
    if (call == calls_.end() || late <= 0ms) {
        return;
    }
    if (!is_undisturbed(call->second.instance, leaving_since)) {
        ++excused_;
        return;
    }
    report_violation("leaving servers get nothing",
                     id + " reached " + server + " " + milliseconds_text(late) + " too late");
}

void witness::note_unknown_request(const std::string& id, const std::string& server) {
    report_violation("no invented requests", "'" + id + "' at " + server);
}

void witness::note_double_owner(std::uint32_t key, const std::string& server, const std::string& other,
                                std::chrono::milliseconds left) {
    const auto now = clock::now();
    // A resumed process may send a grant that it decided on before the pause.
    if (now - resumed_ < resume_slack || now - lagged_ < contact_time || left < longest_double_hold) {
        ++excused_;
        return;
    }
    report_violation("one owner", "key " + std::to_string(key) + " granted to " + server + " while " + other +
                                      " holds it for " + std::to_string(left.count()) + " ms");
}

void witness::note_stale_fence(std::uint32_t key, const std::string& server) {
    report_violation("rising tokens", "key " + std::to_string(key) + " at " + server);
}

void witness::note_cold_excess(const std::string& server, int requests) {
    report_violation("cold servers are spared", server + " got " + std::to_string(requests) + " requests in a second");
}

void witness::note_call(const sent_call& call) {
    calls_[call.id] = call;
}

void witness::note_outcome(const sent_call& call, const call_outcome& outcome) {
    ++statuses_[outcome.status];
    const bool served = outcome.status == 200 && outcome.is_signed && outcome.whole;
    ++counts_.asked;
    counts_.served += served ? 1 : 0;
    if (outcome.status == 200 && !served) {
        report_violation("whole signed answers",
                         call.id + (outcome.is_signed ? " has another body" : " is not signed"));
    }
    if (outcome.status == 200 && runs_[call.id] == 0) {
        report_violation("whole signed answers", call.id + " was answered without having run");
    }
    const bool promise =
        outcome.status == 503 || outcome.status == 429 || outcome.status == 408 || outcome.status == 421;
    if (promise) {
        promised_not_run_[call.id] = outcome.status;
        if (!call.idempotent && runs_[call.id] > 0) {
            report_violation("not run", call.id + " was answered " + std::to_string(outcome.status) + " and had run");
        }
    }
    check_configuration(call, outcome);
    check_unanswered_at_stop(call, outcome);
}

void witness::check_configuration(const sent_call& call, const call_outcome& outcome) {
    auto& [seen, seen_at] = seen_configuration_[{call.instance, call.incarnation}];
    if (outcome.status == 200 && call.route_version > seen) {
        seen = call.route_version;
        seen_at = clock::now();
    }
    if (outcome.status != 404) {
        return;
    }
    if (seen >= call.route_version && call.sent_at > seen_at + downgrade_slack) {
        report_violation("configuration never goes back",
                         call.id + " got 404 on a route of version " + std::to_string(call.route_version) + " after " +
                             std::to_string(seen) + " was in force at instance " + std::to_string(call.instance));
    }
    const auto written = configurations_.find(call.route_version);
    if (written != configurations_.end() &&
        call.sent_at > std::max(written->second, restoring_ + contact_time) + configuration_time &&
        is_undisturbed(call.instance, written->second)) {
        report_violation("configuration in force", call.id + " got 404 on a route written " +
                                                       milliseconds_text(call.sent_at - written->second) + " before");
    }
}

/// Checks that around a planned stop of an instance every request that it accepted is answered.
void witness::check_unanswered_at_stop(const sent_call& call, const call_outcome& outcome) {
    const auto now = clock::now();
    const auto stop = terminated_.find(call.instance);
    if (outcome.status != 0 || outcome.timed_out || !outcome.sent || stop == terminated_.end() || now < stop->second ||
        now > stop->second + grace_period + 1s || call.sent_at < stop->second - grace_period) {
        return;
    }
    const bool executed = runs_[call.id] > 0;
    if (aborted_.contains(call.id) || (!executed && now - call.sent_at < close_slack)) {
        return;
    }
    if (!is_undisturbed(call.instance, call.sent_at)) {
        ++excused_;
        return;
    }
    report_violation("nothing cut by a stop", call.id + " sent " + milliseconds_text(call.sent_at - stop->second) +
                                                  " after SIGTERM to instance " + std::to_string(call.instance) +
                                                  " ended without an answer after " +
                                                  milliseconds_text(now - call.sent_at) +
                                                  (executed ? ", having run" : ", not having run"));
}

void witness::note_exit(int instance, int status, bool expected) {
    if (expected && status == 0) {
        return;
    }
    report_violation("processes stay up",
                     "instance " + std::to_string(instance) + " ended with " + std::to_string(status));
}

witness::request_counts witness::take_counts() {
    return std::exchange(counts_, {});
}

} // namespace lovagetack::soak
