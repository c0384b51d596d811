#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <QTimer>

#include "http/call_list.hpp"
#include "integration/process.hpp"
#include "integration/reserved_port.hpp"
#include "integration/temporary_folder.hpp"
#include "soak/backend.hpp"
#include "soak/store.hpp"
#include "soak/witness.hpp"
#include "stand_ins/proxy_link.hpp"

namespace lovagetack::soak {

struct options {
    std::string program;
    std::uint64_t seed = 1;
    int instances = 4;
    /// Backend servers of each of the two services.
    int backends = 5;
    /// Requests per second of all callers.
    int rate = 80;
    /// How long faults are injected.
    std::chrono::seconds duration{12};
    /// Mean pause between two faults.
    std::chrono::milliseconds fault_pause{700};
    /// Mean pause between two restorations of the store from a copy.
    std::chrono::milliseconds restoration_pause{5000};
};

/// Runs a deployment of real instances and injects the faults that one seed yields.
class run {
public:
    explicit run(const options& options);
    ~run();
    run(const run&) = delete;
    run& operator=(const run&) = delete;

    /// Runs the event loop until the run ends; returns the broken promises.
    std::vector<std::string> execute();
    /// One line with the counts of requests, faults and outcomes.
    [[nodiscard]] std::string summary() const;
    /// The injected faults with their times in milliseconds since the start of the run.
    [[nodiscard]] const std::vector<std::string>& faults() const { return faults_; }

private:
    struct instance {
        int number = 0;
        std::string name;
        std::string settings_file;
        harness::reserved_port callers;
        harness::reserved_port readiness;
        harness::reserved_port internal;
        std::unique_ptr<stand_ins::proxy_link> store_link;
        std::unique_ptr<http::connection_pool> pool;
        std::unique_ptr<http::connection_pool> readiness_pool;
        std::unique_ptr<harness::process> process;
        int incarnation = 0;
        int missed_polls = 2;
        bool paused = false;
        bool link_disturbed = false;
        /// Has received SIGTERM and is not replaced yet.
        bool leaving = false;
        clock::time_point leaving_since;
    };

    void set_up();
    void write_settings(const instance& instance, const std::string& store_address, const std::string& zone) const;
    void start_instance(instance& instance);
    void watch_processes();
    void poll_readiness();
    void write_configuration();
    void publish(backend& server);
    void withdraw(backend& server);

    void send_requests();
    void send_request(instance& instance);
    instance* choose_instance();
    std::string request_text(const sent_call& call);

    void schedule_fault();
    void schedule_restoration();
    void restore_store();
    void inject_fault();
    void disturb_instance();
    void disturb_store();
    void disturb_link();
    void disturb_backend();
    void replace_backend(backend& server);
    void evacuate();
    void renew_disturbances();

    void call_after(std::chrono::milliseconds delay, std::function<void()> function);
    /// Repeats the write every 100 ms until it returns true.
    void retry_until_stored(const std::function<bool()>& write);
    void wait(std::chrono::milliseconds time);
    void note_fault(const std::string& text);
    std::chrono::milliseconds random_duration(int least, int most) { return random_duration(random_, least, most); }
    static std::chrono::milliseconds random_duration(std::mt19937_64& random, int least, int most);
    std::size_t draw(std::size_t count) { return random_() % count; }

    options options_;
    std::mt19937_64 random_;
    /// Separate, so that the other faults of a seed do not depend on the restorations.
    std::mt19937_64 restoration_random_;
    harness::temporary_folder folder_;
    witness witness_;
    store store_;
    model::address store_address_;
    std::vector<std::unique_ptr<instance>> instances_;
    std::vector<std::unique_ptr<backend>> backends_;
    std::vector<std::string> data_centres_{"east", "west"};
    int configuration_ = 0;
    std::uint64_t last_request_ = 0;
    http::call_list calls_;
    bool injecting_ = false;
    bool store_disturbed_ = false;
    /// The store is away and comes back from a copy.
    bool store_restoring_ = false;
    double due_requests_ = 0;
    int requests_ = 0;
    std::vector<std::string> faults_;
    witness::request_counts final_counts_;
    clock::time_point begun_ = clock::now();
    clock::time_point last_tick_ = clock::now();
    QTimer request_timer_;
    QTimer watch_timer_;
    QTimer readiness_timer_;
    /// Context object of all delayed calls; destroying it cancels them.
    std::unique_ptr<QTimer> context_;
};

} // namespace lovagetack::soak
