#include <catch2/catch.hpp>

#include <algorithm>
#include <map>

#include "routing/limits.hpp"
#include "routing/reduce.hpp"
#include "routing/samples.hpp"

namespace lovagetack::routing::testing {
namespace {

using namespace std::chrono_literals;

const std::string north("north");
const std::string south("south");

constexpr auto beat_time = std::chrono::duration_cast<std::chrono::milliseconds>(heartbeat_period);

model::instance_id name_of(const std::string& data_centre, int number) {
    return model::instance_id(data_centre + '-' + std::to_string(number));
}

/// An instance of a deployment with `count` instances in each of two data centres, which knows all tables. Lower
/// numbers have more processor time, so that their rank is the number.
class instance {
public:
    instance(const std::string& data_centre, int number, int count = 15)
        : state_(identity{name_of(data_centre, number), model::data_centre_id(data_centre), 1, 100}, 5) {
        for (int other = 0; other < count; ++other) {
            for (const auto& place : {north, south}) {
                const auto processor = static_cast<std::uint32_t>(500 - other);
                process(instance_updated{name_of(place, other),
                                         {model::data_centre_id(place), 1, {}, processor, own_protocol}});
            }
        }
        configuration configuration;
        configuration.version = 1;
        process(configuration_updated{configuration});
        process(registry_complete{});
        process(assignments_complete{});
        tick();
    }

    void process(const event& event) {
        for (auto& effect : reduce(state_, now_, event)) {
            effects_.push_back(std::move(effect));
        }
    }
    void tick() { process(ticked{}); }
    void run_for(std::chrono::milliseconds time) {
        for (const auto end = now_ + time; now_ < end;) {
            now_ += 20ms;
            tick();
        }
    }
    /// Runs while a heartbeat of the sender arrives every heartbeat_period.
    void hear(const reader_heartbeat& heartbeat, std::chrono::milliseconds time) {
        for (const auto end = now_ + time; now_ < end;) {
            process(heartbeat);
            run_for(beat_time);
        }
    }

