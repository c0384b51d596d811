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

// Guards against a dispatcher that goes on giving out the slots of a server that leaves, and against an instance that
// takes one although the server has told it so itself.
TEST_CASE("a server that says that it leaves gets no more slots; and none is used where it has said so", "[signals]") {
    load_play::plan plan;
    plan.seed = 8;
    // Each call of run_for adds requests at this rate.
    plan.rate = 100;
    plan.uses_dispatchers = GENERATE(true, false);
    plan.lost_messages = GENERATE(0.0, 0.3);
    load_play load(plan);
    load.run_for(3s);
    for (int server = 0; server < 8; ++server) {
        load.say_leaving(server);
    }
    load.run_for(3s);
    const auto before = load.outcome();
    load.run_for(6s);
    const auto& after = load.outcome();
    INFO("dispatchers " << plan.uses_dispatchers << ", lost " << plan.lost_messages << ", arrivals in the first 3 s "
                        << before.at_leaving << ", later " << after.at_leaving - before.at_leaving);
    CHECK(before.at_leaving > 0);
    CHECK(after.late_at_leaving == 0);
    // Without dispatchers an instance of the other data centre learns it from its own first answer only.
    if (plan.uses_dispatchers && plan.lost_messages == 0) {
        CHECK(after.at_leaving == before.at_leaving);
    }
    // Without dispatchers servers reject requests at this load in any case.
    if (plan.uses_dispatchers) {
        CHECK(share(after.in_time - before.in_time, after.requests - before.requests) > 0.9);
    }
}

// Guards against slots of a server that are given to an instance of which the server wants nothing for some time.
TEST_CASE("an instance uses no slot of a server that has asked it for a pause", "[signals]") {
    load_play::plan plan;
    plan.seed = 9;
    plan.uses_dispatchers = GENERATE(true, false);
    // Near the limit of 640 requests a second, so that dispatchers need each server.
    plan.rate = plan.uses_dispatchers ? 500 : 200;
    load_play load(plan);
    for (int server = 0; server < 6; ++server) {
        load.turn_away(server, 200ms, 3000ms);
    }
    load.run_for(10s);
    load.stop_arrivals();
    load.run_for(5s);
    const auto& result = load.outcome();
    INFO("dispatchers " << plan.uses_dispatchers << ", turned away " << result.turned_away << ", in time "
                        << result.in_time << " of " << result.requests << ", rejected " << result.rejected_by_servers);
    CHECK(result.turned_away > 0);
    CHECK(result.in_pause == 0);
    CHECK(share(result.in_time, result.requests) > 0.8);
    CHECK(result.in_time + result.late + result.refused + result.unknown == result.requests);
}

// Guards against a dispatcher that does not take over what an instance has heard and reports with its slot.
TEST_CASE("a dispatcher gives out no slot of a server whose leaving is reported with a slot", "[signals]") {
    load_play::plan plan;
    plan.servers_each = 1;
    load_play load(plan);
    load.run_for(100ms);
    auto& state = load.state_of(0);
    const base::boot_time now(200s);
    const auto ask = [&state, now](std::uint64_t number) {
        slot_request request;
        request.sender = model::instance_id("instance-2");
        request.incarnation = 1;
        request.ask = number;
        request.service = model::service_id("book");
        request.data_centre = model::data_centre_id("north");
        request.patience = 500ms;
        for (const auto& effect : reduce(state, now, request)) {
            if (const auto* answer = std::get_if<send_slot_answer>(&effect)) {
                return answer->answer.outcome;
            }
        }
        return slot_outcome::queued;
    };
    const auto report = [&state, now](std::uint64_t born) {
        attempt_summary attempt;
        attempt.outcome = attempt_outcome::delivered;
        attempt.status = 200;
        attempt.signals.leaving = true;
        attempt.server_born = born;
        (void)reduce(state, now,
                     slot_release{model::instance_id("instance-2"), 1, 1, model::backend_server_id("book-0"), attempt});
    };
    REQUIRE(ask(1) == slot_outcome::granted);
    SECTION("the word of the present run") {
        report(7);
        CHECK(ask(2) == slot_outcome::refused);
    }
    SECTION("but not that of a former one") {
        report(6);
        CHECK(ask(2) == slot_outcome::granted);
    }
}

} // namespace lovagetack::routing::testing
