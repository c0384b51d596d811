#include <catch2/catch.hpp>

#include <algorithm>

#include "integration/caller_load.hpp"
#include "integration/cluster_builder.hpp"
#include "integration/execution_checks.hpp"

using namespace lovagetack;

// Guards against an assignment that took effect in the table service while the controller goes on with another one,
// because the answer to its write was lost.
TEST_CASE("ownership changes survive lost answers of the table service", "[ownership_change]") {
    const auto cluster = harness::cluster_builder().separate_servers().build().value();
    harness::caller_load load(cluster->callers_addresses(), harness::cluster::keys(24));
    load.wait_for_successes(100);
    const auto owner = cluster->owner_of("key-0", cluster->instance_names().front());
    REQUIRE_FALSE(owner.empty());

    cluster->order_platform(R"({"mode":"lose-answers","count":6})");
    cluster->server(owner).kill();
    const auto was_lost = [&] {
        const auto history = cluster->history();
        return std::any_of(history.begin(), history.end(), [](const auto& transaction) {
            return transaction.answer_lost && transaction.applied && !transaction.writes.empty() &&
                   transaction.writes.front().table == "assignments";
        });
    };
    harness::wait_for(was_lost, "a write of an assignment whose answer is lost");
    cluster->order_platform(R"({"mode":"up"})");
    cluster->wait_until_serving();
    load.wait_for_successes(200);
    cluster->start_server(owner);
    load.wait_for_successes(200);
    const auto calls = load.stop();
    CHECK(harness::faults_in(calls, cluster->executions()) == "");
}
