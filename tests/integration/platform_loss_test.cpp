#include <catch2/catch.hpp>

#include "integration/caller_load.hpp"
#include "integration/cluster_builder.hpp"
#include "integration/execution_checks.hpp"

using namespace lovagetack;

namespace {

const std::string key = "key-0";

void wait_for_store(const harness::cluster& cluster, bool reachable) {
    for (const auto& instance : cluster.instance_names()) {
        harness::wait_for(
            [&] { return cluster.status(instance).value("store_reachable").toBool(!reachable) == reachable; },
            instance + " to notice the platform");
    }
}

bool is_answered_by_other(const harness::cluster& cluster, const std::string& lost) {
    const auto call = harness::call_key(cluster.callers_addresses().front(), "GET", key);
    return call.succeeded() && call.result.header("lovagetack-backend-server") != lost;
}

} // namespace

// Guards against a failover that needs a write to the table service.
TEST_CASE("the successor takes over while the platform is down", "[platform_loss]") {
    const auto cluster = harness::cluster_builder().separate_servers().build().value();
    const auto owner = cluster->owner_of(key, cluster->instance_names().front());
    REQUIRE_FALSE(owner.empty());
    harness::caller_load load(cluster->callers_addresses(), harness::cluster::keys(24));
    load.wait_for_successes(100);

    cluster->order_platform(R"({"mode":"down"})");
    wait_for_store(*cluster, false);
    const auto writes = cluster->history().size();
    cluster->server(owner).kill();
    harness::wait_for([&] { return is_answered_by_other(*cluster, owner); }, "successor of " + owner);
    load.wait_for_successes(200);
    // Else the platform was not down, and the test would show nothing.
    CHECK(cluster->history().size() == writes);

    cluster->order_platform(R"({"mode":"up"})");
    cluster->start_server(owner);
    wait_for_store(*cluster, true);
    cluster->wait_until_serving();
    load.wait_for_successes(200);
    const auto calls = load.stop();
    CHECK(harness::faults_in(calls, cluster->executions()) == "");
}

// Guards against an instance that cannot start without the table service, or starts with an older configuration.
TEST_CASE("a replaced instance joins from its peers while the platform is down", "[platform_loss]") {
    const auto cluster = harness::cluster_builder().build().value();
    const auto replaced = cluster->instance_names().front();
    const auto first = cluster->configuration_version(replaced);
    const auto pushed = cluster->push(cluster->base_file() + "# second version\n");
    INFO(pushed.output);
    REQUIRE(pushed.status == 0);
    for (const auto& instance : cluster->instance_names()) {
        harness::wait_for([&] { return cluster->configuration_version(instance) > first; }, instance + " to follow");
    }
    const auto version = cluster->configuration_version(replaced);

    cluster->order_platform(R"({"mode":"down"})");
    cluster->instance(replaced).kill();
    cluster->start_instance(replaced);
    cluster->wait_until_serving(replaced);
    CHECK(cluster->configuration_version(replaced) >= version);
    cluster->wait_until_serving();
    cluster->order_platform(R"({"mode":"up"})");
    wait_for_store(*cluster, true);
    CHECK(cluster->configuration_version(replaced) >= version);
    CHECK(harness::faults_in({}, cluster->executions()) == "");
}
