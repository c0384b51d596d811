#include <catch2/catch.hpp>

#include <iostream>

#include "base/key_hash.hpp"
#include "ownership/cluster.hpp"

namespace lovagetack {
namespace {

using namespace std::chrono_literals;
using testing::cluster;

/// Processor time of a fixed piece of work. The figures are given in this unit, so that runs on busy machines can be
/// compared.
std::chrono::nanoseconds unit_of_work() {
    const auto before = std::clock();
    std::uint64_t sum = 0;
    std::map<std::string, std::uint64_t> values;
    for (int index = 0; index < 200000; ++index) {
        const auto key = "key-" + std::to_string(index % 4096);
        sum += base::key_hash(key);
        values[key] = sum;
    }
    const auto ticks = std::clock() - before;
    return std::chrono::microseconds(values.empty() ? 0 : ticks * 1000000 / CLOCKS_PER_SEC);
}

// Guards against decisions that take a growing part of a core on an idle deployment. Hidden, since it prints figures
// and checks nothing.
TEST_CASE("processor time of the reducer per simulated second", "[.benchmark]") {
    const auto unit = unit_of_work();
    std::cout << "unit of work: " << unit.count() / 1000 << " us\n";
    for (const int ranges : {64, 256, 1024}) {
        cluster cluster({.data_centres = {"a"}, .servers = 12, .seed = 31, .initial_ranges = ranges});
        cluster.run(5s);
        for (auto& [id, node] : cluster.nodes) {
            node.spent = 0ns;
        }
        cluster.run(5s);
        for (const auto& [id, node] : cluster.nodes) {
            const auto spent = node.spent / 5;
            std::cout << ranges << " ranges, " << (&node == cluster.controller("a") ? "controller" : "candidate")
                      << ": " << spent.count() / 1000 << " us, "
                      << static_cast<double>(spent.count()) / static_cast<double>(unit.count()) << " units\n";
        }
    }
}

} // namespace
} // namespace lovagetack
