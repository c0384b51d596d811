#include <catch2/catch.hpp>

#include <algorithm>

#include "base/json.hpp"
#include "membership/network.hpp"
#include "model/assignment.hpp"

namespace lovagetack::membership {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

model::fact fact_of(model::fact_kind kind, const std::string& name, std::uint64_t epoch, std::uint64_t sequence) {
    return {kind, name, {epoch, sequence}, std::to_string(epoch) + "." + std::to_string(sequence)};
}

// Guards against facts that return to an older version, or instances that keep different facts, when messages are lost,
// repeated and out of order.
TEST_CASE("facts never return to an older version and all instances agree after the faults") {
    const auto seed = GENERATE(range(100, 110));
    network net(static_cast<std::uint64_t>(seed));
    net.loss = 20;
    net.duplicates = 20;
    net.jitter = milliseconds(60);
    net.start_data_centres(3, 4);
    std::mt19937_64 random(static_cast<std::uint64_t>(seed) + 1);
    std::uint64_t incarnation = 1;
    for (int round = 0; round < 40; ++round) {
        const std::string name = "d" + std::to_string(random() % 3) + "-" + std::to_string(random() % 4);
        auto& node = net.nodes.at(name);
        switch (random() % 4) {
        case 0:
            node.paused = !node.paused;
            break;
        case 1:
            net.start(name, name.substr(0, 2), ++incarnation);
            net.dispatch(name, service_started{});
            break;
        case 2: {
            const auto from = std::to_string(random() % 3);
            net.blocked = [from](const auto& a, const auto& b) { return a.substr(1, 1) == from && a[1] != b[1]; };
            break;
        }
        default:
            if (!node.paused) {
                net.dispatch(name, model::publish_fact{fact_of(static_cast<model::fact_kind>(2 + random() % 5),
                                                               "f" + std::to_string(random() % 5), random() % 3,
                                                               random() % 50)});
            }
        }
        net.run_for(milliseconds(250));
    }
    net.loss = 0;
    net.duplicates = 0;
    net.blocked = [](const auto&, const auto&) { return false; };
    for (auto& [name, node] : net.nodes) {
        node.paused = false;
    }
    net.run_for(seconds(20));
    CHECK(net.version_regressions == 0);
    CHECK(net.converged());
    CHECK(net.all_live());
}

// Guards against an older instance that drops facts of a kind that only a newer one knows.
TEST_CASE("facts of unknown kinds are stored and forwarded") {
    network net(30);
    net.start_data_centres(2, 3);
    net.run_for(seconds(3));
    const auto later = fact_of(static_cast<model::fact_kind>(200), "later", 1, 1);
    net.dispatch("d0-0", model::publish_fact{later});
    net.run_for(seconds(2));
    for (const auto& [name, node] : net.nodes) {
        const auto* const known = node.state->find_fact(later.kind, later.name);
        REQUIRE(known != nullptr);
        CHECK(*known == later);
    }
}

// Guards against load reports, which each instance publishes every 2 s, being sent to all instances.
TEST_CASE("load reports go to the controller only") {
    network net(31);
    net.start_data_centres(2, 5);
    net.run_for(seconds(3));
    model::controller_record record;
    record.holder = model::instance_id("d0-3");
    record.current_epoch = model::epoch(1);
    net.dispatch("d0-0", model::publish_fact{{model::fact_kind::controller, "d0", {0, 1}, base::to_json_text(record)}});
    net.run_for(seconds(2));
    net.dispatch("d0-1", model::publish_fact{fact_of(model::fact_kind::load_report, "d0-1", 1, 1)});
    net.run_for(seconds(1));
    CHECK(net.converged());
    for (const auto& [name, node] : net.nodes) {
        const bool expected = name == "d0-1" || name == "d0-3";
        CHECK((node.state->find_fact(model::fact_kind::load_report, "d0-1") != nullptr) == expected);
    }
    // After a take-over while the store is down only an activation names the controller.
    model::activation activation;
    activation.controller = model::instance_id("d0-4");
    net.dispatch("d0-4",
                 model::publish_fact{{model::fact_kind::activation, "s.d0", {2, 1}, base::to_json_text(activation)}});
    net.run_for(seconds(2));
    net.dispatch("d0-1", model::publish_fact{fact_of(model::fact_kind::load_report, "d0-1", 1, 2)});
    net.run_for(seconds(1));
    const auto* const known = net.nodes.at("d0-4").state->find_fact(model::fact_kind::load_report, "d0-1");
    REQUIRE(known != nullptr);
    CHECK(known->version.sequence == 2);
}

// Guards against unbounded memory when a peer keeps sending new names or huge values.
TEST_CASE("the fact store is bounded") {
    limits small;
    small.maximum_facts = 10;
    small.maximum_bytes = 10000;
    small.maximum_fact_bytes = 1000;
    network net(32);
    net.start("a", "d0", 1, small);
    for (int count = 0; count < 100; ++count) {
        net.dispatch("a",
                     model::publish_fact{fact_of(model::fact_kind::activation, "f" + std::to_string(count), 1, 1)});
    }
    CHECK(net.nodes.at("a").state->fact_count() == 10);
    CHECK(net.nodes.at("a").state->totals().facts_refused == 91);
    model::fact huge = fact_of(model::fact_kind::activation, "f1", 2, 1);
    huge.value.assign(1001, 'x');
    net.dispatch("a", model::publish_fact{huge});
    CHECK(net.nodes.at("a").state->find_fact(model::fact_kind::activation, "f1")->version.epoch == 1);
    // Facts of known names are still updated.
    net.dispatch("a", model::publish_fact{fact_of(model::fact_kind::activation, "f1", 2, 1)});
    CHECK(net.nodes.at("a").state->find_fact(model::fact_kind::activation, "f1")->version.epoch == 2);
}

// Guards against damaged member facts from a peer.
TEST_CASE("facts without a name and members that cannot be parsed are refused") {
    network net(33);
    net.start("a", "d0");
    const auto from_b = [](model::fact fact) {
        return model::peer_message{
            model::instance_id("b"), model::incarnation(1), {"10.0.0.b", 7000}, model::facts{{std::move(fact)}}};
    };
    net.dispatch("a", from_b(fact_of(model::fact_kind::activation, "", 1, 1)));
    net.dispatch("a", from_b({model::fact_kind::member, "b", {1, 4}, "not JSON"}));
    net.dispatch("a", from_b({model::fact_kind::member, "b", {1, 4}, R"({"id":"c"})"}));
    net.dispatch("a", model::publish_fact{{model::fact_kind::member, "b", {1, 4}, "{}"}});
    CHECK(net.nodes.at("a").state->totals().facts_refused == 4);
    CHECK(net.nodes.at("a").state->members().size() == 1);
}

// Guards against a digest that depends on the order in which facts arrived: digests of equal facts would never match.
TEST_CASE("equal facts give equal digests in any order") {
    const limits limits;
    std::vector<model::fact> list;
    for (std::uint64_t index = 0; index < 50; ++index) {
        list.push_back(fact_of(model::fact_kind::activation, "f" + std::to_string(index % 20), index % 7, index));
    }
    fact_store first(limits);
    fact_store second(limits);
    for (const auto& fact : list) {
        first.put(fact, true);
    }
    std::shuffle(list.begin(), list.end(), std::mt19937_64(34));
    for (const auto& fact : list) {
        second.put(fact, true);
    }
    CHECK(first.digest() == second.digest());
    second.put(fact_of(model::fact_kind::activation, "f0", 7, 0), true);
    CHECK(first.digest() != second.digest());
    second.put(fact_of(model::fact_kind::load_report, "r", 1, 1), false);
    second.erase(model::fact_kind::activation, "f0");
    first.erase(model::fact_kind::activation, "f0");
    CHECK(first.digest() == second.digest());
}

struct traffic {
    double messages_per_second = 0;
    double bytes_per_second = 0;
};

/// Traffic of the busiest instance of an idle deployment over 5 s.
traffic idle_traffic(int per_data_centre, std::uint64_t seed) {
    network net(seed);
    net.start_data_centres(5, per_data_centre);
    net.run_for(seconds(5));
    REQUIRE(net.converged());
    for (auto& [name, node] : net.nodes) {
        node.sent = 0;
        node.sent_bytes = 0;
    }
    net.run_for(seconds(5));
    traffic busiest;
    for (const auto& [name, node] : net.nodes) {
        busiest.messages_per_second = std::max(busiest.messages_per_second, static_cast<double>(node.sent) / 5);
        busiest.bytes_per_second = std::max(busiest.bytes_per_second, static_cast<double>(node.sent_bytes) / 5);
    }
    return busiest;
}

// Guards against traffic that grows with the number of instances. Bounds: 20 ring and 4 remote heartbeats per second
// with a margin of a tenth, and 2 KB/s.
TEST_CASE("the traffic of an idle deployment does not depend on its size") {
    for (const int per_data_centre : {2, 8, 32}) {
        const auto busiest = idle_traffic(per_data_centre, 40);
        INFO(per_data_centre << " per data centre: " << busiest.messages_per_second << " messages/s, "
                             << busiest.bytes_per_second << " bytes/s");
        CHECK(busiest.messages_per_second <= 26.4);
        CHECK(busiest.bytes_per_second <= 2048);
    }
}

} // namespace
} // namespace lovagetack::membership
