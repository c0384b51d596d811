#include <catch2/catch.hpp>

#include <algorithm>
#include <set>
#include <thread>

#include <QJsonArray>

#include "base/boot_time.hpp"
#include "integration/caller_load.hpp"
#include "integration/cluster_builder.hpp"
#include "integration/execution_checks.hpp"
#include "integration/json_page.hpp"

using namespace lovagetack;

namespace {

bool shows_order(const harness::cluster& cluster, const std::string& instance, const std::string& kind,
                 const std::string& name, const std::string& availability) {
    const auto list = cluster.status(instance).value("service_states").toArray();
    return std::any_of(list.begin(), list.end(), [&](const auto& item) {
        const auto order = item.toObject();
        return harness::text_of(order, "kind") == kind && harness::text_of(order, "name") == name &&
               harness::text_of(order, "availability") == availability;
    });
}

harness::command_result order(const harness::cluster& cluster, const std::string& command, const std::string& kind,
                              const std::string& name) {
    const auto first = cluster.instance_names().front();
    return cluster.run({command, kind, name, "--at", cluster.operators_address(first)});
}

/// Gives the order and waits until every instance shows it.
void give_order(const harness::cluster& cluster, const std::string& command, const std::string& kind,
                const std::string& name) {
    const auto given = order(cluster, command, kind, name);
    INFO(given.output);
    REQUIRE(given.status == 0);
    const auto* const availability = command == "drain" ? "drained" : "in-service";
    for (const auto& instance : cluster.instance_names()) {
        harness::wait_for([&] { return shows_order(cluster, instance, kind, name, availability); },
                          instance + " to show the order for " + name);
    }
}

/// Executions at the backend servers of calls that began after the time.
std::string executed_at(const std::vector<std::string>& servers, const harness::call_list& calls, base::boot_time time,
                        const harness::execution_list& executions) {
    std::set<std::string> later;
    for (const auto& call : calls) {
        if (call.begin > time) {
            later.insert(call.request_id);
        }
    }
    std::string found;
    for (const auto& record : executions) {
        const bool is_there = std::find(servers.begin(), servers.end(), record.server) != servers.end();
        if (is_there && later.count(record.request_id) > 0) {
            found += record.request_id + " for " + record.key + " at " + record.server + '\n';
        }
    }
    return found;
}

/// Waits for an execution that starts from now on at one of the backend servers.
void wait_until_used(const harness::cluster& cluster, const std::vector<std::string>& servers) {
    const auto time = base::boot_clock::now();
    const auto is_used = [&] {
        const auto executions = cluster.executions();
        return std::any_of(executions.begin(), executions.end(), [&](const auto& record) {
            return record.start > time && std::find(servers.begin(), servers.end(), record.server) != servers.end();
        });
    };
    harness::wait_for(is_used, "new work at " + servers.front());
}

/// Drains, checks that calls which begin afterwards are executed elsewhere, and brings the subject back.
void check_drain(const std::string& kind, const std::string& name, const std::vector<std::string>& servers) {
    const auto cluster = harness::cluster_builder().build().value();
    const auto keys = harness::cluster::keys(24);
    harness::caller_load load(cluster->callers_addresses(), keys);
    wait_until_used(*cluster, servers);
    give_order(*cluster, "drain", kind, name);
    const auto drained = base::boot_clock::now();
    load.wait_for_successes(300);
    // The keys have left, so that callers are not merely refused.
    cluster->wait_until_serving();
    load.wait_for_successes(300);
    const auto calls = load.stop();
    auto executions = cluster->executions();
    CHECK(executed_at(servers, calls, drained, executions) == "");
    CHECK(harness::faults_in(calls, executions) == "");

    give_order(*cluster, "undrain", kind, name);
    harness::caller_load later(cluster->callers_addresses(), keys);
    wait_until_used(*cluster, servers);
    later.wait_for_successes(200);
    const auto later_calls = later.stop();
    CHECK(harness::faults_in(later_calls, cluster->executions()) == "");
}

} // namespace

// Guards against new work for a data centre that operators took out, and against one that gets none after its return.
TEST_CASE("a drained data centre receives no new work until it returns", "[drain]") {
    check_drain("data-centre", "west", {"board-west-1", "board-west-2", "board-west-3"});
}

// Guards against keys that stay with a backend server that operators took out.
TEST_CASE("a drained backend server receives no new work until it returns", "[drain]") {
    check_drain("backend-server", "board-east-1", {"board-east-1"});
}

// Guards against a backend server that says that it is leaving, but keeps its keys, so that they are refused.
TEST_CASE("keys leave a backend server that drains itself", "[drain]") {
    const auto cluster = harness::cluster_builder().build().value();
    harness::caller_load load(cluster->callers_addresses(), harness::cluster::keys(24));
    load.wait_for_successes(100);
    const std::string server = "board-east-2";
    cluster->order_server(server, R"({"draining":true})");
    // It refuses all work itself; its keys are answered only once they are elsewhere.
    const auto has_left = [&] {
        for (const auto& key : harness::cluster::keys(24)) {
            const auto owner = cluster->owner_of(key, cluster->instance_names().front());
            if (owner.empty() || owner == server) {
                return false;
            }
        }
        return true;
    };
    harness::wait_for(has_left, "keys to leave " + server);
    cluster->wait_until_serving();
    cluster->order_server(server, R"({"draining":false})");
    load.wait_for_successes(300);
    const auto calls = load.stop();
    CHECK(harness::faults_in(calls, cluster->executions()) == "");
}

// Guards against a drain that cuts off what already runs.
TEST_CASE("requests in flight end at a backend server that is drained", "[drain]") {
    const auto cluster =
        harness::cluster_builder().data_centres(1).backend_settings(R"({"service_time_ms":700})").build().value();
    const auto instance = cluster->instance_names().back();
    const auto owner = cluster->owner_of("key-0", instance);
    REQUIRE_FALSE(owner.empty());
    harness::call_record call;
    std::thread caller([&] { call = harness::call_key(cluster->callers_address(instance), "POST", "key-0"); });
    const auto is_running = [&] {
        const auto executions = cluster->executions();
        return std::any_of(executions.begin(), executions.end(),
                           [](const auto& record) { return record.method == "POST"; });
    };
    harness::wait_for(is_running, "the POST to start");
    const auto given = order(*cluster, "drain", "backend-server", owner);
    caller.join();
    INFO(given.output);
    CHECK(given.status == 0);
    INFO(call.result.status << ' ' << call.result.body);
    CHECK(call.succeeded());
    for (const auto& instance_name : cluster->instance_names()) {
        harness::wait_for([&] { return shows_order(*cluster, instance_name, "backend-server", owner, "drained"); },
                          instance_name + " to show the order for " + owner);
    }
    CHECK(harness::faults_in({call}, cluster->executions()) == "");
}
