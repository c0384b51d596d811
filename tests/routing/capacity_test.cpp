#include <catch2/catch.hpp>

#include "routing/load_play.hpp"

namespace lovagetack::routing::testing {
namespace {

double share(int part, int whole) {
    return static_cast<double>(part) / std::max(1, whole);
}

/// Plays the load with learned capacity or without, after `change` has set up the servers.
template <class Change>
load_play::results play(load_play::plan plan, bool learns_capacity, const Change& change) {
    plan.learns_capacity = learns_capacity;
    load_play load(plan);
    change(load);
    load.run_for(15s);
    load.stop_arrivals();
    load.run_for(5s);
    const auto& result = load.outcome();
    REQUIRE(result.in_time + result.late + result.refused + result.unknown == result.requests);
    UNSCOPED_INFO((learns_capacity ? "learned: " : "as registered: ")
                  << "requests " << result.requests << ", in time " << result.in_time << ", late " << result.late
                  << ", refused " << result.refused << ", unknown " << result.unknown << ", rejected "
                  << result.rejected_by_servers << " of " << result.arrivals);
    return result;
}

} // namespace

// The load that this answers: a group of servers that reject half of what they get, while the others have room.
TEST_CASE("servers that reject half of their requests get few of them") {
    load_play::plan plan;
    plan.rate = 380;
    const auto change = [](load_play& load) {
        for (int server = 0; server < 10; ++server) {
            load.set_rejecting(server, 0.45);
        }
    };
    const auto before = play(plan, false, change);
    const auto after = play(plan, true, change);
    CHECK(share(after.rejected_by_servers, after.arrivals) < 0.02);
    CHECK(after.rejected_by_servers * 2 < before.rejected_by_servers);
    CHECK(after.refused <= before.refused);
    CHECK(share(after.in_time, after.requests) >= share(before.in_time, before.requests));
}

// The load that this answers: more than half of a group rejects, so that the others cannot take the load.
TEST_CASE("servers that reject requests still serve when the others are too few") {
    load_play::plan plan;
    plan.rate = 300;
    const auto change = [](load_play& load) {
        for (int server = 0; server < 44; ++server) {
            load.set_rejecting(server, 0.3);
        }
    };
    const auto before = play(plan, false, change);
    const auto after = play(plan, true, change);
    CHECK(share(after.in_time, after.requests) >= share(before.in_time, before.requests) - 0.02);
}

// The load that this answers: a burst on servers that slow down long before their slots are in use.
TEST_CASE("servers that slow down before they are full get what they take well") {
    load_play::plan plan;
    plan.instances_each = 10;
    plan.servers_each = 16;
    plan.slots = 8;
    plan.rate = 750;
    const auto change = [](load_play& load) {
        for (int server = 0; server < 32; ++server) {
            load.set_most_at_once(server, server % 2 == 0 ? 3 : 0);
        }
    };
    const auto before = play(plan, false, change);
    const auto after = play(plan, true, change);
    CHECK(after.in_time > before.in_time);
    CHECK(after.late < before.late);
}

// Guards against lost room: learning must not lower what servers that take all their slots well are sent.
TEST_CASE("servers of different speed that take all their slots are used as before or better") {
    load_play::plan plan;
    plan.rate = GENERATE(400, 900);
    const auto change = [](load_play& load) {
        for (int server = 0; server < 64; ++server) {
            load.set_work(server, server % 3 == 0 ? 330ms : (server % 3 == 1 ? 200ms : 125ms));
        }
    };
    const auto before = play(plan, false, change);
    const auto after = play(plan, true, change);
    CHECK(after.in_time + after.late >= (before.in_time + before.late) * 0.98);
    CHECK(after.in_time >= before.in_time * 0.98);
}

} // namespace lovagetack::routing::testing
