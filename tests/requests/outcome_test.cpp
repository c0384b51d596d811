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

// Guards against the outcome "not run" for a request that a server may have executed, over all combinations of fields.
TEST_CASE("not run is reported only if the request cannot have run") {
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

// Guards against executing a non-idempotent request twice.
TEST_CASE("a non-idempotent request is not sent again after bytes were sent") {
    for (const auto outcome : failures) {
        for (const bool reused : {false, true}) {
            auto tested = fixture::ready();
            const auto exchange = tested.request(store, false, 1s);
            auto ended = tested.ended(tested.attempt_of(exchange).value(), outcome);
            ended.bytes_sent = true;
            ended.reused_connection = reused;
            tested.sending(tested.attempt_of(exchange).value());
            tested.apply(ended);
            tested.advance(2s);
            const bool refused = outcome == attempt_outcome::refused;
            CHECK(tested.attempts_of(exchange) == (refused ? 2 : 1));
            if (!refused) {
                REQUIRE(tested.answer_of(exchange));
                CHECK(tested.answer_of(exchange)->outcome != requests::outcome::not_run);
            }
        }
    }
}

// Guards against an error for a request that another server could serve without the risk of a second execution.
TEST_CASE("a request that certainly did not run is sent to another server") {
    auto tested = fixture::ready();
    const auto exchange = tested.request(store, false);
    const auto first = tested.attempt_of(exchange).value();
    tested.apply(tested.ended(first, attempt_outcome::connect_failed));
    REQUIRE(tested.attempts_of(exchange) == 2);
    CHECK(tested.attempt_of(exchange)->backend_server != first.backend_server);
}

// Guards against the outcome "not run" after a refused retry although the first attempt may have run.
TEST_CASE("not run is not reported if an earlier attempt may have run") {
    auto tested = fixture::ready();
    const auto exchange = tested.request(store, true, 1s);
    tested.apply(tested.ended(tested.attempt_of(exchange).value(), attempt_outcome::connection_lost));
    REQUIRE(tested.attempts_of(exchange) == 2);
    auto refused = tested.ended(tested.attempt_of(exchange).value(), attempt_outcome::refused);
    refused.can_resend = false;
    tested.apply(refused);
    REQUIRE(tested.answer_of(exchange));
    CHECK(tested.answer_of(exchange)->outcome == outcome::unknown);
}

// Guards against a request that fails because the owner of its key changed during the attempt.
TEST_CASE("a request refused by the former owner is sent to the new one") {
    auto tested = fixture::ready();
    const auto exchange = tested.request(board, false, 5s);
    auto refused = tested.ended(tested.attempt_of(exchange).value(), attempt_outcome::refused);
    refused.status = 421;
    tested.apply(refused);
    CHECK(tested.attempts_of(exchange) == 1);
    tested.route_all(fixture::id(board, 1), 2);
    REQUIRE(tested.attempts_of(exchange) == 2);
    CHECK(tested.attempt_of(exchange)->backend_server == fixture::id(board, 1));
}

// Guards against a wrong outcome "not run" and a missing cancellation when the deadline passes.
TEST_CASE("a passed deadline cancels the attempt and reports the right outcome") {
    auto tested = fixture::ready();
    const bool sent = GENERATE(false, true);
    const auto exchange = tested.request(board, false, 200ms);
    if (sent) {
        tested.sending(tested.attempt_of(exchange).value());
    }
    tested.advance(220ms);
    REQUIRE(tested.answer_of(exchange));
    CHECK(tested.answer_of(exchange)->outcome == (sent ? outcome::unknown : outcome::not_run));
    CHECK(tested.answer_of(exchange)->code == number_of(result_code::request_deadline_passed));
    REQUIRE(tested.all<cancel_attempt>().size() == 1);
    CHECK(tested.all<cancel_attempt>().front().notify == sent);
}

// Guards against reusing the slot of a request that the server may still execute.
TEST_CASE("the slot of a cancelled request is held until the cancellation has arrived") {
    auto tested = fixture::ready();
    const auto first = tested.request(board, true);
    const auto second = tested.request(board, true);
    const auto queued = tested.request(board, true);
    tested.sending(tested.attempt_of(first).value());
    tested.sending(tested.attempt_of(second).value());
    tested.apply(caller_left{first});
    CHECK(tested.all<cancel_attempt>().size() == 1);
    CHECK(tested.attempts_of(queued) == 0);
    tested.advance(100ms);
    CHECK(tested.attempts_of(queued) == 1);
}

// Guards against cutting off an answer because a large file takes longer than the deadline.
TEST_CASE("an answer that has begun is not ended by the deadline") {
    auto tested = fixture::ready();
    const auto exchange = tested.request(board, true, 100ms);
    const auto started = tested.attempt_of(exchange).value();
    tested.sending(started);
    tested.apply(attempt_answering{exchange, started.attempt, 200});
    tested.advance(1s);
    CHECK_FALSE(tested.answer_of(exchange));
    tested.finish(exchange);
    CHECK(requests_in_flight(tested.state) == 0);
}

// Guards against reporting a service as unknown only because the instance has just started.
TEST_CASE("requests before the first configuration are refused, and their service is not reported as unknown") {
    fixture tested;
    const auto early = tested.request(board, true);
    REQUIRE(tested.answer_of(early));
    CHECK(tested.answer_of(early)->status == 503);
    CHECK(tested.answer_of(early)->code == number_of(result_code::instance_not_ready));
    CHECK(tested.answer_of(early)->outcome == outcome::not_run);
    CHECK(tested.answer_of(early)->retry_after > 0s);
}

// Guards against taking a server for unreachable, and against a waiting caller, because one connection went silent.
TEST_CASE("a silent connection is replaced and its server stays in use") {
    auto tested = fixture::ready(1);
    const auto read = tested.request(board, true);
    const auto write = tested.request(board, false);
    for (const auto exchange : {read, write}) {
        tested.sending(tested.attempt_of(exchange).value());
    }
    tested.advance(260ms);
    REQUIRE(tested.all<probe_connection>().size() == 1);
    tested.apply(connection_probed{fixture::id(board, 0), true});
    // A slow write must still be answered by its backend server.
    CHECK_FALSE(tested.answer_of(write));
    tested.advance(100ms);
    REQUIRE(tested.attempts_of(read) == 2);
    CHECK(tested.attempt_of(read)->fresh_connection);
    CHECK(backend_servers(tested.state, tested.now).front().ramp_rate == 0);
    tested.finish(read);
    CHECK_FALSE(tested.answer_of(read));
    tested.advance(10s);
    REQUIRE(tested.answer_of(write));
    CHECK(tested.answer_of(write)->outcome == outcome::unknown);
    CHECK(tested.answer_of(write)->code == number_of(result_code::request_deadline_passed));
    CHECK(tested.attempts_of(write) == 1);
}

// Guards against closing connections of a server that does not answer new ones either; failover handles that server.
TEST_CASE("an unreachable server keeps its attempts until its keys have a new owner") {
    auto tested = fixture::ready();
    const auto exchange = tested.request(board, true);
    tested.sending(tested.attempt_of(exchange).value());
    tested.advance(300ms);
    tested.apply(connection_probed{fixture::id(board, 0), false});
    CHECK(tested.attempts_of(exchange) == 1);
    CHECK(tested.all<cancel_attempt>().empty());
    tested.route_all(fixture::id(board, 1), 2);
    REQUIRE(tested.attempts_of(exchange) == 2);
    CHECK(tested.attempt_of(exchange)->backend_server == fixture::id(board, 1));
}

} // namespace
} // namespace lovagetack::requests::testing