    template <class Effect>
    std::vector<Effect> take() {
        std::vector<Effect> found;
        for (const auto& effect : effects_) {
            if (const auto* const item = std::get_if<Effect>(&effect)) {
                found.push_back(*item);
            }
        }
        effects_.clear();
        return found;
    }
    [[nodiscard]] bool follows_store() const { return state_.readers.follows_store; }
    routing::state& state() { return state_; }

private:
    routing::state state_;
    base::boot_time now_{100s};
    effects effects_;
};

reader_heartbeat heartbeat_of(const std::string& data_centre, int number) {
    reader_heartbeat heartbeat;
    heartbeat.instance = name_of(data_centre, number);
    heartbeat.data_centre = model::data_centre_id(data_centre);
    heartbeat.reads = true;
    heartbeat.store_contact = 60s;
    return heartbeat;
}

} // namespace

TEST_CASE("one instance of each data centre follows the store") {
    for (const auto& data_centre : {north, south}) {
        REQUIRE(instance(data_centre, 0).follows_store());
        for (int number = 1; number < 15; ++number) {
            REQUIRE_FALSE(instance(data_centre, number).follows_store());
        }
    }
}

// The operators may write the first configuration after the instances have started.
TEST_CASE("a reader follows the store before there is a configuration") {
    state state(identity{name_of(north, 0), model::data_centre_id(north), 1, 100}, 5);
    const base::boot_time now(100s);
    (void)reduce(state, now, registry_complete{});
    (void)reduce(state, now, assignments_complete{});
    (void)reduce(state, now, ticked{});
    REQUIRE(state.readers.follows_store);
}

TEST_CASE("each instance of a small deployment follows the store") {
    for (int number = 0; number < 4; ++number) {
        REQUIRE(instance(north, number, 4).follows_store());
    }
}

TEST_CASE("a silent reader is replaced by the next in rank, and returns") {
    instance next(north, 1);
    next.hear(heartbeat_of(north, 0), 3s);
    REQUIRE_FALSE(next.follows_store());
    next.run_for(1100ms);
    REQUIRE(next.follows_store());
    next.hear(heartbeat_of(north, 0), 400ms);
    REQUIRE_FALSE(next.follows_store());
}

// All readers of a data centre may be lost at once. Configuration has to be in force again within two seconds.
TEST_CASE("instances that hear no reader follow the store themselves, spread over a second") {
    std::map<std::int64_t, int> started;
    for (int number = 1; number < 60; ++number) {
        instance alone(north, number, 60);
        alone.hear(heartbeat_of(north, 0), 1s);
        REQUIRE_FALSE(alone.follows_store());
        int waited = 0;
        while (!alone.follows_store()) {
            alone.run_for(20ms);
            ++waited;
            REQUIRE(waited < 150);
        }
        ++started[waited / 10];
    }
    for (const auto& [period, count] : started) {
        // Within 200 ms.
        REQUIRE(count < 25);
    }
}

TEST_CASE("a reader that does not reach the store is replaced by one that does") {
    instance next(north, 3);
    auto cut_off = heartbeat_of(north, 0);
    cut_off.store_contact = 0ms;
    next.hear(cut_off, 2s);
    REQUIRE(next.follows_store());

    instance reader(north, 0);
    REQUIRE(reader.follows_store());
    reader.process(store_reachability_changed{false});
    reader.hear(heartbeat_of(north, 3), 400ms);
    REQUIRE_FALSE(reader.follows_store());
}

TEST_CASE("a reader whose copies are no longer known to be current is replaced") {
    instance next(north, 1);
    auto silent = heartbeat_of(north, 0);
    for (int beat = 0; beat < 20 && !next.follows_store(); ++beat) {
        silent.table_ages.at(static_cast<std::size_t>(followed_table::operators)) += beat_time;
        next.hear(silent, beat_time);
    }
    REQUIRE(next.follows_store());
}

TEST_CASE("the age of a copy is told from answers of the store on") {
    instance reader(north, 0);
    reader.process(table_updated{{followed_table::operators, 0, 40, {}}, 40, true});
    reader.run_for(1000ms);
    const auto sent = reader.take<send_heartbeat>();
    REQUIRE_FALSE(sent.empty());
    const auto age = sent.back().heartbeat.table_ages.at(static_cast<std::size_t>(followed_table::operators));
    REQUIRE(age > 700ms);
    REQUIRE(age <= 1000ms);
}

TEST_CASE("a reader passes changes on to its data centre and to readers of the others") {
    instance reader(north, 0);
    reader.hear(heartbeat_of(south, 4), 200ms);
    (void)reader.take<send_table_change>();
    const table_change change{followed_table::registry, 4, 9, {{"i-1", 9, false, "text"}}};
    reader.process(table_updated{change, 9, true});
    const auto sent = reader.take<send_table_change>();
    REQUIRE(sent.size() == 1);
    REQUIRE(sent.front().change == change);
    const auto is_receiver = [&](const model::instance_id& id) {
        return std::count(sent.front().receivers.begin(), sent.front().receivers.end(), id) == 1;
    };
    for (int number = 1; number < 15; ++number) {
        REQUIRE(is_receiver(name_of(north, number)));
    }
    REQUIRE(is_receiver(name_of(south, 0)));
    REQUIRE(is_receiver(name_of(south, 4)));
    REQUIRE_FALSE(is_receiver(name_of(south, 9)));
    REQUIRE_FALSE(is_receiver(name_of(north, 0)));
}

TEST_CASE("a change that a reader hears from another data centre reaches its own instances") {
    instance reader(south, 0);
    const table_change change{followed_table::operators, 4, 9, {{"config", 9, false, "text"}}};
    reader.process(table_change_received{name_of(north, 0), change});
    REQUIRE(reader.take<apply_table_change>().size() == 1);
    reader.process(table_change_received{name_of(north, 0), change});
    const auto sent = reader.take<send_table_change>();
    REQUIRE(sent.size() == 1);
    REQUIRE(std::none_of(sent.front().receivers.begin(), sent.front().receivers.end(),
                         [](const model::instance_id& id) { return id.value().starts_with(north); }));
}

TEST_CASE("an instance notices a missed change by the versions in a heartbeat, and asks for it") {
    instance follower(north, 5);
    follower.process(table_updated{{followed_table::registry, 0, 40, {}}, 40, true});
    auto heartbeat = heartbeat_of(north, 0);
    heartbeat.tables = {0, 40, 0};
    follower.hear(heartbeat, 1s);
    REQUIRE(follower.take<request_table_changes>().empty());
    heartbeat.tables = {0, 44, 0};
    follower.hear(heartbeat, 400ms);
    const auto asked = follower.take<request_table_changes>();
    REQUIRE(asked.size() == 1);
    REQUIRE(asked.front().receiver == name_of(north, 0));
    REQUIRE(asked.front().request.table == followed_table::registry);
    REQUIRE(asked.front().request.after == 40);
    // The reader has forgotten the changes: they are read from the store.
    follower.process(table_changes_unknown{followed_table::registry});
    REQUIRE(follower.take<catch_up>().size() == 1);
}

// The operators count on a change two seconds after its acknowledgement, whatever becomes of messages between
// instances.
TEST_CASE("an instance whose requests for a missed change stay unanswered reads it from the store in time") {
    const auto table = GENERATE(followed_table::operators, followed_table::registry);
    instance follower(north, 5);
    follower.process(table_updated{{table, 0, 40, {}}, 40, true});
    auto heartbeat = heartbeat_of(north, 0);
    heartbeat.tables.at(static_cast<std::size_t>(table)) = 40;
    follower.hear(heartbeat, 3s);
    (void)follower.take<catch_up>();
    heartbeat.tables.at(static_cast<std::size_t>(table)) = 44;
    constexpr auto bound = 2000ms;
    constexpr auto call_time = 100ms;
    follower.hear(heartbeat, bound - call_time);
    const auto reads = follower.take<catch_up>();
    REQUIRE(std::any_of(reads.begin(), reads.end(), [table](const catch_up& read) { return read.table == table; }));
}

TEST_CASE("heartbeats tell all data centres that a keeper lives") {
    instance reader(south, 0);
    auto heartbeat = heartbeat_of(north, 0);
    heartbeat.keeper_age = 50ms;
    reader.hear(heartbeat, 400ms);
    const auto sent = reader.take<send_heartbeat>();
    REQUIRE_FALSE(sent.empty());
    REQUIRE(sent.back().heartbeat.keeper_age);
    // After the keeper's loss the readers do not keep the news alive among themselves.
    instance other(north, 0);
    for (int turn = 0; turn < 20; ++turn) {
        reader.run_for(200ms);
        other.run_for(200ms);
        for (const auto& item : reader.take<send_heartbeat>()) {
            other.process(item.heartbeat);
        }
        for (const auto& item : other.take<send_heartbeat>()) {
            reader.process(item.heartbeat);
        }
    }
    reader.run_for(200ms);
    REQUIRE_FALSE(reader.take<send_heartbeat>().back().heartbeat.keeper_age);
}

} // namespace lovagetack::routing::testing
