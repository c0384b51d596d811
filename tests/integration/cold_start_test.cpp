#include <catch2/catch.hpp>

#include <algorithm>

#include "integration/caller_load.hpp"
#include "integration/cluster_builder.hpp"
#include "integration/execution_checks.hpp"

using namespace lovagetack;

// Guards against a freshly started backend server that gets the load of a warm one.
TEST_CASE("a cold backend server that restarts under load is not overloaded", "[cold_start]") {
    const auto cluster =
        harness::cluster_builder().data_centres(1).backend_settings(R"({"starts_cold":true})").build().value();
    harness::caller_load load(cluster->callers_addresses(), harness::cluster::keys(24), 12);
    load.wait_for_successes(500);
    for (const auto& server : cluster->server_names()) {
        cluster->order_server(server, R"({"restart":true})");
        load.wait_for_successes(500);
    }
    const auto calls = load.stop();
    const auto executions = cluster->executions();
    CHECK(std::count_if(executions.begin(), executions.end(), [](const auto& record) { return record.overloaded; }) ==
          0);
    CHECK(harness::faults_in(calls, executions) == "");
}
