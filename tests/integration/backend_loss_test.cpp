#include <catch2/catch.hpp>

#include "integration/caller_load.hpp"
#include "integration/cluster_builder.hpp"
#include "integration/execution_checks.hpp"

using namespace lovagetack;

namespace {

const std::string key = "key-0";

/// Waits until all instances route the key to another backend server than the given one; that server.
std::string wait_for_successor(const harness::cluster& cluster, const std::string& lost) {
    std::string successor;
    for (const auto& instance : cluster.instance_names()) {
        const auto is_served = [&] {
            successor = cluster.owner_of(key, instance);
            return !successor.empty() && successor != lost;
        };
        harness::wait_for(is_served, "a successor of " + lost + " at " + instance);
    }
    return successor;
}

void wait_until_answered_by(const harness::cluster& cluster, const std::string& server) {
    const auto is_answered = [&] {
        const auto call = harness::call_key(cluster.callers_addresses().front(), "GET", key);
        return call.succeeded() && call.result.header("lovagetack-backend-server") == server;
    };
    harness::wait_for(is_answered, key + " to be answered by " + server);
}

} // namespace

// Guards against keys that stay with a dead backend server, and against a restarted one that serves keys which were
// given to its successor.
TEST_CASE("the successor serves the keys of a killed backend server", "[backend_loss]") {
    const auto cluster = harness::cluster_builder().separate_servers().build().value();
    harness::caller_load load(cluster->callers_addresses(), harness::cluster::keys(24));
    load.wait_for_successes(100);
    const auto owner = cluster->owner_of(key, cluster->instance_names().front());
    REQUIRE_FALSE(owner.empty());

    cluster->server(owner).kill();
    const auto successor = wait_for_successor(*cluster, owner);
    CHECK(cluster->data_centre_of(successor) == cluster->data_centre_of(owner));
    wait_until_answered_by(*cluster, successor);

    cluster->start_server(owner);
    load.wait_for_successes(300);
    const auto calls = load.stop();
    CHECK(harness::faults_in(calls, cluster->executions()) == "");
}

// Guards against two owners: a backend server that freezes and returns doesn't know that its lease has lapsed while
// its successor serves the key.
TEST_CASE("a backend server that resumes after a pause refuses the keys that it lost", "[backend_loss]") {
    const auto cluster = harness::cluster_builder().separate_servers().build().value();
    harness::caller_load load(cluster->callers_addresses(), harness::cluster::keys(24), 8);
    load.wait_for_successes(100);
    const auto owner = cluster->owner_of(key, cluster->instance_names().front());
    REQUIRE_FALSE(owner.empty());

    for (int round = 0; round < 3; ++round) {
        const auto paused = cluster->owner_of(key, cluster->instance_names().front());
        REQUIRE_FALSE(paused.empty());
        cluster->server(paused).pause();
        // Requests that wait in the sockets of the paused server are what it meets first when it resumes.
        wait_until_answered_by(*cluster, wait_for_successor(*cluster, paused));
        load.wait_for_successes(20);
        cluster->server(paused).resume();
        load.wait_for_successes(200);
        cluster->wait_until_serving();
    }
    const auto calls = load.stop();
    CHECK(harness::faults_in(calls, cluster->executions()) == "");
}
