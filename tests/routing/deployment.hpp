#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "routing/reduce.hpp"
#include "routing/state.hpp"

namespace lovagetack::routing::testing {

using namespace std::chrono_literals;

/// A backend server that holds keys by grants and follows the platform's rules for fencing tokens.
struct fake_server {
    backend_server registration;
    bool up = true;
    /// Per key: the highest accepted fencing token, and the end of the grant.
    std::vector<std::uint64_t> highest_fence = std::vector<std::uint64_t>(key_count, 0);
    std::vector<base::boot_time> held_until = std::vector<base::boot_time>(key_count);
};

/// One instance: its routing state, and whether it runs and reaches the store.
struct fake_instance {
    std::unique_ptr<routing::state> state;
    bool runs = true;
    bool reaches_store = true;
    /// It reaches neither the store nor other instances, but still the backend servers.
    bool isolated = false;
    /// Counts the starts. Events addressed to an earlier start are dropped.
    int start_number = 0;
    base::boot_time frozen_until;
    std::uint64_t grants_sent = 0;
};

/// What has become of the requests of one client account.
struct account_play {
    accounts::allowance allowance;
    /// Arrivals at servers in the last window of the allowance.
    std::deque<base::boot_time> window;
    std::uint64_t served = 0;
    std::uint64_t over_allowance = 0;
    std::uint64_t refused_otherwise = 0;
};

/// Several instances, a store and backend servers in simulated time. Records violations of single ownership.
class deployment {
public:
    deployment(int instances, int servers, std::uint64_t seed);

    void run_for(std::chrono::microseconds time);
    [[nodiscard]] base::boot_time now() const { return now_; }

    void kill(int instance);
    void restart(int instance);
    void freeze(int instance, std::chrono::microseconds time);
    void set_store_cut(int instance, bool cut);
    /// Asks the instance to stop; its process ends after `grace`.
    void shut_down(int instance, std::chrono::microseconds grace);
    /// Cuts the instance off from the store and the other instances; it still reaches the backend servers.
    void set_isolated(int instance, bool isolated);
    /// Cuts a data centre off from the store and the other data centres.
    void set_data_centre_cut(int data_centre, bool cut);
    void set_store_down(bool down) { store_down_ = down; }
    /// Brings the store back from a copy of the given age, in a new era. Instances see it within 400 ms.
    void restore_store(std::chrono::microseconds age);
    /// Share of the writes whose answers are lost although the writes are done; `late`: they are done seconds later.
    void lose_answers(double share, bool late);
    /// Share of the grants that get no answer and take effect after `shortest` to 4 s more.
    void delay_grants(double share, std::chrono::milliseconds shortest = 2s) {
        late_grant_share_ = share;
        shortest_grant_delay_ = shortest;
    }
    /// Share of the grants that wait for their connection, up to the timeout of the call.
    void delay_connections(double share) { slow_connection_share_ = share; }
    /// Share of the orders and reports of renewals that get lost, and of those that arrive up to 3 s late.
    void lose_messages(double share) { lost_message_share_ = share; }
    void crash_server(int server);
    /// Registers the server as draining.
    void drain_server(int server);
    /// Restarts the server under the same id, without any held keys.
    void restart_server(int server);
    void evacuate(const std::string& data_centre, bool on);
    void request_key(std::uint32_t key);

    /// From the next start of an instance on, or its next configuration, requests of these accounts are served by a
    /// service without keys. The key of an account is its name.
    void set_accounts(const std::map<std::string, accounts::allowance>& allowances);
    /// Sends a request of the account to the instance. None is sent to one that does not run.
    void request(int instance, const std::string& account);
    [[nodiscard]] const account_play& account(const std::string& name) const { return accounts_.at(name); }
    /// Messages about allowances that all instances have sent.
    [[nodiscard]] std::uint64_t allowance_messages() const { return allowance_messages_; }
    /// The lease as the store shows it.
    [[nodiscard]] keeper_lease lease() const;

    /// The index of the instance that is the keeper; -1 if there is none.
    [[nodiscard]] int keeper() const;
    /// Ids of the running servers that hold the key now.
    [[nodiscard]] std::vector<std::string> holders(std::uint32_t key) const;
    /// Share of the keys that a running server holds.
    [[nodiscard]] double held_share() const;
    [[nodiscard]] const std::vector<std::string>& violations() const { return violations_; }
    [[nodiscard]] const routing::assignment& assignment() const { return store_.assignment; }
    [[nodiscard]] std::uint64_t writes() const { return writes_; }
    /// Number of grants that the instance has sent.
    [[nodiscard]] std::uint64_t grants_sent_by(int instance) const {
        return instances_[static_cast<std::size_t>(instance)].grants_sent;
    }
    [[nodiscard]] routing::state& state_of(int instance) {
        return *instances_[static_cast<std::size_t>(instance)].state;
    }
    [[nodiscard]] int instances() const { return static_cast<int>(instances_.size()); }
    [[nodiscard]] int servers() const { return static_cast<int>(servers_.size()); }

private:
    struct scheduled_call {
        base::boot_time at;
        std::uint64_t sequence;
        std::function<void()> function;
        bool operator<(const scheduled_call& other) const {
            return std::tie(at, sequence) > std::tie(other.at, other.sequence);
        }
    };

