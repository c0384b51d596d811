#include <catch2/catch.hpp>

#include <algorithm>

#include "base/json.hpp"
#include "membership/network.hpp"

namespace lovagetack::membership {
namespace {

using model::member_state;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

network started(int data_centres, int count, std::uint64_t seed) {
    network net(seed);
    net.start_data_centres(data_centres, count);
    net.run_for(seconds(5));
    REQUIRE(net.converged());
    REQUIRE(net.all_live());
    return net;
}

std::uint64_t member_reports(const network& net) {
    std::uint64_t sum = 0;
    for (const auto& [name, node] : net.nodes) {
        sum += node.state->totals().member_reports;
    }
    return sum;
}

// Guards against instances that never find each other, and against false reports without any fault.
TEST_CASE("instances find each other through seeds") {
    auto net = started(3, 4, 1);
    net.run_for(seconds(30));
    CHECK(member_reports(net) == 0);
    const auto& members = net.nodes.at("d1-2").members;
    REQUIRE(members.size() == 12);
    CHECK(std::is_sorted(members.begin(), members.end(),
                         [](const auto& a, const auto& b) { return a.id.value() < b.id.value(); }));
}

// Guards against a killed instance that stays a member, or is detected only after its callers have timed out.
TEST_CASE("a killed instance is reported by all within a second") {
    auto net = started(3, 4, GENERATE(2, 3, 4, 5));
    net.nodes.at("d0-1").killed = true;
    net.run_for(milliseconds(1000));
    CHECK(net.converged());
    CHECK(net.state_at("d2-3", "d0-1") == member_state::unreachable);
    CHECK(net.state_at("d0-2", "d0-1") == member_state::unreachable);
    CHECK(net.all_live());
}

// Guards against failure detection that stops in a data centre when most of its instances fail together.
TEST_CASE("instances killed together are all reported") {
    auto net = started(2, 6, 6);
    for (const auto* const name : {"d0-1", "d0-2", "d0-3", "d0-4", "d0-5"}) {
        net.nodes.at(name).killed = true;
    }
    net.run_for(seconds(6));
    CHECK(net.converged());
    CHECK(net.all_live());
    CHECK(net.state_at("d1-0", "d0-4") == member_state::unreachable);
}

// Guards against a resumed instance that reports all others because it received nothing while it was paused.
TEST_CASE("a paused instance is reported, reports no other and returns") {
    auto net = started(2, 4, GENERATE(7, 8, 9));
    auto& paused = net.nodes.at("d0-2");
    paused.paused = true;
    net.run_for(seconds(5));
    CHECK(net.state_at("d0-0", "d0-2") == member_state::unreachable);
    paused.paused = false;
    net.run_for(seconds(5));
    CHECK(net.converged());
    CHECK(net.all_live());
    CHECK(paused.state->totals().member_reports == 0);
    CHECK(paused.state->totals().pauses == 1);
    CHECK(paused.state->totals().refutations > 0);
}

// Guards against an earlier run's late messages or facts replacing those of the instance that runs now.
TEST_CASE("a restarted instance replaces its earlier incarnation") {
    auto net = started(2, 4, 10);
    const model::member earlier = net.nodes.at("d0-2").state->self();
    net.nodes.at("d0-2").killed = true;
    net.run_for(milliseconds(200));
    net.start("d0-2", "d0", 2);
    net.dispatch("d0-2", service_started{});
    net.run_for(seconds(3));
    REQUIRE(net.converged());
    REQUIRE(net.all_live());

    const auto ignored = net.nodes.at("d1-0").state->totals().messages_ignored;
    net.dispatch("d1-0",
                 model::peer_message{earlier.id, earlier.incarnation, earlier.peer_address, model::heartbeat{}});
    CHECK(net.nodes.at("d1-0").state->totals().messages_ignored == ignored + 1);
    CHECK(net.version_regressions == 0);
}

// Guards against two processes of one name that keep replacing each other's member fact.
TEST_CASE("an instance that receives a later incarnation of itself stops sending") {
    auto net = started(1, 3, 11);
    auto self = net.nodes.at("d0-1").state->self();
    const model::fact later{model::fact_kind::member, "d0-1", {2, 4}, base::to_json_text(self)};
    net.dispatch("d0-1", model::peer_message{model::instance_id("d0-0"), model::incarnation(1),
                                             network::address_of("d0-0"), model::facts{{later}}});
    CHECK(net.nodes.at("d0-1").state->is_superseded());
    const auto sent = net.nodes.at("d0-1").sent;
    net.run_for(seconds(2));
    CHECK(net.nodes.at("d0-1").sent == sent);
}

// Guards against two present members with one address after an instance was replaced under another name.
TEST_CASE("a later instance at an address marks the earlier one as left") {
    auto net = started(2, 3, 12);
    net.nodes.at("d0-1").killed = true;
    net.start("d0-1b", "d0", 2);
    auto replacement = net.nodes.at("d0-1b").state->self();
    replacement.peer_address = network::address_of("d0-1");
    replacement.sequence = 4;
    const model::fact fact{model::fact_kind::member, "d0-1b", {2, 4}, base::to_json_text(replacement)};
    net.dispatch("d1-0", model::peer_message{model::instance_id("d0-1b"), model::incarnation(2),
                                             replacement.peer_address, model::facts{{fact}}});
    CHECK(net.state_at("d1-0", "d0-1") == member_state::left);
}

// Guards against an instance being reported as unreachable because one connection is lost in one direction.
TEST_CASE("one-way partitions between two instances are bridged by probes") {
    const std::string cut_off = GENERATE(as<std::string>(), "d0-0", "d0-1", "d0-3");
    auto net = started(2, 4, 13);
    net.blocked = [cut_off](const auto& from, const auto& to) { return from == cut_off && to == "d0-2"; };
    net.run_for(seconds(20));
    CHECK(net.all_live());
    CHECK(net.nodes.at("d0-2").state->totals().member_reports == 0);
}

// Guards against false reports of an instance that receives nothing but can still send: they must not reach others.
TEST_CASE("reports of an instance that receives nothing are not forwarded") {
    auto net = started(2, 4, 15);
    net.blocked = [](const auto& from, const auto& to) { return to == "d0-1" && from != "d0-1"; };
    net.run_for(seconds(1));
    for (const auto& [name, node] : net.nodes) {
        CHECK((name == "d0-1" || node.state->totals().refutations == 0));
    }
    net.run_for(seconds(20));
    for (const auto& [name, node] : net.nodes) {
        CHECK((name == "d0-1" || node.state->totals().refutations == 0));
    }
    net.blocked = [](const auto&, const auto&) { return false; };
    net.run_for(seconds(10));
    CHECK(net.converged());
    CHECK(net.all_live());
}

// Guards against halves of a data centre that never reconnect, since neither sends heartbeats to the other.
TEST_CASE("a partition inside a data centre heals") {
    auto net = started(1, 8, GENERATE(16, 17));
    const auto side = [](const std::string& name) { return name.back() < '4'; };
    net.blocked = [side](const auto& from, const auto& to) { return side(from) != side(to); };
    net.run_for(seconds(10));
    CHECK(net.state_at("d0-0", "d0-7") == member_state::unreachable);
    net.blocked = [](const auto&, const auto&) { return false; };
    net.run_for(seconds(15));
    CHECK(net.converged());
    CHECK(net.all_live());
}

// Guards against a data centre that others report as unreachable: they cannot tell whether it is only cut off.
TEST_CASE("a data centre that is cut off is not reported") {
    auto net = started(3, 3, 18);
    net.blocked = [](const auto& from, const auto& to) { return from.starts_with("d2") != to.starts_with("d2"); };
    net.run_for(seconds(60));
    CHECK(net.all_live());
    net.nodes.at("d2-1").killed = true;
    net.run_for(seconds(2));
    net.blocked = [](const auto&, const auto&) { return false; };
    net.run_for(seconds(10));
    CHECK(net.converged());
    CHECK(net.state_at("d0-0", "d2-1") == member_state::unreachable);
}

// Guards against a graceful shutdown that is reported as a failure.
TEST_CASE("a leaving instance is reported as leaving and later as left") {
    auto net = started(2, 3, 19);
    net.dispatch("d0-1", model::shutdown_started{});
    net.run_for(milliseconds(300));
    CHECK(net.state_at("d1-1", "d0-1") == member_state::leaving);
    net.nodes.at("d0-1").killed = true;
    net.run_for(seconds(2));
    CHECK(net.converged());
    CHECK(net.state_at("d1-1", "d0-1") == member_state::left);
}

// Guards against memory that grows with every instance that ever ran, and against removed members being added again by
// an instance that was cut off for longer.
TEST_CASE("gone members and their load reports are removed for good") {
    auto net = started(2, 3, 20);
    net.dispatch("d0-1", model::publish_fact{{model::fact_kind::load_report, "d0-1", {1, 1}, "{}"}});
    net.run_for(seconds(1));
    REQUIRE(net.nodes.at("d0-0").state->find_fact(model::fact_kind::load_report, "d0-1") != nullptr);
    net.blocked = [](const auto& from, const auto& to) { return (from == "d1-2") != (to == "d1-2"); };
    net.run_for(seconds(2));
    net.nodes.at("d0-1").killed = true;
    net.run_for(minutes(10) + seconds(10));
    CHECK(net.nodes.at("d0-0").state->find_fact(model::fact_kind::member, "d0-1") == nullptr);
    CHECK(net.nodes.at("d0-0").state->find_fact(model::fact_kind::load_report, "d0-1") == nullptr);
    net.blocked = [](const auto&, const auto&) { return false; };
    net.run_for(seconds(20));
    CHECK(net.nodes.at("d0-0").state->find_fact(model::fact_kind::member, "d0-1") == nullptr);
    CHECK(net.all_live());
    CHECK(net.version_regressions == 0);
}

// Guards against the platform's lagging list removing an instance whose messages still arrive.
TEST_CASE("the platform's list seeds and confirms, but does not override observations") {
    auto net = started(2, 3, 21);
    net.dispatch("d0-0", instances_listed{{{model::instance_id("d1-1"), model::data_centre_id("d1"), true,
                                            network::address_of("d1-1")}}});
    CHECK(net.state_at("d0-0", "d1-1") == member_state::live);
    net.blocked = [](const auto& from, const auto& to) { return from[1] != to[1]; };
    net.run_for(seconds(10));
    net.dispatch("d0-0", instances_listed{{{model::instance_id("d1-1"), model::data_centre_id("d1"), true,
                                            network::address_of("d1-1")}}});
    CHECK(net.state_at("d0-0", "d1-1") == member_state::leaving);

    network fresh(22);
    fresh.start("a", "d0");
    fresh.start("b", "d0");
    fresh.dispatch("b", instances_listed{
                            {{model::instance_id("a"), model::data_centre_id("d0"), false, network::address_of("a")}}});
    fresh.run_for(seconds(3));
    CHECK(fresh.nodes.at("a").members.size() == 2);
    CHECK(fresh.converged());
}

} // namespace
} // namespace lovagetack::membership
