#include <catch2/catch.hpp>

#include <algorithm>

#include "ownership/cluster.hpp"

namespace lovagetack {
namespace {

using namespace std::chrono_literals;
using testing::cluster;

const model::service_id board("board");

model::assignment row_of(const cluster& cluster) {
    model::assignment row;
    base::from_json_text(cluster.store.rows.at({"assignments", "board.a"}).value, row);
    return row;
}

/// Delivers a load report to every instance, with the number of requests of each range of the row.
template <class Load>
void report(cluster& cluster, std::uint64_t sequence, Load load, std::vector<model::hot_key> hot_keys) {
    model::load_report report;
    report.instance = model::instance_id("a0");
    for (const auto& entry : row_of(cluster).ranges) {
        report.ranges.push_back({board, entry.first, entry.last, load(entry)});
    }
    report.hot_keys = std::move(hot_keys);
    const model::fact fact{model::fact_kind::load_report, "a0", {1, sequence}, base::to_json_text(report)};
    for (const auto& [id, node] : cluster.nodes) {
        cluster.deliver(id, model::fact_learned{fact});
    }
}

// Guards against a loaded server that keeps all its ranges, and against moves that go on when the load is even.
TEST_CASE("a range moves from the most to the least loaded server") {
    cluster cluster({.data_centres = {"a"}, .seed = 21});
    cluster.run(4s);
    const model::backend_server_id loaded("a-s0");
    const auto before = row_of(cluster);
    const auto owned = [&](const model::assignment& row) {
        return std::count_if(row.ranges.begin(), row.ranges.end(),
                             [&](const auto& entry) { return entry.owner == loaded; });
    };
    const auto start = owned(before);
    for (std::uint64_t sequence = 1; sequence <= 4; ++sequence) {
        report(cluster, sequence, [&](const auto& entry) { return entry.owner == loaded ? 150U : 100U; }, {});
        cluster.run(2s);
    }
    CHECK(owned(row_of(cluster)) == start - 1);
    const auto moved = row_of(cluster);
    for (const auto& entry : moved.ranges) {
        REQUIRE(cluster.executing(entry.first).size() == 1);
        CHECK(cluster.executing(entry.first).front()->server.id == entry.owner);
    }
}

// Guards against a move at every load report, since each move interrupts a range.
TEST_CASE("moves within a data centre keep to their budget") {
    cluster cluster({.data_centres = {"a"}, .seed = 24, .initial_ranges = 32});
    cluster.run(4s);
    const model::backend_server_id loaded("a-s0");
    const auto moves = [&] { return cluster.controller("a")->entries["range_moved"]; };
    // This load needs 3 moves; reports alone would allow one every 4 s.
    std::vector<int> after_second = {moves()};
    for (std::uint64_t sequence = 1; sequence <= 26; ++sequence) {
        report(cluster, sequence, [&](const auto& entry) { return entry.owner == loaded ? 200U : 100U; }, {});
        cluster.run(1s);
        after_second.push_back(moves());
    }
    for (std::size_t second = 10; second < after_second.size(); ++second) {
        CHECK(after_second[second] - after_second[second - 10] <= 2);
    }
    CHECK(after_second.back() == 3);
}

// Guards against a hot key that can't be moved since it shares a range with others.
TEST_CASE("a hot key gets a range of its own without an interruption") {
    cluster cluster({.data_centres = {"a"}, .seed = 22});
    cluster.run(4s);
    const std::uint64_t hash = 0x1234567812345678ULL;
    cluster.check = [&] { REQUIRE(cluster.executing(hash - 1).size() == 1); };
    report(cluster, 1, [](const auto&) { return 100U; }, {{board, hash, 90, 5}});
    cluster.run(2500ms);
    const auto row = row_of(cluster);
    CHECK(std::any_of(row.ranges.begin(), row.ranges.end(),
                      [&](const auto& entry) { return entry.first == hash && entry.last == hash; }));
    CHECK(row.ranges.size() == 18);
}

// Guards against rows that keep a range for every former hot key, and against a range with too much load that stays
// whole.
TEST_CASE("heavy ranges are split and cold ones merged") {
    cluster cluster({.data_centres = {"a"}, .seed = 23, .initial_ranges = 8});
    cluster.run(4s);
    report(cluster, 1, [](const auto& entry) { return entry.first == 0 ? 1000U : 100U; }, {});
    cluster.run(2500ms);
    CHECK(row_of(cluster).ranges.size() == 9);
    report(cluster, 2, [](const auto& entry) { return entry.first < (1ULL << 61U) - 8 ? 1U : 100U; }, {});
    cluster.run(4s);
    CHECK(row_of(cluster).ranges.size() == 8);
}

} // namespace
} // namespace lovagetack