    void at(std::chrono::microseconds delay, std::function<void()> function);
    void deliver(int instance, int start_number, std::chrono::microseconds delay, const event& event);
    void process_event(int instance, const event& event);
    void tick(int instance, int start_number);
    void deliver_initial_state(int instance);
    void deliver_to_all(const event& event);
    [[nodiscard]] bool store_reached_by(int instance) const;
    /// Whether datagrams between the instances arrive.
    [[nodiscard]] bool are_connected(int left, int right) const;
    [[nodiscard]] bool reaches_server(int instance, const fake_server& server) const;

    void execute(int instance, const send_request& effect);
    void execute(int instance, const cancel_attempt& /*effect*/) { (void)instance; }
    void execute(int instance, const report_answer_progress& /*effect*/) { (void)instance; }
    void execute(int instance, const deliver_answer& /*effect*/) { (void)instance; }
    void execute(int instance, const answer_caller& effect);
    void execute(int instance, const request_delivered& /*effect*/) { (void)instance; }
    void execute(int instance, const log_line& effect);
    void execute(int instance, const send_load& effect);
    // Each instance of this deployment follows the store, so no tables are passed on.
    void execute(int instance, const follow_store& /*effect*/) { (void)instance; }
    void execute(int instance, const send_heartbeat& /*effect*/) { (void)instance; }
    void execute(int instance, const send_table_change& /*effect*/) { (void)instance; }
    void execute(int instance, const request_table_changes& /*effect*/) { (void)instance; }
    void execute(int instance, const send_known_changes& /*effect*/) { (void)instance; }
    void execute(int instance, const apply_table_change& /*effect*/) { (void)instance; }
    void execute(int instance, const catch_up& /*effect*/) { (void)instance; }
    // The requests of this deployment are all for keys, whose slots no dispatcher gives out.
    void execute(int instance, const send_slot_request& /*effect*/) { (void)instance; }
    void execute(int instance, const send_slot_answer& /*effect*/) { (void)instance; }
    void execute(int instance, const send_slot_release& /*effect*/) { (void)instance; }
    void execute(int instance, const send_slot_report& /*effect*/) { (void)instance; }
    void execute(int instance, const send_allowance_message& effect);
    // No requests are sent to the servers of this deployment.
    void execute(int instance, const probe_server& /*effect*/) { (void)instance; }
    void execute(int instance, const send_strike& /*effect*/) { (void)instance; }
    void execute(int instance, const send_objection& /*effect*/) { (void)instance; }
    void execute(int instance, const write_quarantine& /*effect*/) { (void)instance; }
    void execute(int instance, const lift_quarantine& /*effect*/) { (void)instance; }
    void execute(int instance, const send_change& effect);
    void execute(int instance, const send_renewal_orders& effect);
    void execute(int instance, const send_renewal_report& effect);
    /// Sends a datagram, unless a fault loses it.
    void deliver_message(int sender, const model::instance_id& receiver, const event& event);
    void execute(int instance, const grant_range& effect);
    void execute(int instance, const release_range& effect);
    void execute(int instance, const read_lease& effect);
    void execute(int instance, const read_assignments& effect);
    void execute(int instance, const refresh_assignments& effect);
    void execute(int instance, const write_rows& effect);

    void record_action(std::uint32_t first, std::uint32_t last, std::uint64_t fence, const std::string& text);
    void record_violation(std::uint32_t key, const std::string& text);
    fake_server* find(const model::address& address);
    grant_outcome apply_grant(fake_server& server, const grant_range& effect);
    write_outcome commit(const write_rows& effect, std::uint64_t& version);
    [[nodiscard]] std::int64_t store_time() const;
    double random_fraction() { return static_cast<double>(random_() % 10000) / 10000.0; }

    base::boot_time now_{std::chrono::seconds(100)};
    std::mt19937_64 random_;
    std::priority_queue<scheduled_call> scheduled_calls_;
    std::uint64_t sequence_ = 0;
    std::vector<fake_instance> instances_;
    std::vector<fake_server> servers_;
    std::set<model::data_centre_id> evacuated_;
    std::uint64_t configuration_version_ = 1;
    std::map<std::string, account_play> accounts_;
    std::map<exchange_id, std::string> account_requests_;
    exchange_id last_exchange_ = 0;
    std::uint64_t allowance_messages_ = 0;
    [[nodiscard]] configuration current_configuration() const;
    [[nodiscard]] std::vector<backend_server> unkeyed_servers() const;
    bool store_down_ = false;
    double lost_answer_share_ = 0;
    bool late_writes_ = false;
    double late_grant_share_ = 0;
    std::chrono::milliseconds shortest_grant_delay_ = 2s;
    double slow_connection_share_ = 0;
    std::set<model::data_centre_id> cut_data_centres_;
    double lost_message_share_ = 0;
    struct lease_row {
        std::uint64_t version = 0;
        keeper_lease lease;
    };
    /// Rows of the store. Each era has a lease of its own.
    struct store_content {
        base::boot_time written_at;
        std::uint64_t version = 0;
        std::map<std::uint64_t, lease_row> leases;
        std::uint64_t assignment_version = 0;
        routing::assignment assignment;
    };
    std::uint64_t era_ = 0;
    store_content store_;
    std::vector<store_content> copies_;
    std::uint64_t writes_ = 0;
    std::vector<std::string> violations_;
    /// Grants and releases of ranges, for the messages about violations.
    struct action {
        base::boot_time at;
        std::uint32_t first = 0;
        std::uint32_t last = 0;
        std::string text;
    };
    std::vector<action> actions_;
};

inline const model::service_id keyed_service{"board"};
/// The service of the client accounts' requests.
inline const model::service_id account_service{"book"};

} // namespace lovagetack::routing::testing
