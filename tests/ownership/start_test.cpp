#include <catch2/catch.hpp>

#include "ownership/cluster.hpp"

namespace lovagetack {
namespace {

using namespace std::chrono_literals;
using testing::cluster;

constexpr std::uint64_t step_of_hashes = 0x0100000000000000ULL;

/// One hash in each 256th of the hash space.
std::vector<std::uint64_t> sample_hashes() {
    std::vector<std::uint64_t> hashes;
    for (std::uint64_t index = 0; index < 256; ++index) {
        hashes.push_back(index * step_of_hashes + 12345);
    }
    return hashes;
}

// Guards against a system that never gets a controller, assignments, leases or routes although nothing fails.
TEST_CASE("controllers are elected, rows created, ranges granted and routes published") {
    cluster cluster({.seed = 3});
    cluster.run(4s);
    REQUIRE(cluster.controller("a") != nullptr);
    REQUIRE(cluster.controller("b") != nullptr);
    for (const auto hash : sample_hashes()) {
        const auto executing = cluster.executing(hash);
        REQUIRE(executing.size() == 1);
        for (const auto& [id, node] : cluster.nodes) {
            const auto* routes = ownership::routes_of(node.state, model::service_id("board"));
            REQUIRE(routes != nullptr);
            const auto* range = model::find_range(*routes, hash);
            REQUIRE(range != nullptr);
            CHECK(range->owner == executing.front()->server.id);
            const auto explanation = ownership::explain(node.state, model::service_id("board"), hash);
            CHECK(explanation.owner == range->owner);
            CHECK(explanation.reason == model::change_reason::initial_assignment);
        }
    }
}

// Guards against leases that end between two renewals when nothing fails.
TEST_CASE("an undisturbed system keeps every lease") {
    cluster cluster({.seed = 4});
    cluster.run(4s);
    cluster.check = [&] {
        REQUIRE(cluster.executing(12345).size() == 1);
        REQUIRE(cluster.executing(~0ULL).size() == 1);
    };
    cluster.run(4s);
}

} // namespace
} // namespace lovagetack
