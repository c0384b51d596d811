#include <catch2/catch.hpp>

#include "ownership/cluster.hpp"

namespace lovagetack {
namespace {

using namespace std::chrono_literals;
using testing::cluster;

/// Milliseconds of simulated time until some server executes the hash; -1 after 10 s.
int time_to_owner(cluster& cluster, std::uint64_t hash) {
    for (int waited = 0; waited < 10000; waited += 10) {
        if (!cluster.executing(hash).empty()) {
            return waited;
        }
        cluster.run(10ms);
    }
    return -1;
}

int entries(const cluster& cluster, const std::string& name) {
    int count = 0;
    for (const auto& [id, node] : cluster.nodes) {
        const auto found = node.entries.find(name);
        count += found == node.entries.end() ? 0 : found->second;
    }
    return count;
}

bool serves(cluster& cluster, const std::string& data_centre) {
    for (std::uint64_t hash = 1; hash < 64; ++hash) {
        const auto executing = cluster.executing(hash << 58U);
        if (!executing.empty() && executing.front()->server.data_centre.value() == data_centre) {
            return true;
        }
    }
    return false;
}

std::size_t served(cluster& cluster) {
    std::size_t count = 0;
    for (std::uint64_t hash = 0; hash < 64; ++hash) {
        count += cluster.executing(hash << 58U).size();
    }
    return count;
}

// Guards against a failover that needs the store, or that takes longer than the lease and its detection.
TEST_CASE("the successor serves within 800 ms of the loss of the owner, with the store down") {
    cluster cluster({.seed = 11});
    cluster.run(4s);
    cluster.store.up = false;
    auto* owner = cluster.executing(12345).front();
    owner->down = true;
    const auto waited = time_to_owner(cluster, 12345);
    CHECK(waited >= 300);
    CHECK(waited <= 800);
    CHECK(cluster.executing(12345).front()->server.id != owner->server.id);
    CHECK(entries(cluster, "lease_lapsed") == 1);
    cluster.store.up = true;
    cluster.run(4s);
    const auto explanation = ownership::explain(cluster.controller("a")->state, model::service_id("board"), 12345);
    CHECK(explanation.owner == cluster.executing(12345).front()->server.id);
    CHECK(explanation.successor != owner->server.id);
}

// Guards against a loss of the controller that interrupts the keys.
TEST_CASE("leases outlive a killed controller, also with the store down") {
    cluster cluster({.seed = 12});
    cluster.run(6s);
    cluster.store.up = false;
    cluster.kill(*cluster.controller("a"));
    cluster.check = [&] { REQUIRE(served(cluster) == 64); };
    cluster.run(3s);
    REQUIRE(cluster.controller("a") != nullptr);
    CHECK(cluster.controller("a")->state.epoch > model::epoch(1));
}

// Guards against grants of a controller that was paused and does not know it.
TEST_CASE("a resumed controller grants and acknowledges nothing") {
    cluster cluster({.seed = 13});
    cluster.run(6s);
    auto* old = cluster.controller("a");
    cluster.pause(*old, 2s);
    cluster.run(1900ms);
    REQUIRE(cluster.controller("a") != nullptr);
    const auto epoch = cluster.controller("a")->state.epoch;
    cluster.run(2s);
    CHECK_FALSE(ownership::is_controller(old->state, cluster.now));
    CHECK(cluster.controller("a")->state.epoch == epoch);
}

// Guards against keys that stay on a server that is about to stop.
TEST_CASE("ranges leave a draining server") {
    cluster cluster({.seed = 14});
    cluster.run(4s);
    auto* server = cluster.executing(12345).front();
    server->draining = true;
    cluster.run(2s);
    CHECK(server->ranges.empty());
    CHECK(served(cluster) == 64);
}

// Guards against a revoked range that is granted while a request of it is still executed.
TEST_CASE("a range moves only after its last request has ended") {
    cluster cluster({.seed = 15});
    cluster.run(4s);
    auto* server = cluster.executing(12345).front();
    server->activity = {{0, 12345, model::service_id("board"), 1}};
    server->draining = true;
    cluster.run(2s);
    CHECK(cluster.executing(12345).empty());
    server->activity.clear();
    cluster.run(500ms);
    CHECK(cluster.executing(12345).size() == 1);
}

// Guards against a drained data centre that keeps keys, and against one that never gets them back.
TEST_CASE("a drained data centre hands over its ranges and gets them back under the budget") {
    cluster cluster({.seed = 16});
    cluster.run(4s);
    REQUIRE(serves(cluster, "b"));
    cluster.set_states({{model::subject_kind::data_centre, "b", model::availability::drained, 0, 0ms}});
    cluster.run(5s);
    CHECK_FALSE(serves(cluster, "b"));
    CHECK(served(cluster) == 64);
    cluster.set_states({});
    cluster.run(9s);
    const auto row = cluster.store.rows.at({"assignments", "board.b"});
    model::assignment value;
    REQUIRE(base::from_json_text(row.value, value));
    CHECK(value.ranges.size() == 2);
    cluster.run(60s);
    CHECK(serves(cluster, "b"));
    CHECK(served(cluster) == 64);
}

// Guards against keys that are lost with a data centre.
TEST_CASE("the ranges of a lost data centre are reassigned") {
    cluster cluster({.seed = 17});
    cluster.run(4s);
    for (auto& [id, node] : cluster.nodes) {
        if (node.member.data_centre.value() == "b") {
            cluster.kill(node);
        }
    }
    for (auto& [id, server] : cluster.servers) {
        server.down = server.server.data_centre.value() == "b";
    }
    cluster.run(2s);
    CHECK(served(cluster) < 64);
    cluster.set_states({{model::subject_kind::data_centre, "b", model::availability::lost, 0, 0ms}});
    cluster.run(2s);
    CHECK(served(cluster) == 64);
}

// Guards against two home instances that may send to a server that does not check grants.
TEST_CASE("one instance at a time holds the home lease of an unchecked server") {
    cluster cluster({.data_centres = {"a"}, .seed = 18, .checks_grants = false});
    cluster.run(10s);
    std::map<model::backend_server_id, int> holders;
    const auto count = [&] {
        holders.clear();
        for (const auto& [id, node] : cluster.nodes) {
            for (const auto& [server, ends_at] : node.state.home_leases) {
                holders[server] += ends_at > cluster.now ? 1 : 0;
            }
        }
    };
    count();
    CHECK(holders.size() == 4);
    cluster.check = [&] {
        count();
        for (const auto& [server, number] : holders) {
            REQUIRE(number <= 1);
        }
    };
    auto* other = &cluster.nodes.begin()->second;
    if (other == cluster.controller("a")) {
        other = &std::next(cluster.nodes.begin())->second;
    }
    cluster.pause(*other, 3s);
    cluster.run(10s);
    CHECK(holders.size() == 4);
}

} // namespace
} // namespace lovagetack
