#include <catch2/catch.hpp>

#include <algorithm>

#include "ownership/cluster.hpp"

namespace lovagetack {
namespace {

using namespace std::chrono_literals;
using testing::cluster;

const model::service_id board("board");

int controllers(const cluster& cluster) {
    return static_cast<int>(std::count_if(cluster.nodes.begin(), cluster.nodes.end(), [&](const auto& entry) {
        return !entry.second.dead && ownership::is_controller(entry.second.state, cluster.now);
    }));
}

model::controller_record record_of(const cluster& cluster) {
    model::controller_record record;
    base::from_json_text(cluster.store.rows.at({"controllers", "a"}).value, record);
    return record;
}

std::size_t served(cluster& cluster) {
    std::size_t count = 0;
    for (std::uint64_t hash = 0; hash < 64; ++hash) {
        count += cluster.executing(hash << 58U).size();
    }
    return count;
}

// Guards against two controllers of a data centre without witnesses, and against none after a loss of the controller.
TEST_CASE("without witnesses the lease in the store decides who controls") {
    cluster cluster({.data_centres = {"a"}, .seed = 41, .checks_grants = false});
    cluster.check = [&] { REQUIRE(controllers(cluster) <= 1); };
    cluster.run(10s);
    auto* first = cluster.controller("a");
    REQUIRE(first != nullptr);
    REQUIRE(record_of(cluster).witnesses.empty());
    cluster.pause(*first, 8s);
    cluster.run(7500ms);
    REQUIRE(cluster.controller("a") != nullptr);
    CHECK(cluster.controller("a") != first);
    cluster.run(3s);
    CHECK(cluster.controller("a") != first);
}

// Guards against a controller that goes on granting without being able to renew its lease in the store.
TEST_CASE("without witnesses an outage of the store ends the authority") {
    cluster cluster({.data_centres = {"a"}, .seed = 42, .checks_grants = false});
    cluster.run(10s);
    REQUIRE(cluster.controller("a") != nullptr);
    cluster.store.up = false;
    cluster.run(3100ms);
    CHECK(cluster.controller("a") == nullptr);
    cluster.store.up = true;
    cluster.run(12s);
    CHECK(cluster.controller("a") != nullptr);
}

// Guards against consecutive witness lists whose majorities share no server, and against drained servers that stay.
TEST_CASE("witnesses are removed and added one at a time") {
    cluster cluster({.data_centres = {"a"}, .servers = 5, .seed = 43});
    cluster.run(6s);
    auto last = record_of(cluster).witnesses;
    REQUIRE(last.size() == 5);
    const auto missing_in = [](const auto& list, const auto& other) {
        return std::count_if(list.begin(), list.end(),
                             [&](const auto& id) { return std::find(other.begin(), other.end(), id) == other.end(); });
    };
    cluster.after_transaction = [&] {
        const auto next = record_of(cluster).witnesses;
        REQUIRE(missing_in(last, next) + missing_in(next, last) <= 1);
        last = next;
    };
    cluster.set_states({{model::subject_kind::backend_server, "a-s0", model::availability::drained, 0, 0ms},
                        {model::subject_kind::backend_server, "a-s1", model::availability::drained, 0, 0ms}});
    cluster.run(4s);
    CHECK(last.size() == 3);
    cluster.set_states({});
    cluster.run(4s);
    CHECK(last.size() == 5);
    CHECK(served(cluster) == 64);
}

// Guards against a server that refuses the controller for good, since it accepted the epoch of a claim that failed.
TEST_CASE("the controller takes an epoch above the one that a server has accepted") {
    cluster cluster({.data_centres = {"a"}, .seed = 44});
    cluster.run(6s);
    auto* controller = cluster.controller("a");
    REQUIRE(controller != nullptr);
    auto* server = cluster.executing(12345).front();
    server->epoch = model::epoch(50);
    cluster.run(4s);
    REQUIRE(cluster.controller("a") == controller);
    CHECK(controller->state.epoch > model::epoch(50));
    CHECK(server->epoch == controller->state.epoch);
    CHECK(record_of(cluster).current_epoch == controller->state.epoch);
    CHECK(served(cluster) == 64);
}

/// The other one of two nodes.
cluster::node& other_node(cluster& cluster, const cluster::node& node) {
    auto& first = cluster.nodes.begin()->second;
    return &first == &node ? std::next(cluster.nodes.begin())->second : first;
}

/// Makes one server refuse the controller, waits until it has raised its epoch, and for `after` longer.
void raise_epoch(cluster& cluster, std::chrono::milliseconds after) {
    auto* controller = cluster.controller("a");
    REQUIRE(controller != nullptr);
    const auto refused_from = controller->state.epoch.next();
    cluster.executing(12345).front()->epoch = refused_from;
    for (int waited = 0; waited < 100 && record_of(cluster).current_epoch <= refused_from; ++waited) {
        cluster.run(20ms);
    }
    REQUIRE(record_of(cluster).current_epoch > refused_from);
    cluster.run(after);
}

// Guards against a data centre without a controller while the store is down, since every candidate would have reserved
// its next epoch only at its next idle read.
TEST_CASE("candidates reserve new epochs soon after the controller has raised its own") {
    const auto seed = GENERATE(range(51U, 61U));
    CAPTURE(seed);
    cluster cluster({.data_centres = {"a"}, .instances = 2, .seed = seed});
    cluster.run(8s);
    raise_epoch(cluster, 1500ms);
    REQUIRE(served(cluster) == 64);
    cluster.store.up = false;
    cluster.kill(*cluster.controller("a"));
    cluster.run(3s);
    CHECK(cluster.controller("a") != nullptr);
    CHECK(served(cluster) == 64);
}

// Guards against a candidate that keeps a reservation that the witnesses would refuse until its next idle read. No
// controller moves this one, since it is above the current epoch in the store.
TEST_CASE("a candidate soon replaces a reservation below an epoch that it has heard of") {
    const auto seed = GENERATE(range(81U, 91U));
    CAPTURE(seed);
    cluster cluster({.data_centres = {"a"}, .instances = 2, .seed = seed});
    cluster.run(8s);
    auto* controller = cluster.controller("a");
    REQUIRE(controller != nullptr);
    auto& candidate = other_node(cluster, *controller);
    const model::epoch heard(50);
    cluster.deliver(candidate.state.id, ownership::controller_heard{controller->state.id, heard});
    cluster.run(1500ms);
    CHECK(candidate.state.reservation.value_or(model::epoch()) > heard);
}

// Guards against a raised epoch that leaves no candidate with a usable reservation until each has written a new one.
TEST_CASE("a raised epoch moves the reservations of the candidates above it") {
    const auto seed = GENERATE(range(61U, 71U));
    CAPTURE(seed);
    cluster cluster({.data_centres = {"a"}, .instances = 2, .seed = seed});
    cluster.run(8s);
    raise_epoch(cluster, 20ms);
    cluster.store.up = false;
    cluster.kill(*cluster.controller("a"));
    cluster.run(3s);
    CHECK(cluster.controller("a") != nullptr);
    CHECK(served(cluster) == 64);
}

// Guards against two processes of one name that claim with the same epoch: the later one of a replaced instance must
// not take over a reservation of the former one.
TEST_CASE("only the process that made a reservation follows it when it is moved") {
    const auto seed = GENERATE(range(71U, 81U));
    CAPTURE(seed);
    cluster cluster({.data_centres = {"a"}, .instances = 2, .seed = seed});
    cluster.run(8s);
    auto* controller = cluster.controller("a");
    REQUIRE(controller != nullptr);
    auto& candidate = other_node(cluster, *controller);
    REQUIRE(candidate.state.reservation.has_value());

    // Other processes of the candidate's name know the same rows and members: one never reserved an epoch, the other
    // one did before.
    ownership::state later(candidate.state.id, candidate.state.data_centre, model::incarnation(2), {});
    later.members = candidate.state.members;
    auto former = later;
    former.reservation = model::epoch(1);
    former.reserved_epoch = model::epoch(1);
    raise_epoch(cluster, 20ms);
    const auto& row = cluster.store.rows.at({"controllers", "a"});
    const model::fact fact{model::fact_kind::controller, "a", {0, row.version}, row.value};
    (void)ownership::reduce(later, cluster.now, 0, model::fact_learned{fact});
    (void)ownership::reduce(former, cluster.now, 0, model::fact_learned{fact});

    const auto record = record_of(cluster);
    REQUIRE(record.reservations.size() == 1);
    CHECK(record.reservations.front().candidate == candidate.state.id);
    CHECK(record.reservations.front().epoch > record.current_epoch);
    CHECK(candidate.state.reservation == record.reservations.front().epoch);
    CHECK_FALSE(later.reservation.has_value());
    CHECK(former.reservation == model::epoch(1));
}

// Guards against a controller that has been replaced, still has authority for a moment and puts its own activation in
// place of the later one: no fact is delivered twice, so its routes would stay out of date.
TEST_CASE("a replaced controller keeps the activation of a later epoch that it has learned") {
    cluster cluster({.data_centres = {"a"}, .seed = 91});
    cluster.run(6s);
    auto* controller = cluster.controller("a");
    REQUIRE(controller != nullptr);
    const auto id = controller->state.id;
    const auto& known = controller->state.activations.at({board, model::data_centre_id("a")});
    const auto published = controller->state.activation_sequence;
    const auto later = controller->state.epoch.next().value();
    const model::fact fact{model::fact_kind::activation, "board.a", {later, 1}, base::to_json_text(known.value)};
    cluster.deliver(id, model::fact_learned{fact});
    cluster.executing(12345).front()->down = true;
    cluster.run(2s);
    REQUIRE(controller->state.activation_sequence > published);
    CHECK(known.version == model::fact_version{later, 1});
}

// Guards against activations that every instance ignores, since a controller that claims its epoch again numbers them
// from 1 again.
TEST_CASE("a controller that claims its epoch again publishes activations above the former ones") {
    cluster cluster({.data_centres = {"a"}, .instances = 2, .seed = 92});
    cluster.run(8s);
    cluster.store.up = false;
    cluster.kill(*cluster.controller("a"));
    cluster.run(3s);
    auto* controller = cluster.controller("a");
    REQUIRE(controller != nullptr);
    const auto epoch = controller->state.epoch;
    // A failover and a return raise the number of the last activation above those of the next term.
    auto& lost = *cluster.executing(12345).front();
    lost.down = true;
    cluster.run(2s);
    lost.restart(cluster.now);
    cluster.run(4s);
    const auto last = controller->state.activation_sequence;
    for (auto& [id, server] : cluster.servers) {
        server.frozen_until = cluster.now + 3s;
    }
    cluster.run(6s);
    REQUIRE(cluster.controller("a") == controller);
    REQUIRE(controller->state.epoch == epoch);
    REQUIRE(controller->entries.at("controller_claim") > 1);
    CHECK(controller->state.activation_sequence > last);
    const auto& known = controller->state.activations.at({board, model::data_centre_id("a")});
    CHECK(known.value.ranges == controller->state.published.at(board));
    CHECK(known.version == model::fact_version{epoch.value(), controller->state.activation_sequence});
    CHECK(controller->facts.at({model::fact_kind::activation, "board.a"}).version == known.version);
}

// Guards against a successor that serves while a request that the home instance sent under its lease still runs.
TEST_CASE("failover of an unchecked server waits for the home lease and the longest deadline") {
    cluster cluster({.data_centres = {"a"}, .seed = 45, .checks_grants = false});
    cluster.run(10s);
    const auto owner = [&]() -> model::backend_server_id {
        const auto* routes = ownership::routes_of(cluster.controller("a")->state, board);
        const auto* range = routes == nullptr ? nullptr : model::find_range(*routes, 12345);
        return range == nullptr ? model::backend_server_id() : range->owner;
    };
    const auto lost = owner();
    REQUIRE_FALSE(lost.empty());
    base::boot_time leased_until;
    bool moved = false;
    cluster.check = [&] {
        for (const auto& [id, node] : cluster.nodes) {
            const auto found = node.state.home_leases.find(lost);
            leased_until = found == node.state.home_leases.end() ? leased_until : std::max(leased_until, found->second);
        }
        const auto now_owner = owner();
        if (!moved && !now_owner.empty() && now_owner != lost) {
            moved = true;
            REQUIRE(cluster.now >= leased_until + 1s);
        }
    };
    cluster.run(10ms);
    REQUIRE(leased_until > cluster.now);
    cluster.servers.at(lost).down = true;
    cluster.run(3s);
    CHECK(moved);
}

} // namespace
} // namespace lovagetack
