#include <catch2/catch.hpp>

#include "integration/caller_load.hpp"
#include "integration/cluster_builder.hpp"
#include "integration/execution_checks.hpp"

using namespace lovagetack;

namespace {

std::vector<std::string> addresses_without(const harness::cluster& cluster, const std::string& instance) {
    std::vector<std::string> addresses;
    for (const auto& name : cluster.instance_names()) {
        if (name != instance) {
            addresses.push_back(cluster.callers_address(name));
        }
    }
    return addresses;
}

std::int64_t epoch_of(const harness::cluster& cluster, const std::string& instance) {
    return cluster.status(instance).value("epoch").toString().toLongLong();
}

/// GET of every key at every address until it is answered.
void wait_until_answered(const std::vector<std::string>& addresses, const std::vector<std::string>& keys) {
    for (const auto& address : addresses) {
        for (const auto& key : keys) {
            harness::wait_for([&] { return harness::call_key(address, "GET", key).succeeded(); },
                              key + " to be answered at " + address);
        }
    }
}

} // namespace

// Guards against a data centre whose grants end with its controller, and against a new controller that activates
// owners which the old one had not given up.
TEST_CASE("another instance takes over from a killed controller", "[controller_loss]") {
    const auto cluster = harness::cluster_builder().instances(3).build().value();
    const auto keys = harness::cluster::keys(24);
    const auto controller = cluster->wait_for_controller("east");
    const auto others = addresses_without(*cluster, controller);
    harness::caller_load load(others, keys, 8);
    load.wait_for_successes(200);
    const auto epoch = epoch_of(*cluster, controller);

    cluster->instance(controller).kill();
    const auto next = cluster->wait_for_controller("east", controller);
    CHECK(epoch_of(*cluster, next) > epoch);
    load.wait_for_successes(500);
    wait_until_answered(others, keys);
    const auto calls = load.stop();
    CHECK(harness::faults_in(calls, cluster->executions()) == "");

    cluster->start_instance(controller);
    cluster->wait_until_serving(controller);
}

// Guards against a controller that resumes after a pause and grants or acknowledges under its old epoch.
TEST_CASE("a controller that resumes after a pause gives way to the one that took over", "[controller_loss]") {
    const auto cluster = harness::cluster_builder().instances(3).build().value();
    const auto keys = harness::cluster::keys(24);
    harness::caller_load load(cluster->callers_addresses(), keys, 8);
    load.wait_for_successes(200);
    for (int round = 0; round < 3; ++round) {
        const auto controller = cluster->wait_for_controller("east");
        const auto epoch = epoch_of(*cluster, controller);
        const auto others = addresses_without(*cluster, controller);
        cluster->instance(controller).pause();
        const auto next = cluster->wait_for_controller("east", controller);
        CHECK(epoch_of(*cluster, next) > epoch);
        wait_until_answered(others, keys);
        cluster->instance(controller).resume();
        CHECK(epoch_of(*cluster, cluster->wait_for_controller("east")) > epoch);
        wait_until_answered(cluster->callers_addresses(), keys);
        load.wait_for_successes(300);
    }
    const auto calls = load.stop();
    CHECK(harness::faults_in(calls, cluster->executions()) == "");
}

// Guards against a controller that resumes with a backend server whose keys were given away meanwhile: to both of them
// the grants of before the pause look valid.
TEST_CASE("a controller and a backend server that resume together don't serve lost keys", "[controller_loss]") {
    const auto cluster = harness::cluster_builder().instances(3).separate_servers().build().value();
    harness::caller_load load(cluster->callers_addresses(), harness::cluster::keys(24), 12);
    load.wait_for_successes(100);
    for (int round = 0; round < 3; ++round) {
        const auto controller = cluster->wait_for_controller("east");
        const auto others = addresses_without(*cluster, controller);
        const auto keys = cluster->keys_of("east", 24);
        REQUIRE_FALSE(keys.empty());
        const auto owner = cluster->owner_of(keys.front(), controller);
        REQUIRE_FALSE(owner.empty());
        cluster->server(owner).pause();
        cluster->instance(controller).pause();
        (void)cluster->wait_for_controller("east", controller);
        wait_until_answered(others, keys);
        cluster->instance(controller).resume();
        cluster->server(owner).resume();
        load.wait_for_successes(300);
        cluster->wait_until_serving();
    }
    const auto calls = load.stop();
    CHECK(harness::faults_in(calls, cluster->executions()) == "");
}
