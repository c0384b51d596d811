#include "soak/witness.hpp"

namespace lovagetack::soak {
namespace {

using namespace std::chrono_literals;

/// Bounds of the platform, as its settings state them.
constexpr auto contact_time = 3000ms;
constexpr auto drain_time = 2500ms;
constexpr auto configuration_time = 2500ms;
constexpr auto downgrade_slack = 250ms;
constexpr auto thaw_slack = 300ms;
constexpr auto grace = 6000ms;
/// A request may cross the close of its connection for this long.
constexpr auto close_slack = 200ms;
/// Two owners at once break the rule at once where requests begin, and in any case after this time.
constexpr auto longest_double_hold = 500ms;

std::string milliseconds_text(std::chrono::nanoseconds time) {
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(time).count()) + " ms";
}

} // namespace

void witness::violate(const std::string& promise, const std::string& text) {
    violations_.push_back(promise + ": " + text);
}

bool witness::is_calm(int instance, clock::time_point since) const {
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
        violate("at most once", id + " " + call->second.path + " ran again on " + server);
    }
    const auto promised = promised_not_run_.find(id);
    if (promised != promised_not_run_.end() && !call->second.idempotent) {
        violate("not run", id + " was answered " + std::to_string(promised->second) + " and ran later on " + server);
    }
}

void witness::note_arrival_at_leaving(const std::string& id, const std::string& server,
                                      clock::time_point leaving_since) {
    const auto call = calls_.find(id);
    const auto late = clock::now() - leaving_since - drain_time;
    if (call == calls_.end() || late <= 0ms) {
        return;
    }
    if (!is_calm(call->second.instance, leaving_since)) {
        ++excused_;
        return;
    }
    violate("leaving servers get nothing", id + " reached " + server + " " + milliseconds_text(late) + " too late");
}

void witness::note_unknown_request(const std::string& id, const std::string& server) {
    violate("no invented requests", "'" + id + "' at " + server);
}

void witness::note_double_owner(std::uint32_t key, const std::string& server, const std::string& other,
                                std::chrono::milliseconds left) {
    const auto now = clock::now();
    // A process that was resumed may send what it had decided before.
    if (now - resumed_ < thaw_slack || now - lagged_ < contact_time || left < longest_double_hold) {
        ++excused_;
        return;
    }
    violate("one owner", "key " + std::to_string(key) + " granted to " + server + " while " + other + " holds it for " +
                             std::to_string(left.count()) + " ms");
}

void witness::note_low_token(std::uint32_t key, const std::string& server) {
    violate("rising tokens", "key " + std::to_string(key) + " at " + server);
}

void witness::note_cold_excess(const std::string& server, int requests) {
    violate("cold servers are spared", server + " got " + std::to_string(requests) + " requests in a second");
}

void witness::note_call(const sent_call& call) {
    calls_[call.id] = call;
}

void witness::note_outcome(const sent_call& call, const call_outcome& outcome) {
    ++statuses_[outcome.status];
    const bool served = outcome.status == 200 && outcome.is_signed && outcome.whole;
    ++share_.asked;
    share_.served += served ? 1 : 0;
    if (outcome.status == 200 && !served) {
        violate("whole signed answers", call.id + (outcome.is_signed ? " has another body" : " is not signed"));
    }
    if (outcome.status == 200 && runs_[call.id] == 0) {
        violate("whole signed answers", call.id + " was answered without having run");
    }
    const bool promise =
        outcome.status == 503 || outcome.status == 429 || outcome.status == 408 || outcome.status == 421;
    if (promise) {
        promised_not_run_[call.id] = outcome.status;
        if (!call.idempotent && runs_[call.id] > 0) {
            violate("not run", call.id + " was answered " + std::to_string(outcome.status) + " and had run");
        }
    }
    check_configuration(call, outcome);
    check_cut(call, outcome);
}

void witness::check_configuration(const sent_call& call, const call_outcome& outcome) {
    auto& [seen, seen_at] = seen_configuration_[{call.instance, call.life}];
    if (outcome.status == 200 && call.route_version > seen) {
        seen = call.route_version;
        seen_at = clock::now();
    }
    if (outcome.status != 404) {
        return;
    }
    if (seen >= call.route_version && call.sent_at > seen_at + downgrade_slack) {
        violate("configuration never goes back",
                call.id + " got 404 on a route of version " + std::to_string(call.route_version) + " after " +
                    std::to_string(seen) + " was in force at instance " + std::to_string(call.instance));
    }
    const auto written = configurations_.find(call.route_version);
    if (written != configurations_.end() && call.sent_at > written->second + configuration_time &&
        is_calm(call.instance, written->second)) {
        violate("configuration in force", call.id + " got 404 on a route written " +
                                              milliseconds_text(call.sent_at - written->second) + " before");
    }
}

/// Around a planned stop of an instance, what it has taken up is answered.
void witness::check_cut(const sent_call& call, const call_outcome& outcome) {
    const auto now = clock::now();
    const auto stop = terminated_.find(call.instance);
    if (outcome.status != 0 || outcome.timed_out || !outcome.sent || stop == terminated_.end() || now < stop->second ||
        now > stop->second + grace + 1s || call.sent_at < stop->second - grace) {
        return;
    }
    const bool taken_up = runs_[call.id] > 0;
    if (broken_off_.contains(call.id) || (!taken_up && now - call.sent_at < close_slack)) {
        return;
    }
    if (!is_calm(call.instance, call.sent_at)) {
        ++excused_;
        return;
    }
    violate("nothing cut by a stop", call.id + " sent " + milliseconds_text(call.sent_at - stop->second) +
                                         " after SIGTERM to instance " + std::to_string(call.instance) +
                                         " ended without an answer after " + milliseconds_text(now - call.sent_at) +
                                         (taken_up ? ", having run" : ", not having run"));
}

void witness::note_exit(int instance, int status, bool expected) {
    if (expected && status == 0) {
        return;
    }
    violate("processes stay up", "instance " + std::to_string(instance) + " ended with " + std::to_string(status));
}

witness::share witness::take_share() {
    return std::exchange(share_, {});
}

} // namespace lovagetack::soak
