#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace lovagetack::soak {

using clock = std::chrono::steady_clock;

/// Answer to a caller; status 0 means that the connection ended without an answer or that none came in time.
struct call_outcome {
    int status = 0;
    bool is_signed = false;
    bool whole = false;
    /// The caller's deadline passed.
    bool timed_out = false;
    /// Part of the request may have reached the instance.
    bool sent = false;
};

/// One request of a caller.
struct sent_call {
    std::string id;
    std::string path;
    bool idempotent = false;
    int instance = 0;
    /// Counts the starts of the instance's process.
    int incarnation = 0;
    /// Version of the configuration that added the route.
    int route_version = 1;
    clock::time_point sent_at;
};

/// Collects the observations of callers and backend servers and records each broken promise.
///
/// Injected faults are reported to it, too: a promise that presumes undisturbed conditions is checked only in them.
class witness {
public:
    // Injected faults.

    /// An instance was stopped, killed, resumed or cut off; its promises with a time bound are not checked for
    /// contact_time.
    void note_disturbed(int instance) { disturbed_[instance] = clock::now(); }
    void note_store_disturbed() { store_disturbed_ = clock::now(); }
    /// The store is away and comes back from a copy. Promises with a time bound are checked again from contact_time
    /// after the last of these calls, also for what was promised before.
    void note_store_restoring() { restoring_ = clock::now(); }
    void note_resumed() { resumed_ = clock::now(); }
    void note_termination(int instance) { terminated_[instance] = clock::now(); }
    void note_configuration(int version) { configurations_[version] = clock::now(); }
    /// The event loop of the test ran late; the order of its observations at this time is not exact.
    void note_lag() { lagged_ = clock::now(); }

    // Observations of backend servers.

    void note_run(const std::string& id, const std::string& server);
    /// The server itself aborted the request.
    void note_aborted(const std::string& id) { aborted_[id] = true; }
    /// The request reached a server that has been leaving since that time.
    void note_arrival_at_leaving(const std::string& id, const std::string& server, clock::time_point leaving_since);
    void note_unknown_request(const std::string& id, const std::string& server);
    /// A grant gave `server` a key whose grant at `other` had `left` to run.
    void note_double_owner(std::uint32_t key, const std::string& server, const std::string& other,
                           std::chrono::milliseconds left);
    void note_stale_fence(std::uint32_t key, const std::string& server);
    void note_cold_excess(const std::string& server, int requests);

    // Observations of callers.

    void note_call(const sent_call& call);
    void note_outcome(const sent_call& call, const call_outcome& outcome);
    [[nodiscard]] bool has_call(const std::string& id) const { return calls_.contains(id); }

    // Processes.

    void note_exit(int instance, int status, bool expected);

    /// Requests that ended, and those of them that were served, since the last call of take_counts.
    struct request_counts {
        int asked = 0;
        int served = 0;
    };
    [[nodiscard]] request_counts take_counts();
    [[nodiscard]] const std::vector<std::string>& violations() const { return violations_; }
    [[nodiscard]] const std::map<int, int>& statuses() const { return statuses_; }
    [[nodiscard]] int excused() const { return excused_; }

    void report_violation(const std::string& promise, const std::string& text);

private:
    [[nodiscard]] bool is_undisturbed(int instance, clock::time_point since) const;
    void check_configuration(const sent_call& call, const call_outcome& outcome);
    void check_unanswered_at_stop(const sent_call& call, const call_outcome& outcome);

    std::map<std::string, sent_call> calls_;
    std::map<std::string, int> runs_;
    std::map<std::string, bool> aborted_;
    std::map<std::string, int> promised_not_run_;
    std::map<int, clock::time_point> disturbed_;
    std::map<int, clock::time_point> terminated_;
    std::map<int, clock::time_point> configurations_;
    /// Newest configuration version whose effect was observed, and when, by instance and incarnation.
    std::map<std::pair<int, int>, std::pair<int, clock::time_point>> seen_configuration_;
    clock::time_point store_disturbed_;
    clock::time_point restoring_;
    clock::time_point resumed_;
    clock::time_point lagged_;
    request_counts counts_;
    std::map<int, int> statuses_;
    std::vector<std::string> violations_;
    int excused_ = 0;
};

} // namespace lovagetack::soak
