#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <thread>

#include "integration/caller_load.hpp"
#include "integration/cluster_builder.hpp"
#include "integration/execution_checks.hpp"

using namespace lovagetack;

// Guards against a graceful shutdown that cuts off requests, both of its own callers and relayed ones.
TEST_CASE("requests in flight end when their instance is told to stop", "[shutdown]") {
    const auto cluster = harness::cluster_builder().data_centres(1).default_deadline("20s").build().value();
    const auto stopped = cluster->instance_names().front();
    const auto addresses = cluster->callers_addresses();
    // Two for each key owner, so that no request waits for a slot when the instance stops.
    std::map<std::string, std::vector<std::string>> keys_by_owner;
    for (const auto& key : harness::cluster::keys(40)) {
        auto& keys = keys_by_owner[cluster->owner_of(key, stopped)];
        if (keys.size() < 2) {
            keys.push_back(key);
        }
    }
    std::vector<std::string> keys;
    for (const auto& [owner, own] : keys_by_owner) {
        keys.insert(keys.end(), own.begin(), own.end());
    }
    harness::call_list calls(keys.size());
    std::vector<std::thread> callers;
    for (std::size_t index = 0; index < keys.size(); ++index) {
        callers.emplace_back(
            [&, index] { calls[index] = harness::call_key(addresses[index % addresses.size()], "POST", keys[index]); });
    }
    const auto all_run = [&] {
        const auto executions = cluster->executions();
        return std::count_if(executions.begin(), executions.end(), [](const auto& record) {
                   return record.method == "POST";
               }) == static_cast<std::ptrdiff_t>(keys.size());
    };
    harness::wait_for(all_run, "all requests to start");
    cluster->instance(stopped).terminate();
    for (auto& caller : callers) {
        caller.join();
    }
    CHECK(cluster->instance(stopped).wait() == 0);
    for (const auto& call : calls) {
        INFO(call.request_id << " at " << call.address << " status " << call.result.status << ' ' << call.result.body);
        CHECK(call.succeeded());
    }
    CHECK(harness::faults_in(calls, cluster->executions()) == "");
    cluster->wait_until_serving(cluster->instance_names().back());
}
