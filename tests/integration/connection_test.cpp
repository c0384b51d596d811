#include <catch2/catch.hpp>

#include "integration/caller_load.hpp"
#include "integration/cluster_builder.hpp"
#include "integration/execution_checks.hpp"
#include "integration/json_page.hpp"

using namespace lovagetack;

namespace {

constexpr int cut_size = 200000;

} // namespace

// Guards against callers that wait on a connection that went silent, and against a backend server that loses its keys
// for it although new connections work.
TEST_CASE("a silent connection is replaced within the deadline", "[connection]") {
    const auto cluster = harness::cluster_builder().proxy_backends().build().value();
    harness::call_list calls;
    for (const auto& key : harness::cluster::keys(6)) {
        for (const auto& instance : cluster->instance_names()) {
            calls.push_back(harness::call_key(cluster->callers_address(instance), "GET", key));
            const auto owner = cluster->owner_of(key, instance);
            REQUIRE_FALSE(owner.empty());
            cluster->order_link(owner, "silence-open");
            calls.push_back(harness::call_key(cluster->callers_address(instance), "GET", key));
            INFO(key << " at " << instance << ": " << calls.back().result.status << ' ' << calls.back().result.body);
            CHECK(calls.back().succeeded());
            CHECK(cluster->owner_of(key, instance) == owner);
        }
    }
    CHECK(harness::faults_in(calls, cluster->executions()) == "");
}

// Guards against a caller that takes half of a file for the whole.
TEST_CASE("an answer that the backend server cuts short is not passed off as whole", "[connection]") {
    const auto cluster = harness::cluster_builder().build().value();
    for (const auto& instance : cluster->instance_names()) {
        for (const auto& key : harness::cluster::keys(6)) {
            const auto address = cluster->callers_address(instance);
            const auto cut = harness::call_key(address, "GET", key, "", "/cut/" + std::to_string(cut_size));
            INFO(key << " at " << instance << ": " << cut.result.status << ", " << cut.result.body.size() << " bytes");
            const bool looks_whole = cut.result.end == harness::call_end::answered && cut.result.status == 200;
            CHECK_FALSE(looks_whole);
            const auto whole = harness::call_key(address, "GET", key, "", "/size/" + std::to_string(cut_size));
            CHECK(whole.succeeded());
            CHECK(whole.result.body.size() == cut_size);
        }
    }
}
