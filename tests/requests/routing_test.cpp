#include <catch2/catch.hpp>

#include "base/key_hash.hpp"
#include "fixture.hpp"

namespace lovagetack::requests::testing {
namespace {

using base::result_code;

// Guards against a request sent to another server than the owner, or without the owner's fence.
TEST_CASE("a keyed request goes to the active owner with its fence") {
    auto world = fixture::ready();
    world.route_all(fixture::id(board, 1), 9);
    const auto exchange = world.request(board, true);
    const auto started = world.attempt_of(exchange);
    REQUIRE(started);
    CHECK(started->backend_server == fixture::id(board, 1));
    CHECK(started->fence == model::fence{model::epoch(1), 9});
    CHECK(started->relay_to.empty());
    world.finish(exchange);
    CHECK_FALSE(world.answer_of(exchange));
    CHECK(requests_in_flight(world.state) == 0);
}

// Guards against instances that place homes differently, which would break the slots and connection budgets.
TEST_CASE("the home is the live instance with the highest rendezvous score") {
    auto world = fixture::ready(8);
    world.set_members({self_id, other_id});
    for (int number = 0; number < 8; ++number) {
        const auto id = fixture::id(store, number);
        const bool self_scores =
            base::rendezvous_score(id.value(), self_id.value()) > base::rendezvous_score(id.value(), other_id.value());
        CHECK(home_of(world.state, id) == (self_scores ? self_id : other_id));
    }
}

// Guards against sending to a backend server from an instance that is not its home, past its slots.
TEST_CASE("a request for a server of another home is relayed to it") {
    auto world = fixture::ready();
    world.set_members({other_id});
    const auto exchange = world.request(board, true, 1s);
    const auto started = world.attempt_of(exchange);
    REQUIRE(started);
    CHECK(started->relay_to == other_id);
    CHECK(started->address.port == 2000);
    CHECK(started->deadline < 1s);
}

// Guards against a relay loop and against serving for a server that has another home.
TEST_CASE("a relayed request is refused by an instance that is not home") {
    auto world = fixture::ready();
    world.set_members({other_id});
    caller_request relayed;
    relayed.service = board;
    relayed.relayed_by = model::instance_id("instance-c");
    relayed.relay_target = fixture::id(board, 0);
    const auto exchange = world.request(relayed);
    const auto answer = world.answer_of(exchange);
    REQUIRE(answer);
    CHECK(answer->outcome == outcome::not_run);
    CHECK(answer->code == number_of(result_code::request_not_home));
    CHECK(world.attempts_of(exchange) == 0);
}

// Guards against a sender that gives up although a home that refused the relay surely ran nothing.
TEST_CASE("a refused relay is repeated when the home changes") {
    auto world = fixture::ready();
    world.set_members({other_id});
    const auto exchange = world.request(board, false, 2s);
    auto refused = world.ended(world.attempt_of(exchange).value(), attempt_outcome::refused);
    refused.code = number_of(result_code::request_not_home);
    refused.status = 503;
    world.apply(refused);
    REQUIRE(world.attempts_of(exchange) == 1);
    world.set_members({self_id});
    REQUIRE(world.attempts_of(exchange) == 2);
    CHECK(world.attempt_of(exchange)->relay_to.empty());
}

// Guards against two homes that together send more than the server's slots while one does not know of the other.
TEST_CASE("a new home uses half of slots and connections for a second") {
    auto world = fixture::ready(1);
    world.set_members({other_id});
    world.seen.clear();
    world.set_members({self_id});
    world.warm(1);
    for (const auto& limit : world.all<limit_connections>()) {
        CHECK(limit.connections == 55);
    }
    REQUIRE(world.all<limit_connections>().size() == 2);
    world.request(board, true);
    world.request(board, true);
    CHECK(world.all<start_attempt>().size() == 1);
    world.pass(1s);
    CHECK(world.all<start_attempt>().size() == 2);
    CHECK(world.all<limit_connections>().back().connections == 110);
}

// Guards against an instance that keeps sending to a server after another one became its home.
TEST_CASE("queued requests go to the new home and connections are given up") {
    auto world = fixture::ready(1);
    const auto first = world.request(board, true);
    world.request(board, true);
    const auto queued = world.request(board, true);
    world.set_members({other_id});
    REQUIRE(world.attempt_of(queued));
    CHECK(world.attempt_of(queued)->relay_to == other_id);
    for (const auto& limit : world.all<limit_connections>()) {
        CHECK(limit.connections == 0);
    }
    CHECK(world.all<limit_connections>().size() == 2);
    world.finish(first);
    CHECK_FALSE(world.answer_of(first));
}

// Guards against an error to callers during a failover that is over before their deadline.
TEST_CASE("a request waits while its range has no active owner") {
    auto world = fixture::ready();
    world.apply(model::routes_changed{});
    const auto served = world.request(board, false, 2s);
    const auto late = world.request(board, false, 100ms);
    CHECK(world.attempts_of(served) == 0);
    world.pass(200ms);
    REQUIRE(world.answer_of(late));
    CHECK(world.answer_of(late)->outcome == outcome::not_run);
    CHECK(world.answer_of(late)->code == number_of(result_code::ownership_no_owner));
    world.route_all(fixture::id(board, 1));
    CHECK(world.attempts_of(served) == 1);
}

// Guards against requests that wait without bound while a range has no owner.
TEST_CASE("the number of requests that wait for an owner is bounded") {
    fixture world;
    world.queue_limit = 3;
    world.deploy(2);
    world.set_members({self_id});
    for (int count = 0; count < 7; ++count) {
        world.request(board, true);
    }
    REQUIRE(world.all<answer_caller>().size() == 1);
    CHECK(world.all<answer_caller>().front().outcome == outcome::not_run);
    CHECK(requests_in_flight(world.state) == 6);
}

// Guards against new work for what operators took out, and against an answer that claims more than "not run".
TEST_CASE("a drained server or data centre gets no new work") {
    auto world = fixture::ready(1);
    const auto kind = GENERATE(model::subject_kind::backend_server, model::subject_kind::data_centre);
    const bool server = kind == model::subject_kind::backend_server;
    for (int count = 0; count < 3; ++count) {
        world.request(board, true);
    }
    const auto before = world.all<start_attempt>().size();
    REQUIRE(before == 2);
    world.order(kind, server ? "board-0" : "east", model::availability::drained);
    world.request(board, true);
    CHECK(world.all<start_attempt>().size() == before);
    REQUIRE(world.all<answer_caller>().size() == 2);
    for (const auto& answer : world.all<answer_caller>()) {
        CHECK(answer.outcome == outcome::not_run);
        CHECK(answer.code == number_of(result_code::request_out_of_service));
    }
}

// Guards against new work for a backend server that leaves by itself.
TEST_CASE("a draining server gets nothing and its keys go to the next owner") {
    auto world = fixture::ready();
    world.apply(backend_server_observed{fixture::id(board, 0), "boot-1", true, 60s});
    world.apply(backend_server_observed{fixture::id(store, 0), "boot-1", true, 60s});
    const auto keyed = world.request(board, true);
    CHECK(world.attempts_of(keyed) == 0);
    for (int count = 0; count < 20; ++count) {
        const auto other = world.request(store, true);
        REQUIRE(world.attempt_of(other));
        CHECK(world.attempt_of(other)->backend_server == fixture::id(store, 1));
        world.finish(other);
    }
    world.route_all(fixture::id(board, 1));
    CHECK(world.attempt_of(keyed)->backend_server == fixture::id(board, 1));
}

// Guards against a shutdown that cuts off what it accepted, or accepts what it will not finish.
TEST_CASE("shutdown refuses new requests and finishes those in flight") {
    auto world = fixture::ready(1);
    const auto first = world.request(board, true);
    world.request(board, true);
    const auto queued = world.request(board, true);
    world.apply(model::shutdown_started{});
    const auto refused = world.request(board, true);
    REQUIRE(world.answer_of(refused));
    CHECK(world.answer_of(refused)->code == number_of(result_code::request_shutting_down));
    CHECK(world.answer_of(refused)->outcome == outcome::not_run);
    world.finish(first);
    CHECK(world.attempts_of(queued) == 1);
}

// Guards against a home that sends to a server without fence checks after its right to do so ended.
TEST_CASE("without a valid home lease nothing is sent to a server that checks no grants") {
    fixture world;
    world.checks_grants = false;
    world.deploy(1);
    world.set_members({self_id});
    world.route_all(fixture::id(board, 0));
    world.warm(1);
    world.pass(1100ms);
    const auto exchange = world.request(board, true, 10s);
    CHECK(world.attempts_of(exchange) == 0);
    const auto ends_at = world.now.time_since_epoch() + 500ms;
    world.apply(model::home_leases_changed{{{fixture::id(board, 0), ends_at}}});
    CHECK(world.attempts_of(exchange) == 1);
    world.pass(500ms);
    const auto late = world.request(board, true, 100ms);
    world.pass(200ms);
    CHECK(world.attempts_of(late) == 0);
    REQUIRE(world.answer_of(late));
    CHECK(world.answer_of(late)->outcome == outcome::not_run);
}

} // namespace
} // namespace lovagetack::requests::testing
