#include <catch2/catch.hpp>

#include "fixture.hpp"
#include "requests/outcome_table.hpp"

namespace lovagetack::requests::testing {
namespace {

using base::result_code;

constexpr std::array<attempt_outcome, 7> failures = {
    attempt_outcome::refused,      attempt_outcome::connect_failed, attempt_outcome::connection_lost,
    attempt_outcome::cut_short,    attempt_outcome::malformed,      attempt_outcome::outcome_unknown,
    attempt_outcome::relay_failed,
};

// Guards against "not run" for a request that a server may have executed, over every combination.
TEST_CASE("not run is told only when nothing can have run") {
    for (const auto outcome : failures) {
        for (const bool bytes_sent : {false, true}) {
            for (const bool relay : {false, true}) {
                attempt_ended ended;
                ended.outcome = outcome;
                ended.bytes_sent = bytes_sent;
                const bool lost = outcome == attempt_outcome::connection_lost;
                const bool expected = outcome == attempt_outcome::refused ||
                                      ((lost || outcome == attempt_outcome::connect_failed) && !bytes_sent);
                const auto classification = classify(ended, relay);
                CHECK(classification.surely_not_run == expected);
                CHECK((classification.caller_outcome == requests::outcome::not_run) == expected);
            }
        }
    }
}

// Guards against a payment that is executed twice.
TEST_CASE("a non-idempotent request is not sent again after bytes were sent") {
    for (const auto outcome : failures) {
        for (const bool reused : {false, true}) {
            auto world = fixture::ready();
            const auto exchange = world.request(store, false, 1s);
            auto ended = world.ended(world.attempt_of(exchange).value(), outcome);
            ended.bytes_sent = true;
            ended.reused_connection = reused;
            world.sending(world.attempt_of(exchange).value());
            world.apply(ended);
            world.pass(2s);
            const bool refused = outcome == attempt_outcome::refused;
            CHECK(world.attempts_of(exchange) == (refused ? 2 : 1));
            if (!refused) {
                REQUIRE(world.answer_of(exchange));
                CHECK(world.answer_of(exchange)->outcome != requests::outcome::not_run);
            }
        }
    }
}

// Guards against an error for a request that another server could have served without any risk.
TEST_CASE("a request that surely did not run is sent to another server") {
    auto world = fixture::ready();
    const auto exchange = world.request(store, false);
    const auto first = world.attempt_of(exchange).value();
    world.apply(world.ended(first, attempt_outcome::connect_failed));
    REQUIRE(world.attempts_of(exchange) == 2);
    CHECK(world.attempt_of(exchange)->backend_server != first.backend_server);
}

// Guards against "not run" after a retry was refused although the first attempt may have run.
TEST_CASE("not run is not told when an earlier attempt may have run") {
    auto world = fixture::ready();
    const auto exchange = world.request(store, true, 1s);
    world.apply(world.ended(world.attempt_of(exchange).value(), attempt_outcome::connection_lost));
    REQUIRE(world.attempts_of(exchange) == 2);
    auto refused = world.ended(world.attempt_of(exchange).value(), attempt_outcome::refused);
    refused.can_resend = false;
    world.apply(refused);
    REQUIRE(world.answer_of(exchange));
    CHECK(world.answer_of(exchange)->outcome == outcome::unknown);
}

// Guards against a request that fails because its key moved while it was on its way.
TEST_CASE("a request refused by the former owner is sent to the new one") {
    auto world = fixture::ready();
    const auto exchange = world.request(board, false, 5s);
    auto refused = world.ended(world.attempt_of(exchange).value(), attempt_outcome::refused);
    refused.status = 421;
    world.apply(refused);
    CHECK(world.attempts_of(exchange) == 1);
    world.route_all(fixture::id(board, 1), 2);
    REQUIRE(world.attempts_of(exchange) == 2);
    CHECK(world.attempt_of(exchange)->backend_server == fixture::id(board, 1));
}

// Guards against a false "not run" and a missing cancellation when the deadline passes.
TEST_CASE("a passed deadline cancels the attempt and tells the truth") {
    auto world = fixture::ready();
    const bool sent = GENERATE(false, true);
    const auto exchange = world.request(board, false, 200ms);
    if (sent) {
        world.sending(world.attempt_of(exchange).value());
    }
    world.pass(220ms);
    REQUIRE(world.answer_of(exchange));
    CHECK(world.answer_of(exchange)->outcome == (sent ? outcome::unknown : outcome::not_run));
    CHECK(world.answer_of(exchange)->code == number_of(result_code::request_deadline_passed));
    REQUIRE(world.all<cancel_attempt>().size() == 1);
    CHECK(world.all<cancel_attempt>().front().notify == sent);
}

// Guards against a second request in the slot of one that the server may still be executing.
TEST_CASE("the slot of a cancelled request is held until the cancellation has arrived") {
    auto world = fixture::ready();
    const auto first = world.request(board, true);
    const auto second = world.request(board, true);
    const auto queued = world.request(board, true);
    world.sending(world.attempt_of(first).value());
    world.sending(world.attempt_of(second).value());
    world.apply(caller_left{first});
    CHECK(world.all<cancel_attempt>().size() == 1);
    CHECK(world.attempts_of(queued) == 0);
    world.pass(100ms);
    CHECK(world.attempts_of(queued) == 1);
}

// Guards against an answer that is cut off because a large file takes longer than the deadline.
TEST_CASE("an answer that has begun is not ended by the deadline") {
    auto world = fixture::ready();
    const auto exchange = world.request(board, true, 100ms);
    const auto started = world.attempt_of(exchange).value();
    world.sending(started);
    world.apply(attempt_answering{exchange, started.attempt, 200});
    world.pass(1s);
    CHECK_FALSE(world.answer_of(exchange));
    world.finish(exchange);
    CHECK(requests_in_flight(world.state) == 0);
}

// Guards against a caller that takes its service for gone because the instance has just started.
TEST_CASE("before the configuration is known requests are refused, not unknown") {
    fixture world;
    const auto early = world.request(board, true);
    REQUIRE(world.answer_of(early));
    CHECK(world.answer_of(early)->status == 503);
    CHECK(world.answer_of(early)->code == number_of(result_code::instance_not_ready));
    CHECK(world.answer_of(early)->outcome == outcome::not_run);
    CHECK(world.answer_of(early)->retry_after > 0s);
}

// Guards against a server that is condemned, or a caller that waits, because one open connection went silent.
TEST_CASE("a silent connection is replaced without condemning the server") {
    auto world = fixture::ready(1);
    const auto read = world.request(board, true);
    const auto write = world.request(board, false);
    for (const auto exchange : {read, write}) {
        world.sending(world.attempt_of(exchange).value());
    }
    world.pass(260ms);
    REQUIRE(world.all<probe_connection>().size() == 1);
    world.apply(connection_probed{fixture::id(board, 0), true});
    // A write that only takes long must still be answered by its backend server.
    CHECK_FALSE(world.answer_of(write));
    world.pass(100ms);
    REQUIRE(world.attempts_of(read) == 2);
    CHECK(world.attempt_of(read)->fresh_connection);
    CHECK(backend_servers(world.state, world.now).front().ramp_rate == 0);
    world.finish(read);
    CHECK_FALSE(world.answer_of(read));
    world.pass(10s);
    REQUIRE(world.answer_of(write));
    CHECK(world.answer_of(write)->outcome == outcome::unknown);
    CHECK(world.answer_of(write)->code == number_of(result_code::request_deadline_passed));
    CHECK(world.attempts_of(write) == 1);
}

// Guards against closing connections of a server that does not answer new ones either: failover decides then.
TEST_CASE("an unreachable server keeps its attempts until its keys have a new owner") {
    auto world = fixture::ready();
    const auto exchange = world.request(board, true);
    world.sending(world.attempt_of(exchange).value());
    world.pass(300ms);
    world.apply(connection_probed{fixture::id(board, 0), false});
    CHECK(world.attempts_of(exchange) == 1);
    CHECK(world.all<cancel_attempt>().empty());
    world.route_all(fixture::id(board, 1), 2);
    REQUIRE(world.attempts_of(exchange) == 2);
    CHECK(world.attempt_of(exchange)->backend_server == fixture::id(board, 1));
}

} // namespace
} // namespace lovagetack::requests::testing
