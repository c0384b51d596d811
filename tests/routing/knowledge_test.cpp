#include <catch2/catch.hpp>

#include <algorithm>

#include "routing/reduce.hpp"
#include "routing/samples.hpp"
#include "routing/store_version.hpp"

namespace lovagetack::routing::testing {
namespace {

using namespace std::chrono_literals;

const model::service_id keyed_service{"board"};

key_range range_of(std::uint32_t first, std::uint32_t last, const std::string& owner, std::uint64_t fence) {
    key_range range;
    range.first = first;
    range.last = last;
    range.owner = model::backend_server_id(owner);
    range.owner_born = 1;
    range.fence = fence;
    return range;
}

assignment two_owners() {
    assignment assignment;
    assignment.next_fence = 3;
    assignment.keeper = model::instance_id("north-0");
    assignment.ranges = {range_of(0, 999, "a", 1), range_of(1000, key_count - 1, "b", 2)};
    return assignment;
}

void process_event(state& state, base::boot_time now, const event& event) {
    (void)reduce(state, now, event);
}

/// An instance of a deployment with 30 instances in two data centres, north and south; the keeper is north-0.
state instance_of(const std::string& data_centre, int number) {
    state state(identity{model::instance_id(data_centre + '-' + std::to_string(number)),
                         model::data_centre_id(data_centre), 1, 100},
                5);
    const auto now = base::boot_time(1s);
    for (int other = 0; other < 15; ++other) {
        const auto suffix = std::to_string(other);
        process_event(
            state, now,
            instance_updated{model::instance_id("north-" + suffix), {model::data_centre_id("north"), 1, {}, 100}});
        process_event(
            state, now,
            instance_updated{model::instance_id("south-" + suffix), {model::data_centre_id("south"), 1, {}, 100}});
    }
    process_event(state, now, assignment_learned{keyed_service, 10, two_owners()});
    return state;
}

std::vector<send_load> loads_in(const effects& effects) {
    std::vector<send_load> found;
    for (const auto& effect : effects) {
        if (const auto* const load = std::get_if<send_load>(&effect)) {
            found.push_back(*load);
        }
    }
    return found;
}

bool is_sent_to(const send_load& load, const std::string& instance) {
    return std::find(load.receivers.begin(), load.receivers.end(), model::instance_id(instance)) !=
           load.receivers.end();
}

} // namespace

TEST_CASE("applying a change to an assignment gives the new assignment") {
    const auto before = two_owners();
    auto after = before;
    after.ranges = {range_of(0, 499, "a", 1), range_of(500, 999, "b", 3), range_of(1000, key_count - 1, "b", 2)};
    const auto change = new_ranges(before, after);
    REQUIRE(change.size() == 2);
    REQUIRE(replace_ranges(before.ranges, change) == after.ranges);
    // Merged ranges cover several of those before.
    const auto merged = std::vector<key_range>{range_of(0, key_count - 1, "b", 3)};
    REQUIRE(replace_ranges(after.ranges, merged) == merged);
}

TEST_CASE("a change that leaves a gap or overlaps is rejected") {
    const auto before = two_owners().ranges;
    REQUIRE_FALSE(replace_ranges(before, {range_of(0, 499, "c", 3)}));
    REQUIRE_FALSE(replace_ranges(before, {range_of(0, 1200, "c", 3)}));
    REQUIRE_FALSE(replace_ranges(before, {range_of(0, 999, "c", 3), range_of(900, 999, "d", 4)}));
    REQUIRE_FALSE(replace_ranges(before, {range_of(5, 3, "c", 3)}));
    REQUIRE_FALSE(replace_ranges({}, {range_of(0, 999, "c", 3)}));
}

// Guards against applying a change to a version other than its base version, and against returning to an older version.
TEST_CASE("a change sent by the keeper is applied only to its base version") {
    auto state = instance_of("south", 0);
    auto now = base::boot_time(2s);
    const auto owner_of = [&state](std::uint32_t key) {
        return find_range(state.services[keyed_service].assignment, key)->owner.value();
    };
    assignment_changed change{keyed_service, 9, 12, 4, model::instance_id("north-1"), {range_of(0, 999, "c", 3)}};
    process_event(state, now, change);
    REQUIRE(owner_of(5) == "a");
    // An earlier change was missed, so the row is read, but not once for each such change.
    change.base_version = 11;
    const auto requests_refresh = [&] {
        const auto effects = reduce(state, now, change);
        return std::any_of(effects.begin(), effects.end(),
                           [](const effect& item) { return std::holds_alternative<refresh_assignments>(item); });
    };
    now += 400ms;
    REQUIRE(requests_refresh());
    now += 50ms;
    REQUIRE_FALSE(requests_refresh());
    REQUIRE(owner_of(5) == "a");
    change.base_version = 10;
    process_event(state, now, change);
    REQUIRE(owner_of(5) == "c");
    REQUIRE(state.services[keyed_service].assignment_version == 12);
    REQUIRE(state.assignment_keeper == model::instance_id("north-1"));
    // An older version of the row arrives late.
    process_event(state, now, assignment_learned{keyed_service, 10, two_owners()});
    REQUIRE(owner_of(5) == "c");
}

TEST_CASE("a long change of an assignment is applied when all its parts have arrived") {
    auto state = instance_of("south", 0);
    const auto now = base::boot_time(2s);
    const auto owner_of = [&state](std::uint32_t key) {
        return find_range(state.services.at(keyed_service).assignment, key)->owner.value();
    };
    assignment_changed change{keyed_service, 10, 11, 9, model::instance_id("north-1"), {}, 0, 3};
    change.ranges = {range_of(0, 99, "c", 5)};
    process_event(state, now, change);
    change.part = 2;
    change.ranges = {range_of(1000, key_count - 1, "d", 7)};
    process_event(state, now, change);
    process_event(state, now, change);
    REQUIRE(owner_of(5) == "a");
    change.part = 1;
    change.ranges = {range_of(100, 999, "e", 6)};
    process_event(state, now, change);
    REQUIRE(owner_of(5) == "c");
    REQUIRE(owner_of(500) == "e");
    REQUIRE(owner_of(5000) == "d");
    REQUIRE(state.services.at(keyed_service).assignment_version == 11);
}

// Guards against a change that no other instance is told of, because the keeper saw its own row before the answer to
// the write.
TEST_CASE("a keeper publishes a change that it reads back before the write is answered") {
    auto state = instance_of("north", 0);
    const auto now = base::boot_time(2s);
    auto& keeper = state.keeper;
    keeper.phase = keeper_phase::holding;
    keeper.lease_version = 10;
    keeper.lease.holder = state.self.instance;
    keeper.write_under_way = true;
    auto written = two_owners();
    written.ranges[0].fence = 3;
    written.next_fence = 4;
    keeper.writing[keyed_service] = written;
    process_event(state, now, assignment_learned{keyed_service, 12, written});
    std::size_t published = 0;
    for (const auto& effect : reduce(state, now, rows_written{write_outcome::written, 12, 5000, now})) {
        published += std::holds_alternative<send_change>(effect) ? 1U : 0U;
    }
    REQUIRE(published == 1);
    REQUIRE(state.services.at(keyed_service).assignment_version == 12);
}

// Keys are requested in all data centres of a large deployment. A keeper that gets samples only from its own data
// centre has too few to find the busy ranges.
TEST_CASE("the requested keys and the service times are sent to a keeper in another data centre") {
    auto state = instance_of("south", 0);
    auto now = base::boot_time(2s);
    configuration configuration;
    configuration.version = 1;
    configuration.services[keyed_service] = {keyed_service, "/health", 100, 6.0, 3000ms, true};
    configuration.routes = {route_to("/", request_kind::idempotent, keyed_service)};
    process_event(state, now, configuration_updated{configuration});
    auto server = server_of("b", keyed_service);
    server.data_centre = model::data_centre_id("south");
    server.born = 1;
    process_event(state, now, backend_server_updated{server});
    request_arrived request;
    request.exchange = 1;
    request.host = "host";
    request.path = "/";
    request.key = 2000;
    request.arrived = now;
    REQUIRE_FALSE(reduce(state, now, request).empty());
    const auto attempt = state.exchanges.at(1).attempt;
    now += 200ms;
    process_event(state, now,
                  attempt_ended{1, attempt, attempt_outcome::delivered, 200, true, reported_load{1, 0, 2, 100}});
    std::vector<send_load> sent;
    for (int turn = 0; turn < 60; ++turn) {
        now += 20ms;
        for (const auto& load : loads_in(reduce(state, now, ticked{}))) {
            sent.push_back(load);
        }
    }
    const auto to_keeper =
        std::find_if(sent.begin(), sent.end(), [](const send_load& load) { return is_sent_to(load, "north-0"); });
    REQUIRE(to_keeper != sent.end());
    REQUIRE(to_keeper->receivers.size() == 1);
    REQUIRE(to_keeper->load.keys.front().keys == std::vector<std::uint32_t>{2000});
    REQUIRE(to_keeper->load.servers.front().observations == 1);
    REQUIRE(to_keeper->load.servers.front().observed == 200ms);
    // The other instances of the data centre get messages more often; those elsewhere, except the keeper, get none.
    REQUIRE(std::count_if(sent.begin(), sent.end(),
                          [](const send_load& load) { return is_sent_to(load, "south-1"); }) >= 3);
    REQUIRE(std::none_of(sent.begin(), sent.end(), [](const send_load& load) { return is_sent_to(load, "north-1"); }));

    // The receiver updates its average.
    auto keeper = instance_of("north", 0);
    process_event(keeper, now, backend_server_updated{server});
    process_event(keeper, now, to_keeper->load);
    REQUIRE(keeper.servers.at(server.id).capacity.recent() > assumed_service_time);
    REQUIRE(keeper.services.at(keyed_service).samples.size() == 1);
}

// Guards against a keeper on an instance whose processor time the keeper's work would use up.
TEST_CASE("instances with more processor time check the lease first") {
    const auto first_check = [](std::uint32_t processor) {
        state state(identity{model::instance_id("one"), model::data_centre_id("north"), 1, processor}, 5);
        process_event(state, base::boot_time(1s), registry_complete{});
        process_event(state, base::boot_time(1s), assignments_complete{});
        return state.keeper.next_check;
    };
    REQUIRE(first_check(500) < first_check(200));
    REQUIRE(first_check(200) < first_check(100));
}

TEST_CASE("an evacuation that a restored store has lost stays in force until it can have been written again") {
    auto state = instance_of("south", 0);
    const std::set<model::data_centre_id> north{model::data_centre_id("north")};
    auto now = base::boot_time(2s);
    process_event(state, now, store_era_seen{1});
    process_event(state, now, evacuations_updated{north});
    process_event(state, now, store_era_seen{2});
    process_event(state, now, evacuations_updated{{}});
    REQUIRE(state.evacuated == north);
    process_event(state, now + evacuation_return / 2, ticked{});
    REQUIRE(state.evacuated == north);
    process_event(state, now + evacuation_return, ticked{});
    REQUIRE(state.evacuated.empty());
    // In a store that was not restored, an evacuation ends at once.
    now += 10s;
    process_event(state, now, evacuations_updated{north});
    process_event(state, now, evacuations_updated{{}});
    REQUIRE(state.evacuated.empty());
}

// Guards against waiting for others, which cannot answer an instance whose row the store has lost.
TEST_CASE("an instance that learns of a restoration from another one reads the store itself") {
    auto state = instance_of("south", 0);
    const auto now = base::boot_time(2s);
    process_event(state, now, store_era_seen{0});
    const auto in_new_era = store_version(1, 5).ordered();
    const auto effects =
        reduce(state, now,
               table_change_received{model::instance_id("south-1"), {followed_table::operators, 4, in_new_era, {}}});
    const auto reads = std::count_if(effects.begin(), effects.end(),
                                     [](const effect& item) { return std::holds_alternative<catch_up>(item); });
    REQUIRE(reads == static_cast<std::ptrdiff_t>(followed_table_count));
}

TEST_CASE("entries of a restored store do not bring back a server that is leaving or has left") {
    auto state = instance_of("south", 0);
    const auto now = base::boot_time(2s);
    process_event(state, now, store_era_seen{1});
    auto server = server_of("a", keyed_service);
    server.sequence = 4;
    process_event(state, now, backend_server_updated{server});
    const auto old_entry = server;
    server.sequence = 9;
    server.draining = true;
    process_event(state, now, backend_server_updated{server});
    process_event(state, now, store_era_seen{2});
    process_event(state, now, backend_server_updated{old_entry});
    const auto& record = state.servers.at(server.id);
    REQUIRE(record.leaving_since);
    process_event(state, now + 4s, backend_server_removed{server.id});
    REQUIRE_FALSE(record.registered);
    process_event(state, now + 4s, store_era_seen{3});
    process_event(state, now + 4s, backend_server_updated{old_entry});
    process_event(state, now + 4s, backend_server_updated{server});
    REQUIRE_FALSE(record.registered);
    server.born += 1;
    server.sequence = 0;
    server.draining = false;
    process_event(state, now + 5s, backend_server_updated{server});
    REQUIRE(record.registered);
    // The run before.
    process_event(state, now + 5s, backend_server_updated{old_entry});
    REQUIRE(record.registration.born == server.born);
}

TEST_CASE("a server that a restored store does not show is kept until it can have registered again") {
    auto state = instance_of("south", 0);
    const auto now = base::boot_time(2s);
    const auto server = server_of("a", keyed_service);
    process_event(state, now, store_era_seen{1});
    process_event(state, now, backend_server_updated{server});
    process_event(state, now + 5s, store_era_seen{2});
    process_event(state, now + 5s, backend_server_removed{server.id});
    REQUIRE(state.servers.at(server.id).registered);
    process_event(state, now + 5s + registry_return, ticked{});
    REQUIRE_FALSE(state.servers.at(server.id).registered);
}

} // namespace lovagetack::routing::testing
