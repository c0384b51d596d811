#include <catch2/catch.hpp>

#include "ownership/cluster.hpp"

namespace lovagetack {
namespace {

using namespace std::chrono_literals;
using testing::cluster;

const model::service_id board("board");

// Guards against instances that did not make a change and guess its reason from the epoch.
TEST_CASE("every instance explains a failover, and a take-over is not taken for one") {
    cluster cluster({.seed = 51});
    cluster.run(6s);
    cluster.kill(*cluster.controller("a"));
    cluster.run(4s);
    REQUIRE(cluster.controller("a") != nullptr);
    const auto epoch = cluster.controller("a")->state.epoch;
    REQUIRE(epoch > model::epoch(1));
    auto* owner = cluster.executing(12345).front();
    owner->down = true;
    cluster.run(4s);
    for (const auto& [id, node] : cluster.nodes) {
        if (node.dead) {
            continue;
        }
        const auto moved = ownership::explain(node.state, board, 12345);
        CHECK(moved.owner != owner->server.id);
        CHECK(moved.reason == model::change_reason::failover);
        CHECK(moved.since == epoch);
        for (std::uint64_t hash = 1; hash < 64; ++hash) {
            const auto other = ownership::explain(node.state, board, hash << 58U);
            const bool kept = other.reason == model::change_reason::initial_assignment;
            CHECK((kept ? other.since == model::epoch(1) : other.since == epoch));
        }
    }
}

// Guards against a made-up reason for rows that were written before reasons were recorded.
TEST_CASE("the reason of a row without one is not known") {
    ownership::state state(model::instance_id("a0"), model::data_centre_id("a"), model::incarnation(1));
    const std::string value = R"({"service":"board","data_centre":"a","ranges":[{"first":"0","last":"9","owner":"s",)"
                              R"("owner_fence":{"epoch":"1","sequence":"1"}}]})";
    const model::fact fact{model::fact_kind::assignment, "board.a", {0, 1}, value};
    ownership::reduce(state, base::boot_time(1h), 0, model::fact_learned{fact});
    const auto explanation = ownership::explain(state, board, 5);
    CHECK(explanation.known);
    CHECK(explanation.since == model::epoch(0));
    CHECK(ownership::name_of(explanation.reason) == "not known");
}

} // namespace
} // namespace lovagetack
