#include <catch2/catch.hpp>

#include <random>

#include "routing/table_play.hpp"

namespace lovagetack::routing::testing {
namespace {

/// What the operators count on: a change is in force this long after it was acknowledged, at every instance that has
/// been in touch for the contact time.
constexpr auto apply_time = 2000ms;
constexpr auto contact_time = 3000ms;

void require_in_force_in_time(table_play& play, std::chrono::milliseconds time) {
    for (const auto end = play.now() + time; play.now() < end;) {
        play.run_for(50ms);
        REQUIRE(play.late(apply_time, contact_time) == std::vector<std::string>());
    }
}

} // namespace

TEST_CASE("a change is in force in time when messages of one instance are lost") {
    table_play play(3, 10, 1);
    // Far from becoming a reader.
    constexpr int follower = 20;
    play.set_mute(follower, true);
    play.lose_messages(0.5);
    for (int round = 0; round < 10; ++round) {
        play.change();
        require_in_force_in_time(play, 2500ms);
    }
}

TEST_CASE("a change is in force in time when all readers are cut off from the store") {
    table_play play(3, 10, 2);
    for (int reader = 0; reader < 6; ++reader) {
        play.set_store_cut(reader, true);
    }
    play.run_for(100ms);
    play.change();
    require_in_force_in_time(play, 4s);
}

TEST_CASE("a change is in force in time when the calls of all instances to the store go silent") {
    const int phase = GENERATE(range(0, 4000, 400));
    table_play play(3, 10, 3);
    play.run_for(std::chrono::milliseconds(phase));
    for (int number = 0; number < play.instances(); ++number) {
        play.silence_calls(number);
    }
    play.run_for(500ms);
    play.change();
    require_in_force_in_time(play, 6s);
}

// Readers come, go and hang while the time of the change passes through the end of a partition.
TEST_CASE("a change beside the end of a partition is in force in time") {
    const int offset = GENERATE(range(-300, 310, 20));
    table_play play(3, 10, static_cast<std::uint64_t>(1000 + offset));
    std::mt19937_64 random(static_cast<std::uint64_t>(2000 + offset));
    play.lose_messages(0.05);
    std::vector<int> cut;
    for (int number = 0; number < play.instances(); ++number) {
        if (number < 3 || random() % 3 == 0) {
            cut.push_back(number);
        }
    }
    // Each of them returns now and then, so that readers change all the while.
    for (int turn = 0; turn < 40; ++turn) {
        for (const auto number : cut) {
            play.set_store_cut(number, random() % 4 != 0);
        }
        play.run_for(100ms);
    }
    play.freeze(static_cast<int>(random() % 6), 1500ms);
    if (offset < 0) {
        play.change();
        play.run_for(std::chrono::milliseconds(-offset));
    }
    for (const auto number : cut) {
        play.set_store_cut(number, false);
    }
    if (offset >= 0) {
        play.run_for(std::chrono::milliseconds(offset));
        play.change();
    }
    require_in_force_in_time(play, 6s);
}

} // namespace lovagetack::routing::testing
