#include <catch2/catch.hpp>

#include "routing/single_instance.hpp"

namespace lovagetack::routing::testing {

TEST_CASE("a non-idempotent request that may have run is not sent again") {
    instance instance;
    const auto outcome = GENERATE(attempt_outcome::connection_lost, attempt_outcome::invalid_answer);
    const auto id = instance.request("/pay/1");
    instance.end(id, outcome);
    instance.advance_time(1500ms);
    REQUIRE(instance.sent(id).size() == 1);
    REQUIRE(instance.answers(id).size() == 1);
    REQUIRE(instance.answers(id).front().status == 502);
}

TEST_CASE("a non-idempotent request that has certainly not run is sent to another server") {
    instance instance;
    const auto outcome =
        GENERATE(attempt_outcome::not_run, attempt_outcome::not_connected, attempt_outcome::wrong_server);
    const auto id = instance.request("/pay/1");
    instance.end(id, outcome, 503);
    REQUIRE(instance.sent(id).size() == 2);
    REQUIRE(instance.sent(id)[0].server != instance.sent(id)[1].server);
    instance.end(id, attempt_outcome::delivered, 200);
    REQUIRE(instance.answers(id).empty());
    REQUIRE(instance.state().exchanges.empty());
}

TEST_CASE("an idempotent request is sent again after a lost answer, up to the route's limit of attempts") {
    instance instance(4);
    const auto id = instance.request("/get/1");
    instance.end(id, attempt_outcome::connection_lost);
    REQUIRE(instance.sent(id).size() == 2);
    instance.end(id, attempt_outcome::connection_lost);
    REQUIRE(instance.sent(id).size() == 2);
    // The request may have run, so 503 would be wrong.
    REQUIRE(instance.answers(id).front().status == 502);
}

TEST_CASE("retries stay within the budget when servers fail all requests") {
    instance instance(8);
    std::size_t attempts = 0;
    for (int number = 0; number < 100; ++number) {
        const auto id = instance.request("/get/1");
        instance.end(id, attempt_outcome::failed, 500);
        if (instance.sent(id).size() > 1) {
            instance.end(id, attempt_outcome::failed, 500);
        }
        attempts += instance.sent(id).size();
        instance.advance_time(500ms);
    }
    REQUIRE(attempts <= 100 + 100 * retry_share + most_retry_tokens);
}

TEST_CASE("a request that is in progress at its deadline ends with 504, one that was not sent with 503") {
    instance instance(1);
    const auto sent = instance.request("/pay/1");
    instance.process_event(attempt_sent{sent, instance.sent(sent).back().attempt});
    instance.advance_time(1100ms);
    REQUIRE(instance.answers(sent).front().status == 504);
    REQUIRE(instance.count<cancel_attempt>() == 1);

    instance.let_keys_move();
    const auto waiting = instance.request("/look/1");
    instance.advance_time(1100ms);
    REQUIRE(instance.sent(waiting).empty());
    REQUIRE(instance.answers(waiting).front().status == 503);
    REQUIRE(instance.answers(waiting).front().retry_after > 0ms);
}

// Guards against a request that is sent and refused as not run in the same step: its bytes may have been written.
TEST_CASE("a request whose time is over when it arrives is refused without being sent") {
    instance instance;
    const auto id = instance.request("/pay/1", 10ms);
    REQUIRE(instance.answers(id).size() == 1);
    CHECK(instance.answers(id).front().status == 503);
    CHECK(instance.sent(id).empty());
    CHECK(instance.state().exchanges.empty());
}

// Guards against "not run" for an attempt whose bytes are written before the report of it can be processed.
TEST_CASE("a request that is cancelled at the moment at which it was sent may have run") {
    instance instance;
    const auto id = instance.request("/pay/1");
    REQUIRE(instance.sent(id).size() == 1);
    instance.process_event(shutdown_ends{});
    REQUIRE(instance.answers(id).size() == 1);
    CHECK(instance.answers(id).front().status == 502);
}

// Guards against a refusal as not run of a request that has been written: several are sent in one step, and time may
// pass before the first note of it is processed.
TEST_CASE("no deadline is judged before all writes of a step are known") {
    instance instance;
    instance.let_keys_move();
    const auto first = instance.request("/look/1", 300ms);
    const auto second = instance.request("/look/2", 300ms);
    REQUIRE(instance.sent(second).empty());
    key_range whole;
    whole.last = key_count - 1;
    whole.owner = model::backend_server_id("board-0");
    whole.owner_born = 7;
    whole.fence = 3;
    instance.process_event(assignment_learned{keyed_service, 3, {4, {}, {whole}}});
    REQUIRE(instance.sent(first).size() == 1);
    REQUIRE(instance.sent(second).size() == 1);
    instance.suspend(300ms);
    instance.process_event(attempt_sent{second, instance.sent(second).back().attempt});
    instance.process_event(attempt_sent{first, instance.sent(first).back().attempt});
    instance.process_event(ticked{});
    for (const auto id : {first, second}) {
        REQUIRE(instance.answers(id).size() == 1);
        CHECK(instance.answers(id).front().status == 504);
    }
}

TEST_CASE("the attempt of a caller that has disconnected is cancelled") {
    instance instance;
    const auto id = instance.request("/get/1");
    instance.process_event(caller_left{id, "closed_by_caller"});
    REQUIRE(instance.count<cancel_attempt>() == 1);
    REQUIRE(instance.state().exchanges.empty());
    for (const auto& [name, server] : instance.state().servers) {
        REQUIRE(server.outstanding == 0);
    }
}

TEST_CASE("a request that cannot be answered within its latency objective is refused immediately") {
    // The load is three times the capacity of the owner of the keys.
    instance instance;
    std::size_t refused = 0;
    for (int number = 0; number < 60; ++number) {
        const auto id = instance.request("/look/1");
        refused += instance.answers(id).size();
    }
    REQUIRE(refused > 30);
    for (exchange_id id = 1; id <= 60; ++id) {
        for (const auto& answer : instance.answers(id)) {
            REQUIRE(answer.status == 503);
            REQUIRE(answer.retry_after >= shortest_retry_after);
        }
    }
}

TEST_CASE("requests of higher priority are sent first when a slot becomes free") {
    instance instance(1);
    auto configuration = instance.state().configuration;
    configuration.version = 4;
    configuration.routes[1].priority = 1;
    configuration.routes[2].priority = 2;
    instance.process_event(configuration_updated{configuration});
    std::vector<exchange_id> running;
    while (instance.state().services[unkeyed_service].queue.empty()) {
        running.push_back(instance.request("/get/1"));
    }
    const auto urgent = instance.request("/pay/1");
    REQUIRE(instance.sent(urgent).empty());
    instance.end(running.front(), attempt_outcome::delivered, 200);
    REQUIRE(instance.sent(urgent).size() == 1);
}

TEST_CASE("an instance without configuration answers 503 instead of 404") {
    routing::state state(identity{model::instance_id("one"), model::data_centre_id("north"), 1}, 5);
    request_arrived event;
    event.exchange = 1;
    event.path = "/look/1";
    const auto done = reduce(state, base::boot_time(1s), event);
    const auto* const answer = std::get_if<answer_caller>(&done.front());
    REQUIRE(answer != nullptr);
    REQUIRE(answer->status == 503);
    REQUIRE_FALSE(is_ready(state));
}

TEST_CASE("an unknown route is answered with 404, and an older configuration is ignored") {
    instance instance;
    const auto id = instance.request("/other/1");
    REQUIRE(instance.answers(id).front().status == 404);
    configuration older;
    older.version = 2;
    instance.process_event(configuration_updated{older});
    REQUIRE(instance.state().configuration.version == 3);
}

// Guards against an instance that was cut off and refuses the keys of all servers that it could not reach meanwhile,
// until they restart.
TEST_CASE("an owner that could not be reached is tried again after a pause") {
    instance instance(2);
    for (int number = 0; number < 6; ++number) {
        const auto id = instance.request("/look/1");
        instance.advance_time(200ms);
        if (!instance.sent(id).empty() && instance.answers(id).empty()) {
            instance.end(id, attempt_outcome::not_connected);
        }
        instance.advance_time(400ms);
    }
    REQUIRE(instance.state().servers.at(model::backend_server_id("board-0")).failures_in_row > 2);
    REQUIRE_FALSE(instance.answers(instance.request("/look/1")).empty());
    instance.advance_time(2000ms);
    REQUIRE(instance.sent(instance.request("/look/1")).size() == 1);
}

// Guards against a request that was just accepted and is cut off at the end of the grace period.
TEST_CASE("a request that arrives late in a shutdown is refused as not run") {
    instance instance(2);
    instance.process_event(shutdown_begun{});
    instance.advance_time(2000ms);
    REQUIRE(instance.sent(instance.request("/pay/1")).size() == 1);
    instance.advance_time(1000ms);
    const auto late = instance.request("/pay/2");
    REQUIRE(instance.sent(late).empty());
    REQUIRE(instance.answers(late).front().status == 503);
    REQUIRE(instance.answers(late).front().retry_after > 0ms);
}

// Guards against work that is begun in a shutdown, broken off with it, and of unknown outcome to its caller.
TEST_CASE("in a shutdown, work that usually lasts longer than the rest of the grace period is refused as not run") {
    instance instance(2);
    const auto lasting = [&instance](std::chrono::milliseconds time) {
        for (int number = 0; number < 200; ++number) {
            const auto id = instance.request("/get/1", 10000ms);
            instance.advance_time(time);
            const auto attempt = instance.sent(id).back().attempt;
            instance.process_event(attempt_sent{id, attempt});
            instance.process_event(
                attempt_ended{id, attempt, attempt_outcome::delivered, 200, false, reported_load{1, 0, 2, 100}});
        }
    };
    lasting(600ms);
    instance.process_event(shutdown_begun{2000ms});
    const auto early = instance.request("/pay/1");
    CHECK(instance.sent(early).size() == 1);
    instance.advance_time(1500ms);
    const auto late = instance.request("/pay/2");
    CHECK(instance.sent(late).empty());
    REQUIRE(instance.answers(late).size() == 1);
    CHECK(instance.answers(late).front().status == 503);
    CHECK(instance.answers(late).front().code == base::result_code::request_shutting_down);
    CHECK(instance.answers(late).front().retry_after > 0ms);
    // Work of another service is short, and a caller that waits for no longer than that loses nothing.
    CHECK(instance.sent(instance.request("/look/1")).size() == 1);
    CHECK(instance.sent(instance.request("/pay/3", 400ms)).size() == 1);
}

// Guards against requests that end without an answer when the process does, although nothing has been sent yet, and
// against requests that are sent too late to be answered.
TEST_CASE("shortly before the end of a shutdown, requests that were not sent are refused as not run") {
    instance instance(1);
    instance.process_event(shutdown_begun{});
    const auto sent = instance.request("/get/1");
    instance.process_event(attempt_sent{sent, instance.sent(sent).back().attempt});
    instance.let_keys_move();
    const auto waiting = instance.request("/look/1");
    REQUIRE(instance.sent(waiting).empty());
    instance.process_event(shutdown_nears_end{});
    REQUIRE(instance.answers(waiting).size() == 1);
    CHECK(instance.answers(waiting).front().status == 503);
    CHECK(instance.answers(waiting).front().code == base::result_code::request_shutting_down);
    CHECK(instance.answers(waiting).front().retry_after > 0ms);
    const auto late = instance.request("/get/2");
    CHECK(instance.sent(late).empty());
    CHECK(instance.answers(late).front().status == 503);

    REQUIRE(instance.answers(sent).empty());
    SECTION("an answer that comes later is delivered") {
        instance.end(sent, attempt_outcome::delivered, 200);
        CHECK(instance.answers(sent).empty());
    }
    SECTION("a request that the server did not run is not sent again") {
        instance.end(sent, attempt_outcome::not_run, 503);
        CHECK(instance.sent(sent).size() == 1);
        CHECK(instance.answers(sent).front().status == 503);
    }
    SECTION("a request that may have run is not sent again and not refused") {
        instance.end(sent, attempt_outcome::connection_lost);
        CHECK(instance.sent(sent).size() == 1);
        CHECK(instance.answers(sent).front().status == 502);
    }
    CHECK(instance.state().exchanges.empty());
}

// Guards against callers that are told nothing, or that a request has not run which may run.
TEST_CASE("at the end of a shutdown every request is answered with its outcome") {
    instance instance;
    const auto sent = instance.request("/pay/1");
    instance.process_event(attempt_sent{sent, instance.sent(sent).back().attempt});
    const auto connecting = instance.request("/pay/2");
    const auto answered = instance.request("/get/1");
    instance.process_event(attempt_sent{answered, instance.sent(answered).back().attempt});
    instance.process_event(answer_forwarding_started{answered, instance.sent(answered).back().attempt});
    instance.process_event(shutdown_begun{});
    instance.advance_time(10ms);
    instance.process_event(shutdown_ends{});
    REQUIRE(instance.answers(sent).size() == 1);
    CHECK(instance.answers(sent).front().status == 502);
    CHECK(instance.answers(sent).front().retry_after == 0ms);
    REQUIRE(instance.answers(connecting).size() == 1);
    CHECK(instance.answers(connecting).front().status == 503);
    CHECK(instance.count<cancel_attempt>() == 2);
    // The rest of this answer may still arrive in time.
    CHECK(instance.answers(answered).empty());
    CHECK(instance.state().exchanges.size() == 1);
}

TEST_CASE("a draining server gets no new requests") {
    instance instance(2);
    auto leaving = server_of("book-0", unkeyed_service);
    leaving.draining = true;
    instance.process_event(backend_server_updated{leaving});
    for (int number = 0; number < 4; ++number) {
        const auto id = instance.request("/get/1");
        REQUIRE(instance.sent(id).front().server == model::backend_server_id("book-1"));
    }
}

TEST_CASE("registrations that lapse during an outage of the store stay in use until servers had time to re-register") {
    instance instance(2);
    instance.process_event(store_reachability_changed{false});
    instance.process_event(backend_server_removed{model::backend_server_id("book-0")});
    instance.process_event(backend_server_removed{model::backend_server_id("book-1")});
    instance.advance_time(500ms);
    instance.process_event(store_reachability_changed{true});
    instance.advance_time(1000ms);
    const auto id = instance.request("/get/1");
    REQUIRE(instance.sent(id).size() == 1);
    instance.end(id, attempt_outcome::delivered, 200);
    instance.advance_time(1500ms);
    REQUIRE(instance.answers(instance.request("/get/2")).size() == 1);
}

// Guards against an instance that was cut off alone and keeps servers that left meanwhile in use after it is back.
TEST_CASE("registrations that lapse while only this instance is cut off from the store end with the cut") {
    const auto remaining = [](std::chrono::milliseconds contact_of_peer) {
        instance instance(2);
        instance.advance_time(10s);
        instance.process_event(store_reachability_changed{false});
        instance.advance_time(6s);
        instance.process_event(store_reachability_changed{true});
        instance.process_event(backend_server_removed{model::backend_server_id("book-0")});
        instance_load message;
        message.instance = model::instance_id("other");
        message.incarnation = 1;
        message.sequence = 1;
        message.store_contact = contact_of_peer;
        instance.process_event(message);
        return !instance.state().servers.contains(model::backend_server_id("book-0")) ||
                       !instance.state().servers.at(model::backend_server_id("book-0")).registered
                   ? 0
                   : 1;
    };
    REQUIRE(remaining(60s) == 0);
    // The other instance has also lost the store, or reached it only shortly before this one lost it.
    REQUIRE(remaining(0s) == 1);
    REQUIRE(remaining(5s) == 1);
    REQUIRE(remaining(6500ms) == 1);
}

TEST_CASE("a cold server gets no more than its cold rate from the instances that may send to it") {
    instance instance(0);
    auto cold = server_of("book-9", unkeyed_service);
    cold.cold_time_left = 3000ms;
    instance.process_event(backend_server_updated{cold});
    std::size_t sent = 0;
    for (int number = 0; number < 100; ++number) {
        const auto id = instance.request("/get/1");
        if (!instance.sent(id).empty()) {
            ++sent;
            instance.end(id, attempt_outcome::delivered, 200);
        }
        instance.advance_time(20ms);
    }
    // Two seconds at this instance's share of 6 requests per second, plus the initial token.
    REQUIRE(sent <= 2 * 6 * cold_rate_share / static_cast<double>(cold_server_senders) + 1);
    REQUIRE(sent >= 4);
}

TEST_CASE("a traffic split keeps the configured shares") {
    instance instance;
    auto configuration = instance.state().configuration;
    configuration.version = 4;
    const model::service_id other{"other"};
    configuration.services[other] = {other, "/health", 100, 6.0, 3000ms, false};
    configuration.routes[2].targets = {{unkeyed_service, 90}, {other, 10}};
    instance.process_event(configuration_updated{configuration});
    std::map<model::service_id, int> shares;
    for (int number = 0; number < 400; ++number) {
        const auto id = instance.request("/get/1");
        const auto found = instance.state().exchanges.find(id);
        ++shares[found == instance.state().exchanges.end() ? other : found->second.service];
        instance.process_event(caller_left{id});
    }
    REQUIRE(shares[other] == Approx(40).margin(4));
}

TEST_CASE("requests that other instances have outstanding at a server are counted") {
    instance instance(1);
    instance_load load;
    load.instance = model::instance_id("two");
    load.incarnation = 1;
    load.sequence = 1;
    load.servers = {{model::backend_server_id("book-0"), 9, 0, std::nullopt, 0ms}};
    instance.process_event(load);
    const auto id = instance.request("/get/1");
    REQUIRE(instance.sent(id).empty());
    load.sequence = 2;
    load.servers.clear();
    instance.process_event(load);
    const auto next = instance.request("/get/1");
    REQUIRE(instance.sent(next).size() == 1);
}

} // namespace lovagetack::routing::testing
