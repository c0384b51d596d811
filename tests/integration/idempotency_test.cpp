#include <catch2/catch.hpp>

#include <algorithm>
#include <thread>

#include "integration/caller_load.hpp"
#include "integration/cluster_builder.hpp"
#include "integration/execution_checks.hpp"

using namespace lovagetack;

namespace {

std::size_t executions_of(const harness::execution_list& executions, const std::string& idempotency_key) {
    return static_cast<std::size_t>(std::count_if(executions.begin(), executions.end(), [&](const auto& record) {
        return record.idempotency_key == idempotency_key;
    }));
}

/// POST with the same idempotency key at all addresses at once.
harness::call_list post_everywhere(const std::vector<std::string>& addresses, const std::string& key,
                                   const std::string& idempotency_key) {
    harness::call_list calls(addresses.size());
    std::vector<std::thread> callers;
    for (std::size_t index = 0; index < addresses.size(); ++index) {
        callers.emplace_back(
            [&, index] { calls[index] = harness::call_key(addresses[index], "POST", key, idempotency_key); });
    }
    for (auto& caller : callers) {
        caller.join();
    }
    return calls;
}

bool lost_answer_of_claim(const harness::cluster& cluster) {
    const auto history = cluster.history();
    return std::any_of(history.begin(), history.end(), [](const auto& transaction) {
        return transaction.answer_lost && transaction.applied && !transaction.writes.empty() &&
               transaction.writes.front().table == "idempotency";
    });
}

} // namespace

// Guards against a payment that is made twice because it was sent twice.
TEST_CASE("an idempotency key is executed once", "[idempotency]") {
    const auto cluster = harness::cluster_builder().build().value();
    harness::call_list all;
    constexpr int rounds = 20;
    for (int round = 0; round < rounds; ++round) {
        const auto name = "payment-" + std::to_string(round);
        const auto calls = post_everywhere(cluster->callers_addresses(), "key-" + std::to_string(round), name);
        INFO(name);
        CHECK(std::any_of(calls.begin(), calls.end(), [](const auto& call) { return call.succeeded(); }));
        for (const auto& call : calls) {
            INFO(call.request_id << " status " << call.result.status << ' ' << call.outcome());
            const bool is_repeat = call.result.status == 409 || call.outcome() == "repeated";
            CHECK((call.succeeded() || is_repeat));
        }
        // A later repeat, too, at an instance that may not have taken the first one. The outcome is stored just after
        // the first answer, and until then the repeat is told 409.
        const auto is_over = [&] {
            all.push_back(
                harness::call_key(cluster->callers_addresses().back(), "POST", "key-" + std::to_string(round), name));
            return all.back().outcome() != "unknown";
        };
        harness::wait_for(is_over, "the stored answer of " + name);
        CHECK(all.back().outcome() == "repeated");
        CHECK(executions_of(cluster->executions(), name) == 1);
        all.insert(all.end(), calls.begin(), calls.end());
    }
    const auto executions = cluster->executions();
    CHECK(harness::faults_in_single_execution(executions) == "");
    CHECK(harness::faults_in_not_run(all, executions) == "");
}

// Guards against a claim that took effect, but whose lost answer lets the request run twice or never.
TEST_CASE("a claim whose answer is lost still allows one execution", "[idempotency]") {
    const auto cluster = harness::cluster_builder().build().value();
    harness::call_list calls;
    constexpr int rounds = 10;
    for (int round = 0; round < rounds; ++round) {
        const auto name = "payment-" + std::to_string(round);
        cluster->order_platform(R"({"mode":"lose-answers","count":1})");
        const auto key = "key-" + std::to_string(round);
        calls.push_back(harness::call_key(cluster->callers_addresses().front(), "POST", key, name));
        INFO(name << " status " << calls.back().result.status << ' ' << calls.back().outcome());
        calls.push_back(harness::call_key(cluster->callers_addresses().back(), "POST", key, name));
        const auto executions = executions_of(cluster->executions(), name);
        CHECK(executions == (calls.back().succeeded() || calls[calls.size() - 2].succeeded() ? 1 : 0));
        CHECK(executions == 1);
    }
    CHECK(lost_answer_of_claim(*cluster));
    const auto executions = cluster->executions();
    CHECK(harness::faults_in_single_execution(executions) == "");
    CHECK(harness::faults_in_not_run(calls, executions) == "");
}

// Guards against a second execution when a connection ends while a request without idempotency key runs.
TEST_CASE("a POST whose backend server restarts meanwhile is not sent again", "[idempotency]") {
    const auto cluster = harness::cluster_builder().build().value();
    harness::call_list calls;
    for (const auto& key : harness::cluster::keys(4)) {
        const auto owner = cluster->owner_of(key, cluster->instance_names().front());
        REQUIRE_FALSE(owner.empty());
        cluster->order_server(owner, R"({"service_time_ms":300})");
        harness::call_record call;
        std::thread caller([&] { call = harness::call_key(cluster->callers_addresses().back(), "POST", key); });
        const auto has_started = [&] {
            const auto executions = cluster->executions();
            return std::any_of(executions.begin(), executions.end(),
                               [&](const auto& record) { return record.method == "POST" && record.key == key; });
        };
        harness::wait_for(has_started, "the POST to start");
        cluster->order_server(owner, R"({"restart":true,"service_time_ms":1})");
        caller.join();
        INFO(key << " status " << call.result.status << " code " << call.result.header("lovagetack-code"));
        CHECK(call.outcome() == "unknown");
        calls.push_back(call);
        cluster->wait_until_serving();
    }
    const auto executions = cluster->executions();
    CHECK(harness::faults_in_single_execution(executions) == "");
    CHECK(harness::faults_in_not_run(calls, executions) == "");
}
