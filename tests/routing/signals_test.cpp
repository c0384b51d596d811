#include <catch2/catch.hpp>

#include <map>
#include <set>

#include "routing/single_instance.hpp"

namespace lovagetack::routing::testing {
namespace {

const server_signals leaving{true, 0ms, {}};

/// Sends requests one after the other, each answered at once, and counts those that reach the server.
int requests_at(instance& instance, const model::backend_server_id& server, int requests) {
    int found = 0;
    for (int number = 0; number < requests; ++number) {
        const auto id = instance.request("/get/1");
        if (!instance.sent(id).empty()) {
            found += instance.sent(id).back().server == server ? 1 : 0;
            instance.end(id, attempt_outcome::delivered, 200);
        }
    }
    return found;
}

} // namespace

// Guards against DRAIN: a server that leaves says so in its answers, and the store may say so later or not at all.
TEST_CASE("a server that says that it leaves gets no new requests, from the head of its answer on", "[signals]") {
    instance instance(2);
    const auto id = instance.request("/get/1");
    const auto server = instance.sent(id).front().server;
    const bool store_is_away = GENERATE(false, true);
    if (store_is_away) {
        instance.process_event(store_reachability_changed{false});
    }
    // The answer goes on for long.
    instance.signal(id, leaving);
    CHECK(requests_at(instance, server, 20) == 0);
    CHECK(instance.logged("server_states_leaving") == 1);
    SECTION("also when the store says that it is ready") {
        auto ready = server_of(server.value(), unkeyed_service);
        ready.sequence = 5;
        instance.process_event(backend_server_updated{ready});
        CHECK(requests_at(instance, server, 20) == 0);
    }
    SECTION("also when its entry lapses and returns") {
        instance.process_event(store_reachability_changed{true});
        instance.advance_time(3s);
        instance.process_event(backend_server_removed{server});
        instance.process_event(backend_server_updated{server_of(server.value(), unkeyed_service)});
        CHECK(requests_at(instance, server, 20) == 0);
    }
    SECTION("also when it drained by the store before and no longer does") {
        auto entry = server_of(server.value(), unkeyed_service);
        entry.draining = true;
        instance.process_event(backend_server_updated{entry});
        entry.draining = false;
        instance.process_event(backend_server_updated{entry});
        CHECK(requests_at(instance, server, 20) == 0);
    }
    instance.end(id, attempt_outcome::delivered, 200);
}

// Guards against a server that is passed over for what the run before it, or another server at its address, has said.
TEST_CASE("the word of a server that it leaves belongs to one run of it", "[signals]") {
    instance instance(2);
    const auto id = instance.request("/get/1");
    const auto server = instance.sent(id).front().server;
    auto restarted = server_of(server.value(), unkeyed_service);
    restarted.born = 8;
    SECTION("it ends with the run") {
        instance.signal(id, leaving);
        REQUIRE(requests_at(instance, server, 20) == 0);
        instance.process_event(backend_server_updated{restarted});
        CHECK(instance.logged("server_leaving_forgotten") == 1);
        CHECK(requests_at(instance, server, 20) > 0);
    }
    SECTION("a late answer of the former run says nothing of the next") {
        instance.process_event(backend_server_updated{restarted});
        instance.signal(id, leaving);
        CHECK(requests_at(instance, server, 20) > 0);
    }
}

// Guards against a server that is out of use for good because it, or a fault on the way, said once that it leaves.
TEST_CASE("a word that the registry contradicts for a minute after it was last heard is forgotten", "[signals]") {
    instance instance(2);
    const auto first = instance.request("/get/1");
    const auto server = instance.sent(first).front().server;
    instance.signal(first, leaving);
    instance.end(first, attempt_outcome::delivered, 200);
    instance.advance_time(30s);
    SECTION("while the store answers") {
        instance.advance_time(29s);
        CHECK(requests_at(instance, server, 20) == 0);
        instance.advance_time(2s);
        CHECK(requests_at(instance, server, 20) > 0);
        CHECK(instance.state().stating_servers.empty());
    }
    SECTION("but not while the store is away, when a server that leaves cannot tell it") {
        instance.process_event(store_reachability_changed{false});
        instance.advance_time(90s);
        CHECK(requests_at(instance, server, 20) == 0);
        instance.process_event(store_reachability_changed{true});
        instance.advance_time(59s);
        CHECK(requests_at(instance, server, 20) == 0);
        instance.advance_time(2s);
        CHECK(requests_at(instance, server, 20) > 0);
    }
    SECTION("nor while the registry shows that it leaves") {
        auto entry = server_of(server.value(), unkeyed_service);
        entry.draining = true;
        instance.process_event(backend_server_updated{entry});
        instance.advance_time(60s);
        CHECK(instance.state().stating_servers.contains(server));
    }
}

// Guards against a request that still goes to the server because it waits for a connection to it.
TEST_CASE("a request of which nothing was sent yet goes to another server than the one that says that it leaves",
          "[signals]") {
    instance instance(2);
    const auto id = instance.request("/get/1");
    const auto server = instance.sent(id).front().server;
    exchange_id unsent = 0;
    while (unsent == 0) {
        const auto next = instance.request("/pay/1");
        REQUIRE_FALSE(instance.sent(next).empty());
        if (instance.sent(next).front().server == server) {
            unsent = next;
        }
    }
    instance.signal(id, leaving);
    REQUIRE(instance.count<cancel_attempt>() == 1);
    REQUIRE(instance.sent(unsent).size() == 2);
    CHECK(instance.sent(unsent).back().server != server);
    instance.end(unsent, attempt_outcome::delivered, 200);
    CHECK(instance.state().servers.at(server).outstanding == 1);
}

// Guards against DRAIN for keys: their requests can go nowhere else, but later than the drain time they must not go to
// the owner either.
TEST_CASE("an owner that says that it leaves serves its keys for a limited time, and callers are refused after it",
          "[signals]") {
    instance instance(1);
    const auto id = instance.request("/look/1");
    instance.signal(id, leaving);
    instance.end(id, attempt_outcome::delivered, 200);
    const auto served = instance.request("/look/2");
    CHECK(instance.sent(served).size() == 1);
    instance.end(served, attempt_outcome::delivered, 200);
    instance.advance_time(1500ms);
    const auto refused = instance.request("/look/3");
    CHECK(instance.sent(refused).empty());
    REQUIRE(instance.answers(refused).size() == 1);
    CHECK(instance.answers(refused).front().status == 503);
    CHECK(instance.answers(refused).front().retry_after > 0ms);
}

// Guards against requests in the queue of an owner that is sent nothing any more, which would wait for their deadline.
TEST_CASE("requests that wait for an owner are refused when it has left", "[signals]") {
    instance instance(1);
    std::vector<exchange_id> ids;
    for (int number = 0; number < 8; ++number) {
        ids.push_back(instance.request("/look/" + std::to_string(number)));
    }
    const auto waits = [&instance](exchange_id id) {
        return instance.sent(id).empty() && instance.answers(id).empty();
    };
    REQUIRE(std::any_of(ids.begin(), ids.end(), waits));
    instance.signal(ids.front(), leaving);
    instance.advance_time(1450ms);
    CHECK(std::none_of(ids.begin(), ids.end(), waits));
}

} // namespace lovagetack::routing::testing
