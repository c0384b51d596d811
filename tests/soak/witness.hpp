#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace lovagetack::soak {

using clock = std::chrono::steady_clock;

/// What a caller got; status 0 stands for a connection that ended without an answer, or for none in time.
struct call_outcome {
    int status = 0;
    bool is_signed = false;
    bool whole = false;
    /// The caller waited as long as it wanted to.
    bool timed_out = false;
    /// Something of the request may have reached the instance.
    bool sent = false;
};

/// One request of a caller.
struct sent_call {
    std::string id;
    std::string path;
    bool idempotent = false;
    int instance = 0;
    /// Life of the instance.
    int life = 0;
    /// The route came with this version of the configuration.
    int route_version = 1;
    clock::time_point sent_at;
};

/// Collects what callers and backend servers see, and notes each broken promise.
///
/// Faults are told to it, too: a promise that names calm conditions is only judged in them.
class witness {
public:
    // What the faults do.

    /// An instance was stopped, killed, resumed or cut off; its promises with a time bound rest for contact_time.
    void note_disturbed(int instance) { disturbed_[instance] = clock::now(); }
    void note_store_disturbed() { store_disturbed_ = clock::now(); }
    void note_resumed() { resumed_ = clock::now(); }
    void note_termination(int instance) { terminated_[instance] = clock::now(); }
    void note_configuration(int version) { configurations_[version] = clock::now(); }
    /// The event loop of the test ran late: what it saw at this time has no exact order.
    void note_lag() { lagged_ = clock::now(); }

    // What backend servers see.

    void note_run(const std::string& id, const std::string& server);
    /// The server itself broke the request off.
    void note_broken_off(const std::string& id) { broken_off_[id] = true; }
    /// The request reached a server that has been leaving since that time.
    void note_arrival_at_leaving(const std::string& id, const std::string& server, clock::time_point leaving_since);
    void note_unknown_request(const std::string& id, const std::string& server);
    /// A grant gave `server` a key whose grant at `other` had `left` to run.
    void note_double_owner(std::uint32_t key, const std::string& server, const std::string& other,
                           std::chrono::milliseconds left);
    void note_low_token(std::uint32_t key, const std::string& server);
    void note_cold_excess(const std::string& server, int requests);

    // What callers see.

    void note_call(const sent_call& call);
    void note_outcome(const sent_call& call, const call_outcome& outcome);
    [[nodiscard]] bool knows(const std::string& id) const { return calls_.contains(id); }

    // Processes.

    void note_exit(int instance, int status, bool expected);

    /// Served and asked since the last call of this function.
    struct share {
        int asked = 0;
        int served = 0;
    };
    [[nodiscard]] share take_share();
    [[nodiscard]] const std::vector<std::string>& violations() const { return violations_; }
    [[nodiscard]] const std::map<int, int>& statuses() const { return statuses_; }
    [[nodiscard]] int excused() const { return excused_; }

    void violate(const std::string& promise, const std::string& text);

private:
    [[nodiscard]] bool is_calm(int instance, clock::time_point since) const;
    void check_configuration(const sent_call& call, const call_outcome& outcome);
    void check_cut(const sent_call& call, const call_outcome& outcome);

    std::map<std::string, sent_call> calls_;
    std::map<std::string, int> runs_;
    std::map<std::string, bool> broken_off_;
    std::map<std::string, int> promised_not_run_;
    std::map<int, clock::time_point> disturbed_;
    std::map<int, clock::time_point> terminated_;
    std::map<int, clock::time_point> configurations_;
    /// Newest configuration whose effect was seen, by instance and life, and when.
    std::map<std::pair<int, int>, std::pair<int, clock::time_point>> seen_configuration_;
    clock::time_point store_disturbed_;
    clock::time_point resumed_;
    clock::time_point lagged_;
    share share_;
    std::map<int, int> statuses_;
    std::vector<std::string> violations_;
    int excused_ = 0;
};

} // namespace lovagetack::soak
