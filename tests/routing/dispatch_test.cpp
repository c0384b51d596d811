#include <catch2/catch.hpp>

#include "routing/load_play.hpp"

namespace lovagetack::routing::testing {
namespace {

double share(int part, int whole) {
    return static_cast<double>(part) / std::max(1, whole);
}

load_play::results play(const load_play::plan& plan) {
    load_play load(plan);
    load.run_for(20s);
    load.stop_arrivals();
    load.run_for(5s);
    const auto& result = load.outcome();
    // Every request ends.
    REQUIRE(result.in_time + result.late + result.refused + result.unknown == result.requests);
    return result;
}

} // namespace

// The load that this answers: many instances that share servers whose slots are half busy.
TEST_CASE("servers reject hardly anything at half load, and callers get their answers in time") {
    load_play::plan plan;
    plan.uses_dispatchers = false;
    const auto before = play(plan);
    plan.uses_dispatchers = true;
    const auto after = play(plan);
    INFO("before: rejected " << before.rejected_by_servers << " of " << before.arrivals << ", in time "
                             << before.in_time << " of " << before.requests);
    INFO("after: rejected " << after.rejected_by_servers << " of " << after.arrivals << ", in time " << after.in_time
                            << " of " << after.requests << ", unknown " << after.unknown);
    REQUIRE(share(after.rejected_by_servers, after.arrivals) < 0.02);
    REQUIRE(share(after.in_time, after.requests) > 0.97);
    REQUIRE(share(after.unknown, after.requests) < 0.01);
    REQUIRE(share(after.in_time, after.requests) >= share(before.in_time, before.requests));
    // Messages grow with the requests: asked, answered, given back, and the reports.
    REQUIRE(after.messages < before.messages + 6 * after.requests);
}

TEST_CASE("under overload the slots stay busy, and what cannot be served is refused at once") {
    load_play::plan plan;
    // 128 slots take 640 requests a second.
    plan.rate = 1000;
    plan.uses_dispatchers = false;
    const auto before = play(plan);
    plan.uses_dispatchers = true;
    const auto after = play(plan);
    INFO("before: in time " << before.in_time << ", refused " << before.refused << ", unknown " << before.unknown);
    INFO("after: in time " << after.in_time << ", late " << after.late << ", refused " << after.refused << ", unknown "
                           << after.unknown << ", rejected " << after.rejected_by_servers);
    REQUIRE(after.in_time + after.late > 20 * 640 * 0.9);
    REQUIRE(after.in_time >= before.in_time);
    REQUIRE(share(after.unknown, after.requests) < 0.01);
    // Most refusals come at once; the others when a queue moved slower than expected.
    REQUIRE(share(after.refused_late, after.refused) < 0.1);
}

TEST_CASE("a dispatcher that is lost or frozen is passed over") {
    const auto kill = GENERATE(true, false);
    load_play::plan plan;
    plan.seed = 3;
    load_play load(plan);
    load.run_for(5s);
    const auto before = load.outcome();
    if (kill) {
        load.kill(load.busiest_dispatcher());
    } else {
        load.freeze(load.busiest_dispatcher(), 4s);
    }
    load.run_for(10s);
    load.stop_arrivals();
    load.run_for(5s);
    const auto& after = load.outcome();
    const int requests = after.requests - before.requests;
    INFO("requests " << requests << ", in time " << after.in_time - before.in_time << ", refused " << after.refused
                     << ", unknown " << after.unknown << ", rejected " << after.rejected_by_servers);
    REQUIRE(share(after.in_time - before.in_time, requests) > 0.95);
    REQUIRE(share(after.rejected_by_servers, after.arrivals) < 0.02);
}

TEST_CASE("slots of a lost instance are free again, and none stays in use when all requests have ended") {
    load_play::plan plan;
    plan.lost_messages = 0.1;
    plan.seed = 5;
    load_play load(plan);
    load.run_for(5s);
    load.kill(7);
    load.run_for(3s);
    load.stop_arrivals();
    load.run_for(8s);
    for (int instance = 0; instance < load.instances(); ++instance) {
        if (instance != 7) {
            REQUIRE(load.state_of(instance).dispatch.slots.empty());
            REQUIRE(load.state_of(instance).dispatch.used.empty());
            REQUIRE(load.state_of(instance).dispatch.queues.empty());
            REQUIRE(load.state_of(instance).dispatch.asks.empty());
            REQUIRE(load.state_of(instance).exchanges.empty());
        }
    }
}

TEST_CASE("a slow server gets fewer requests than its group") {
    load_play::plan plan;
    plan.seed = 6;
    load_play load(plan);
    for (int server = 0; server < 8; ++server) {
        load.set_work(server, 900ms);
    }
    load.run_for(20s);
    load.stop_arrivals();
    load.run_for(5s);
    const auto& result = load.outcome();
    INFO("in time " << result.in_time << " of " << result.requests << ", rejected " << result.rejected_by_servers);
    REQUIRE(share(result.in_time, result.requests) > 0.9);
    REQUIRE(share(result.rejected_by_servers, result.arrivals) < 0.02);
}

} // namespace lovagetack::routing::testing
