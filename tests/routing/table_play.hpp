#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "routing/limits.hpp"
#include "routing/reduce.hpp"
#include "routing/table_copy.hpp"

namespace lovagetack::routing::testing {

using namespace std::chrono_literals;

/// Instances of a large deployment that follow one table of a store or pass it on to each other, in simulated time.
/// Calls to the store and messages get lost at the will of a test. The table has one row, the configuration.
class table_play {
public:
    table_play(int data_centres, int instances_each, std::uint64_t seed);

    void run_for(std::chrono::milliseconds time);
    [[nodiscard]] base::boot_time now() const { return now_; }

    /// Instances are numbered by rank first: 0 is the first of the first data centre, 1 that of the second.
    [[nodiscard]] int instances() const { return static_cast<int>(instances_.size()); }
    /// While cut off, an instance gets no answers of the store; a call whose answer got lost never gets one.
    void set_store_cut(int instance, bool cut);
    /// Calls in progress stay unanswered, new ones are answered.
    void silence_calls(int instance);
    /// Messages that the instance sends get lost.
    void set_mute(int instance, bool mute) { at(instance).mute = mute; }
    void freeze(int instance, std::chrono::milliseconds time);
    /// Share of all messages between instances that get lost.
    void lose_messages(double share) { lost_share_ = share; }

    /// The operators write the next version.
    void change();
    /// Instances that have been in touch with the store for `contact` and whose configuration is older than what was
    /// written `bound` ago; their names and versions.
    [[nodiscard]] std::vector<std::string> late(std::chrono::milliseconds bound, std::chrono::milliseconds contact);
    [[nodiscard]] std::uint64_t store_calls() const { return store_calls_; }

private:
    struct call {
        base::boot_time answered_at;
        base::boot_time given_up_at;
        bool lost = false;
        bool brief = false;
    };
    struct played_instance {
        std::optional<routing::state> state;
        table_copy copy{followed_table::operators};
        bool cut = false;
        bool mute = false;
        base::boot_time frozen_until;
        base::boot_time disturbed_at;
        bool follows = false;
        std::optional<call> open_call;
        base::boot_time next_call;
        bool calls_again = false;
        bool next_call_is_brief = false;
        int failures = 0;
        std::chrono::milliseconds longest_wait{0};
    };
    struct message {
        base::boot_time arrives_at;
        int receiver = 0;
        routing::event event;
    };

    played_instance& at(int number) { return instances_.at(static_cast<std::size_t>(number)); }
    [[nodiscard]] bool runs(const played_instance& instance) const { return instance.frozen_until <= now_; }
    void process(int number, const event& event);
    void begin_call(played_instance& instance);
    void run_call(int number);
    void report(int number, const table_change& news, bool from_store);
    void send(int sender, const model::instance_id& receiver, const event& event);

    void execute(int number, const follow_store& effect);
    void execute(int number, const catch_up& effect);
    void execute(int number, const apply_table_change& effect);
    void execute(int number, const send_heartbeat& effect);
    void execute(int number, const send_table_change& effect);
    void execute(int number, const request_table_changes& effect);
    void execute(int number, const send_known_changes& effect);
    template <class Other>
    void execute(int /*number*/, const Other& /*effect*/) {}

    std::mt19937_64 random_;
    base::boot_time now_{100s};
    std::vector<played_instance> instances_;
    std::map<model::instance_id, int> numbers_;
    std::deque<message> messages_;
    double lost_share_ = 0;
    std::uint64_t version_ = 1;
    /// When each version was written.
    std::map<std::uint64_t, base::boot_time> written_at_;
    std::uint64_t store_calls_ = 0;
};

} // namespace lovagetack::routing::testing
