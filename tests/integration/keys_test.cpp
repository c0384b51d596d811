#include <catch2/catch.hpp>

#include <map>
#include <set>

#include "integration/caller_load.hpp"
#include "integration/cluster_builder.hpp"
#include "integration/execution_checks.hpp"

using namespace lovagetack;

// Guards against instances that disagree on the owner of a key, and against answers that reach another caller.
TEST_CASE("a key is served by one backend server, and each caller gets its own answer", "[keys]") {
    const auto cluster = harness::cluster_builder().build().value();
    const auto keys = harness::cluster::keys(40);
    harness::caller_load load(cluster->callers_addresses(), keys, 8);
    load.wait_for_successes(2000);
    const auto calls = load.stop();
    const auto executions = cluster->executions();
    CHECK(harness::faults_in(calls, executions) == "");

    std::map<std::string, std::set<std::string>> servers_by_fence;
    std::set<std::string> servers;
    for (const auto& record : executions) {
        servers_by_fence[record.key + " under " + record.fence].insert(record.server);
        servers.insert(record.server);
    }
    for (const auto& [key_and_fence, at] : servers_by_fence) {
        INFO(key_and_fence);
        CHECK(at.size() == 1);
    }
    // With fewer, the keys would not be divided and the check above would say little.
    CHECK(servers.size() == cluster->server_names().size());
}
