#include <catch2/catch.hpp>

#include "base/key_hash.hpp"
#include "fixture.hpp"

namespace lovagetack::requests::testing {
namespace {

using base::result_code;

// Guards against sending a request to a server other than the owner, or without the owner's fence.
TEST_CASE("a keyed request goes to the active owner with its fence") {
    auto tested = fixture::ready();
    tested.route_all(fixture::id(board, 1), 9);
    const auto exchange = tested.request(board, true);
    const auto started = tested.attempt_of(exchange);
    REQUIRE(started);
    CHECK(started->backend_server == fixture::id(board, 1));
    CHECK(started->fence == model::fence{model::epoch(1), 9});
    CHECK(started->relay_to.empty());
    tested.finish(exchange);
    CHECK_FALSE(tested.answer_of(exchange));
    CHECK(requests_in_flight(tested.state) == 0);
}

// Guards against instances that compute different homes, which would exceed slots and connection limits.
TEST_CASE("the home is the live instance with the highest rendezvous score") {
    auto tested = fixture::ready(8);
    tested.set_members({self_id, other_id});
    for (int number = 0; number < 8; ++number) {
        const auto id = fixture::id(store, number);
        const bool self_scores =
            base::rendezvous_score(id.value(), self_id.value()) > base::rendezvous_score(id.value(), other_id.value());
        CHECK(home_of(tested.state, id) == (self_scores ? self_id : other_id));
    }
}

// Guards against sending from an instance that is not home, which would bypass the slots of the backend server.
TEST_CASE("a request for a server with another home instance is relayed to it") {
    auto tested = fixture::ready();
    tested.set_members({other_id});
    const auto exchange = tested.request(board, true, 1s);
    const auto started = tested.attempt_of(exchange);
    REQUIRE(started);
    CHECK(started->relay_to == other_id);
    CHECK(started->address.port == 2000);
    CHECK(started->deadline < 1s);
}

// Guards against a relay loop and against sending to a server that has another home.
TEST_CASE("a relayed request is refused by an instance that is not home") {
    auto tested = fixture::ready();
    tested.set_members({other_id});
    caller_request relayed;
    relayed.service = board;
    relayed.relayed_by = model::instance_id("instance-c");
    relayed.relay_target = fixture::id(board, 0);
    const auto exchange = tested.request(relayed);
    const auto answer = tested.answer_of(exchange);
    REQUIRE(answer);
    CHECK(answer->outcome == outcome::not_run);
    CHECK(answer->code == number_of(result_code::request_not_home));
    CHECK(tested.attempts_of(exchange) == 0);
}

// Guards against failing a request although its relay was refused, so that it certainly did not run.
TEST_CASE("a refused relay is retried when the home changes") {
    auto tested = fixture::ready();
    tested.set_members({other_id});
    const auto exchange = tested.request(board, false, 2s);
    auto refused = tested.ended(tested.attempt_of(exchange).value(), attempt_outcome::refused);
    refused.code = number_of(result_code::request_not_home);
    refused.status = 503;
    tested.apply(refused);
    REQUIRE(tested.attempts_of(exchange) == 1);
    tested.set_members({self_id});
    REQUIRE(tested.attempts_of(exchange) == 2);
    CHECK(tested.attempt_of(exchange)->relay_to.empty());
}

// Guards against two homes that together exceed the slots of a server while the old one does not know of the new one.
TEST_CASE("a new home uses half of the slots and connections for a second") {
    auto tested = fixture::ready(1);
    tested.set_members({other_id});
    tested.seen.clear();
    tested.set_members({self_id});
    tested.report_warm(1);
    for (const auto& limit : tested.all<limit_connections>()) {
        CHECK(limit.connections == 55);
    }
    REQUIRE(tested.all<limit_connections>().size() == 2);
    tested.request(board, true);
    tested.request(board, true);
    CHECK(tested.all<start_attempt>().size() == 1);
    tested.advance(1s);
    CHECK(tested.all<start_attempt>().size() == 2);
    CHECK(tested.all<limit_connections>().back().connections == 110);
}

// Guards against an instance that still sends to a server after another instance became its home.
TEST_CASE("queued requests go to the new home and connections are closed") {
    auto tested = fixture::ready(1);
    const auto first = tested.request(board, true);
    tested.request(board, true);
    const auto queued = tested.request(board, true);
    tested.set_members({other_id});
    REQUIRE(tested.attempt_of(queued));
    CHECK(tested.attempt_of(queued)->relay_to == other_id);
    for (const auto& limit : tested.all<limit_connections>()) {
        CHECK(limit.connections == 0);
    }
    CHECK(tested.all<limit_connections>().size() == 2);
    tested.finish(first);
    CHECK_FALSE(tested.answer_of(first));
}

// Guards against errors to callers during a failover that ends before their deadline.
TEST_CASE("a request waits while its range has no active owner") {
    auto tested = fixture::ready();
    tested.apply(model::routes_changed{});
    const auto served = tested.request(board, false, 2s);
    const auto late = tested.request(board, false, 100ms);
    CHECK(tested.attempts_of(served) == 0);
    tested.advance(200ms);
    REQUIRE(tested.answer_of(late));
    CHECK(tested.answer_of(late)->outcome == outcome::not_run);
    CHECK(tested.answer_of(late)->code == number_of(result_code::ownership_no_owner));
    tested.route_all(fixture::id(board, 1));
    CHECK(tested.attempts_of(served) == 1);
}

// Guards against an unbounded number of waiting requests while a range has no owner.
TEST_CASE("the number of requests that wait for an owner is bounded") {
    fixture tested;
    tested.queue_limit = 3;
    tested.deploy(2);
    tested.set_members({self_id});
    for (int count = 0; count < 7; ++count) {
        tested.request(board, true);
    }
    REQUIRE(tested.all<answer_caller>().size() == 1);
    CHECK(tested.all<answer_caller>().front().outcome == outcome::not_run);
    CHECK(requests_in_flight(tested.state) == 6);
}

// Guards against new work for servers that operators took out of service, and against an outcome other than "not run".
TEST_CASE("a drained server or data centre gets no new work") {
    auto tested = fixture::ready(1);
    const auto kind = GENERATE(model::subject_kind::backend_server, model::subject_kind::data_centre);
    const bool server = kind == model::subject_kind::backend_server;
    for (int count = 0; count < 3; ++count) {
        tested.request(board, true);
    }
    const auto before = tested.all<start_attempt>().size();
    REQUIRE(before == 2);
    tested.set_availability(kind, server ? "board-0" : "east", model::availability::drained);
    tested.request(board, true);
    CHECK(tested.all<start_attempt>().size() == before);
    REQUIRE(tested.all<answer_caller>().size() == 2);
    for (const auto& answer : tested.all<answer_caller>()) {
        CHECK(answer.outcome == outcome::not_run);
        CHECK(answer.code == number_of(result_code::request_out_of_service));
    }
}

// Guards against new work for a backend server that reports that it is draining.
TEST_CASE("a draining server gets no requests and its keys go to the next owner") {
    auto tested = fixture::ready();
    tested.apply(backend_server_observed{fixture::id(board, 0), "boot-1", true, 60s});
    tested.apply(backend_server_observed{fixture::id(store, 0), "boot-1", true, 60s});
    const auto keyed = tested.request(board, true);
    CHECK(tested.attempts_of(keyed) == 0);
    for (int count = 0; count < 20; ++count) {
        const auto other = tested.request(store, true);
        REQUIRE(tested.attempt_of(other));
        CHECK(tested.attempt_of(other)->backend_server == fixture::id(store, 1));
        tested.finish(other);
    }
    tested.route_all(fixture::id(board, 1));
    CHECK(tested.attempt_of(keyed)->backend_server == fixture::id(board, 1));
}

// Guards against a shutdown that cuts off accepted requests or accepts new ones.
TEST_CASE("shutdown refuses new requests and finishes those in flight") {
    auto tested = fixture::ready(1);
    const auto first = tested.request(board, true);
    tested.request(board, true);
    const auto queued = tested.request(board, true);
    tested.apply(model::shutdown_started{});
    const auto refused = tested.request(board, true);
    REQUIRE(tested.answer_of(refused));
    CHECK(tested.answer_of(refused)->code == number_of(result_code::request_shutting_down));
    CHECK(tested.answer_of(refused)->outcome == outcome::not_run);
    tested.finish(first);
    CHECK(tested.attempts_of(queued) == 1);
}

// Guards against a home that sends to a server without fence checks after its home lease ended.
TEST_CASE("a server that does not check grants gets no requests without a valid home lease") {
    fixture tested;
    tested.checks_grants = false;
    tested.deploy(1);
    tested.set_members({self_id});
    tested.route_all(fixture::id(board, 0));
    tested.report_warm(1);
    tested.advance(1100ms);
    const auto exchange = tested.request(board, true, 10s);
    CHECK(tested.attempts_of(exchange) == 0);
    const auto ends_at = tested.now.time_since_epoch() + 500ms;
    tested.apply(model::home_leases_changed{{{fixture::id(board, 0), ends_at}}});
    CHECK(tested.attempts_of(exchange) == 1);
    tested.advance(500ms);
    const auto late = tested.request(board, true, 100ms);
    tested.advance(200ms);
    CHECK(tested.attempts_of(late) == 0);
    REQUIRE(tested.answer_of(late));
    CHECK(tested.answer_of(late)->outcome == outcome::not_run);
}

} // namespace
} // namespace lovagetack::requests::testing
