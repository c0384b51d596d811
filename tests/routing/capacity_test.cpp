#include <catch2/catch.hpp>

#include "routing/load_play.hpp"
#include "routing/servers.hpp"
#include "routing/single_instance.hpp"

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
    CHECK(share(after.in_time, after.requests) > share(before.in_time, before.requests));
    CHECK(share(after.late, after.requests) < share(before.late, before.requests));
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
    CHECK(share(after.refused, after.requests) <= share(before.refused, before.requests) + 0.02);
    CHECK(share(after.in_time, after.requests) >= share(before.in_time, before.requests) - 0.02);
}

// Guards against a server that fails at once and gets more work for it, since it looks fast.
TEST_CASE("errors that come fast do not make a server look fast, and back it off") {
    instance instance;
    auto& state = instance.state();
    for (std::size_t number = 0; number <= small_deployment; ++number) {
        state.instances[model::instance_id("other-" + std::to_string(number))] = {
            model::data_centre_id("north"), 1, {}};
    }
    REQUIRE(learns_capacity(state));
    auto& server = state.servers.at(model::backend_server_id("book-0"));
    auto now = instance.now();
    const auto end_attempts = [&](int count, int status, attempt_outcome outcome, std::chrono::microseconds work) {
        for (int number = 0; number < count; ++number) {
            now += 50ms;
            step step{state, now, {}};
            record_outcome(step, server, {0, {}, outcome, status, true, reported_load{0, 0, 2, 100}}, work);
        }
    };
    end_attempts(100, 200, attempt_outcome::delivered, 200ms);
    const auto before = usual_time(state, server, now);
    const auto capacity_before = throughput(state, server, now);
    end_attempts(10, 404, attempt_outcome::delivered, 1ms);
    CHECK(usual_time(state, server, now) >= before * 9 / 10);
    CHECK_FALSE(server.backoff.active());
    end_attempts(10, 500, attempt_outcome::failed, 1ms);
    CHECK(usual_time(state, server, now) >= before * 9 / 10);
    CHECK(server.backoff.active());
    CHECK(throughput(state, server, now) < capacity_before / 2);
}

// Guards against a server that looks slow because a caller reads its answer slowly.
TEST_CASE("the time of work ends when the answer begins") {
    instance instance(1);
    const auto id = instance.request("/get/1");
    const auto attempt = instance.sent(id).back().attempt;
    instance.process_event(attempt_sent{id, attempt});
    instance.advance_time(100ms);
    instance.process_event(answer_forwarding_started{id, attempt});
    instance.advance_time(800ms);
    instance.process_event(
        attempt_ended{id, attempt, attempt_outcome::delivered, 200, false, reported_load{0, 0, 2, 100}});
    const auto& server = instance.state().servers.at(model::backend_server_id("book-0"));
    REQUIRE(server.capacity.known());
    CHECK(server.capacity.recent() <= 110ms);
}

} // namespace lovagetack::routing::testing
