#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <map>
#include <optional>
#include <random>
#include <utility>

#include "routing/deployment.hpp"
#include "routing/single_instance.hpp"

namespace lovagetack::routing::testing {
namespace {

const server_signals leaving{true, 0ms, {}};

server_signals pause_of(std::chrono::milliseconds time) {
    return {false, time, {}};
}

/// The server of the request's last attempt turns it away.
void turn_away(instance& instance, exchange_id id, std::chrono::milliseconds pause) {
    instance.signal(id, pause_of(pause));
    instance.end(id, attempt_outcome::not_run, 503);
}

/// Sends requests one after the other, each answered at once, and counts those that reach the server.
int requests_at(instance& instance, const model::backend_server_id& server, int requests) {
    int found = 0;
    for (int number = 0; number < requests; ++number) {
        const auto id = instance.request("/get/1");
        if (!instance.sent(id).empty()) {
            found += instance.sent(id).back().server == server ? 1 : 0;
            instance.end(id, attempt_outcome::delivered, 200);
        }
    }
    return found;
}

} // namespace

// Guards against DRAIN: a server that leaves says so in its answers, and the store may say so later or not at all.
TEST_CASE("a server that says that it leaves gets no new requests, from the head of its answer on", "[signals]") {
    instance instance(2);
    const auto id = instance.request("/get/1");
    const auto server = instance.sent(id).front().server;
    const bool store_is_away = GENERATE(false, true);
    if (store_is_away) {
        instance.process_event(store_reachability_changed{false});
    }
    // The answer goes on for long.
    instance.signal(id, leaving);
    CHECK(requests_at(instance, server, 20) == 0);
    CHECK(instance.logged("server_states_leaving") == 1);
    SECTION("also when the store says that it is ready") {
        auto ready = server_of(server.value(), unkeyed_service);
        ready.sequence = 5;
        instance.process_event(backend_server_updated{ready});
        CHECK(requests_at(instance, server, 20) == 0);
    }
    SECTION("also when its entry lapses and returns") {
        instance.process_event(store_reachability_changed{true});
        instance.advance_time(3s);
        instance.process_event(backend_server_removed{server});
        instance.process_event(backend_server_updated{server_of(server.value(), unkeyed_service)});
        CHECK(requests_at(instance, server, 20) == 0);
    }
    SECTION("also when it drained by the store before and no longer does") {
        auto entry = server_of(server.value(), unkeyed_service);
        entry.draining = true;
        instance.process_event(backend_server_updated{entry});
        entry.draining = false;
        instance.process_event(backend_server_updated{entry});
        CHECK(requests_at(instance, server, 20) == 0);
    }
    instance.end(id, attempt_outcome::delivered, 200);
}

// Guards against a server that is passed over for what the run before it, or another server at its address, has said.
TEST_CASE("the word of a server that it leaves belongs to one run of it", "[signals]") {
    instance instance(2);
    const auto id = instance.request("/get/1");
    const auto server = instance.sent(id).front().server;
    auto restarted = server_of(server.value(), unkeyed_service);
    restarted.born = 8;
    SECTION("it ends with the run") {
        instance.signal(id, leaving);
        REQUIRE(requests_at(instance, server, 20) == 0);
        instance.process_event(backend_server_updated{restarted});
        CHECK(instance.logged("server_leaving_forgotten") == 1);
        CHECK(requests_at(instance, server, 20) > 0);
    }
    SECTION("a late answer of the former run says nothing of the next") {
        instance.process_event(backend_server_updated{restarted});
        instance.signal(id, leaving);
        CHECK(requests_at(instance, server, 20) > 0);
    }
}

// Guards against a server that is out of use for good because it, or a fault on the way, said once that it leaves.
TEST_CASE("a word that the registry contradicts for a minute after it was last heard is forgotten", "[signals]") {
    instance instance(2);
    const auto first = instance.request("/get/1");
    const auto server = instance.sent(first).front().server;
    instance.signal(first, leaving);
    instance.end(first, attempt_outcome::delivered, 200);
    instance.advance_time(30s);
    SECTION("while the store answers") {
        instance.advance_time(29s);
        CHECK(requests_at(instance, server, 20) == 0);
        instance.advance_time(2s);
        CHECK(requests_at(instance, server, 20) > 0);
        CHECK(instance.state().stating_servers.empty());
    }
    SECTION("but not while the store is away, when a server that leaves cannot tell it") {
        instance.process_event(store_reachability_changed{false});
        instance.advance_time(90s);
        CHECK(requests_at(instance, server, 20) == 0);
        instance.process_event(store_reachability_changed{true});
        instance.advance_time(59s);
        CHECK(requests_at(instance, server, 20) == 0);
        instance.advance_time(2s);
        CHECK(requests_at(instance, server, 20) > 0);
    }
    SECTION("nor while the registry shows that it leaves") {
        auto entry = server_of(server.value(), unkeyed_service);
        entry.draining = true;
        instance.process_event(backend_server_updated{entry});
        instance.advance_time(60s);
        CHECK(instance.state().stating_servers.contains(server));
    }
}

// Guards against a request that still goes to the server because it waits for a connection to it.
TEST_CASE("a request of which nothing was sent yet goes to another server than the one that says that it leaves",
          "[signals]") {
    instance instance(2);
    const auto id = instance.request("/get/1");
    const auto server = instance.sent(id).front().server;
    exchange_id unsent = 0;
    while (unsent == 0) {
        const auto next = instance.request("/pay/1");
        REQUIRE_FALSE(instance.sent(next).empty());
        if (instance.sent(next).front().server == server) {
            unsent = next;
        }
    }
    instance.signal(id, leaving);
    REQUIRE(instance.count<cancel_attempt>() == 1);
    REQUIRE(instance.sent(unsent).size() == 2);
    CHECK(instance.sent(unsent).back().server != server);
    instance.end(unsent, attempt_outcome::delivered, 200);
    CHECK(instance.state().servers.at(server).outstanding == 1);
}

// Guards against DRAIN for keys: their requests can go nowhere else, but later than the drain time they must not go to
// the owner either.
TEST_CASE("an owner that says that it leaves serves its keys for a limited time, and callers are refused after it",
          "[signals]") {
    instance instance(1);
    const auto id = instance.request("/look/1");
    instance.signal(id, leaving);
    instance.end(id, attempt_outcome::delivered, 200);
    const auto served = instance.request("/look/2");
    CHECK(instance.sent(served).size() == 1);
    instance.end(served, attempt_outcome::delivered, 200);
    instance.advance_time(1500ms);
    const auto refused = instance.request("/look/3");
    CHECK(instance.sent(refused).empty());
    REQUIRE(instance.answers(refused).size() == 1);
    CHECK(instance.answers(refused).front().status == 503);
    CHECK(instance.answers(refused).front().retry_after > 0ms);
}

// Guards against requests in the queue of an owner that is sent nothing any more, which would wait for their deadline.
TEST_CASE("requests that wait for an owner are refused when it has left", "[signals]") {
    instance instance(1);
    std::vector<exchange_id> ids;
    for (int number = 0; number < 8; ++number) {
        ids.push_back(instance.request("/look/" + std::to_string(number)));
    }
    const auto waits = [&instance](exchange_id id) {
        return instance.sent(id).empty() && instance.answers(id).empty();
    };
    REQUIRE(std::any_of(ids.begin(), ids.end(), waits));
    instance.signal(ids.front(), leaving);
    instance.advance_time(1450ms);
    CHECK(std::none_of(ids.begin(), ids.end(), waits));
}

// Guards against BUDGET: requests and repeats to a server that has asked for a pause.
TEST_CASE("a server that asks for a pause gets nothing until its end", "[signals]") {
    instance instance(2);
    const auto id = instance.request("/get/1");
    const auto server = instance.sent(id).front().server;
    turn_away(instance, id, 3s);
    REQUIRE(instance.sent(id).size() == 2);
    CHECK(instance.sent(id).back().server != server);
    instance.end(id, attempt_outcome::delivered, 200);
    for (int passed = 0; passed < 29; ++passed) {
        CHECK(requests_at(instance, server, 3) == 0);
        instance.advance_time(100ms);
    }
    CHECK(instance.logged("server_states_pause") == 1);
    // The end is spread by up to a quarter, so that the instances do not return together.
    instance.advance_time(1s);
    CHECK(requests_at(instance, server, 20) > 0);
}

// Guards against a pause on a clock that stands still while the machine is suspended.
TEST_CASE("a pause goes on while the machine is suspended", "[signals]") {
    instance instance(1);
    const auto id = instance.request("/pay/1");
    turn_away(instance, id, 3s);
    instance.suspend(4s);
    CHECK(instance.sent(instance.request("/get/1")).size() == 1);
}

// Guards against callers that wait for servers that want nothing, and against a Retry-After that is too early.
TEST_CASE("where all servers pause the caller is refused at once with the earliest time to come back", "[signals]") {
    instance instance(2);
    const auto first = instance.request("/pay/1");
    turn_away(instance, first, 8s);
    REQUIRE(instance.sent(first).size() == 2);
    turn_away(instance, first, 4s);
    const auto check = [&instance](exchange_id id) {
        REQUIRE(instance.answers(id).size() == 1);
        CHECK(instance.answers(id).front().status == 503);
        CHECK(instance.answers(id).front().retry_after >= 4s);
        CHECK(instance.answers(id).front().retry_after <= 5s + shortest_retry_after + retry_after_spread);
    };
    check(first);
    const auto next = instance.request("/get/1");
    CHECK(instance.sent(next).empty());
    check(next);
    CHECK(instance.state().retries == 1);
}

TEST_CASE("requests for keys of an owner that pauses are refused at once, also those that wait for it", "[signals]") {
    instance instance(1);
    std::vector<exchange_id> ids;
    for (int number = 0; number < 8; ++number) {
        ids.push_back(instance.request("/look/" + std::to_string(number)));
    }
    const auto waiting = std::find_if(ids.begin(), ids.end(), [&instance](exchange_id id) {
        return instance.sent(id).empty() && instance.answers(id).empty();
    });
    REQUIRE(waiting != ids.end());
    turn_away(instance, ids.front(), 3s);
    instance.advance_time(20ms);
    for (const auto id : {ids.front(), *waiting, instance.request("/look/9")}) {
        REQUIRE(instance.answers(id).size() == 1);
        CHECK(instance.answers(id).front().status == 503);
        CHECK(instance.answers(id).front().retry_after >= 2900ms);
    }
}

// Guards against a request that runs twice, or is refused although it runs: what is sent in a step may be written
// before the same step withdraws it.
TEST_CASE("a request that was placed at a server in the step in which that server is told to leave stays there",
          "[signals]") {
    instance instance(3);
    const auto id = instance.request("/pay/1");
    const auto first_server = instance.sent(id).front().server;
    instance.advance_time(10ms);
    instance_load told;
    told.instance = model::instance_id("two");
    told.incarnation = 1;
    told.sequence = 1;
    for (const auto& [server, record] : instance.state().servers) {
        if (record.registration.service != unkeyed_service) {
            continue;
        }
        peer_server_load load;
        load.server = server;
        load.leaving_born = record.registration.born;
        // The first one withdraws the request, the others are told to leave after it has been placed there.
        told.servers.insert(server == first_server ? told.servers.begin() : told.servers.end(), load);
    }
    instance.process_event(told);
    REQUIRE(instance.sent(id).size() == 2);
    CHECK(instance.count<cancel_attempt>() == 1);
    CHECK(instance.answers(id).empty());
}

// Guards against a request that reaches the server during the pause because it waited for a connection when it began.
TEST_CASE("a request of which nothing was sent yet is withdrawn when the server asks for a pause", "[signals]") {
    instance instance(1);
    const auto path = GENERATE(as<std::string>(), "/get/", "/look/");
    const auto id = instance.request(path + "1");
    const auto unsent = instance.request(path + "2");
    REQUIRE(instance.sent(unsent).size() == 1);
    turn_away(instance, id, 3s);
    CHECK(instance.count<cancel_attempt>() == 1);
    CHECK(instance.sent(unsent).size() == 1);
    REQUIRE(instance.answers(unsent).size() == 1);
    CHECK(instance.answers(unsent).front().retry_after >= 3s);
    for (const auto& [name, server] : instance.state().servers) {
        CHECK(server.outstanding == 0);
    }
}

// Guards against a burst that turns a server away again the moment its pause ends.
TEST_CASE("after a pause a server gets one request, and more with each that it answers", "[signals]") {
    instance instance(1);
    const auto id = instance.request("/pay/1");
    turn_away(instance, id, 1s);
    instance.advance_time(1300ms);
    const auto in_progress = [&instance](std::vector<exchange_id>& ids) {
        for (int number = 0; number < 12; ++number) {
            ids.push_back(instance.request("/get/1"));
        }
        std::erase_if(ids, [&instance](exchange_id item) { return instance.sent(item).empty(); });
        return ids.size();
    };
    std::vector<exchange_id> ids;
    REQUIRE(in_progress(ids) == 1);
    SECTION("while it answers") {
        instance.end(ids.front(), attempt_outcome::delivered, 200);
        CHECK(instance.state().servers.at(instance.sent(ids.front()).front().server).outstanding == 2);
    }
    SECTION("but none if it asks for a pause again") {
        turn_away(instance, ids.front(), 1s);
        std::vector<exchange_id> later;
        CHECK(in_progress(later) == 0);
    }
    SECTION("an answer to a request from before the pause counts for nothing") {
        REQUIRE(instance.state().servers.at(instance.sent(ids.front()).front().server).stated.most_after_pause == 1);
    }
}

TEST_CASE("a pause ends with the run of the server that asked for it", "[signals]") {
    instance instance(1);
    turn_away(instance, instance.request("/pay/1"), 20s);
    REQUIRE(instance.sent(instance.request("/get/1")).empty());
    auto restarted = server_of("book-0", unkeyed_service);
    restarted.born = 8;
    instance.process_event(backend_server_updated{restarted});
    CHECK(instance.sent(instance.request("/get/1")).size() == 1);
    CHECK(instance.state().stating_servers.empty());
}

// Guards against a probe of a server that wants nothing.
TEST_CASE("a server that pauses is not probed", "[signals]") {
    const bool pauses = GENERATE(false, true);
    instance instance(1);
    const auto id = instance.request("/get/1");
    instance.state().exchanges.at(id).request.fingerprint = 77;
    const auto other = instance.request("/get/2");
    instance.signal(id, pause_of(0ms));
    instance.process_event(attempt_sent{other, instance.sent(other).back().attempt});
    if (pauses) {
        instance.signal(other, pause_of(3s));
    }
    instance.end(id, attempt_outcome::connection_lost);
    CHECK(instance.count<probe_server>() == (pauses ? 0 : 1));
}

// Guards against DRAIN and BUDGET in sequences that no single case has: restarts under the same id, suspensions, an
// absent store, entries that contradict the servers, late answers and requests that wait for a connection.
TEST_CASE("both rules hold in random sequences", "[signals]") {
    constexpr auto drain_time = 2000ms;
    struct run_of_server {
        std::uint64_t born = 7;
        std::optional<base::boot_time> leaving_heard;
        std::vector<std::pair<base::boot_time, base::boot_time>> pauses;
    };
    int leaving_words = 0;
    int pauses = 0;
    int arrivals = 0;
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        CAPTURE(seed);
        std::mt19937_64 random(seed);
        instance instance(3);
        std::map<model::backend_server_id, run_of_server> runs;
        std::map<exchange_id, base::boot_time> arrived;
        std::map<model::attempt_id, std::pair<send_request, std::uint64_t>> unsent;
        std::map<model::attempt_id, std::pair<send_request, std::uint64_t>> sent;
        std::size_t seen = 0;
        const auto follow_effects = [&] {
            for (; seen < instance.all_effects().size(); ++seen) {
                const auto& effect = instance.all_effects()[seen];
                if (const auto* send = std::get_if<send_request>(&effect)) {
                    unsent[send->attempt] = {*send, runs[send->server].born};
                } else if (const auto* cancel = std::get_if<cancel_attempt>(&effect)) {
                    unsent.erase(cancel->attempt);
                    sent.erase(cancel->attempt);
                }
            }
        };
        const auto any_of = [&random](auto& attempts) {
            return std::next(attempts.begin(), static_cast<std::ptrdiff_t>(random() % attempts.size()));
        };
        for (int count = 0; count < 1500; ++count) {
            const auto action = random() % 100;
            if (action < 40) {
                const auto id = instance.request(std::array{"/get/1", "/pay/1", "/look/1"}.at(random() % 3));
                arrived[id] = instance.now();
            } else if (action < 60 && !unsent.empty()) {
                const auto at = any_of(unsent);
                const auto [send, born] = at->second;
                const auto& run = runs[send.server];
                if (run.born == born) {
                    ++arrivals;
                    if (run.leaving_heard) {
                        CHECK(arrived.at(send.exchange) - *run.leaving_heard <= drain_time);
                    }
                    for (const auto& [from, until] : run.pauses) {
                        CHECK((instance.now() <= from + 500ms || instance.now() >= until));
                    }
                }
                sent.insert(unsent.extract(at));
                instance.process_event(attempt_sent{send.exchange, send.attempt});
            } else if (action < 85 && !sent.empty()) {
                const auto at = any_of(sent);
                const auto [send, born] = at->second;
                sent.erase(at);
                auto& run = runs[send.server];
                const bool turns_away = random() % 8 == 0;
                server_signals signals;
                signals.leaving = run.born == born && (run.leaving_heard || random() % 60 == 0);
                signals.pause = std::chrono::milliseconds(turns_away ? random() % 4000 : 0);
                if (!signals.empty()) {
                    if (run.born == born && signals.leaving && !run.leaving_heard) {
                        run.leaving_heard = instance.now();
                        ++leaving_words;
                    }
                    if (run.born == born && turns_away) {
                        run.pauses.emplace_back(instance.now(), instance.now() + signals.pause);
                        ++pauses;
                    }
                    instance.process_event(signals_received{send.exchange, send.attempt, signals});
                }
                const auto outcome = turns_away ? attempt_outcome::not_run : attempt_outcome::delivered;
                instance.process_event(
                    attempt_ended{send.exchange, send.attempt, outcome, turns_away ? 503 : 200, false, {}});
            } else if (action < 93) {
                instance.advance_time(std::chrono::milliseconds(10 * (1 + random() % 10)));
            } else if (action < 94) {
                instance.suspend(std::chrono::milliseconds(random() % 500));
            } else if (action < 95) {
                instance.process_event(store_reachability_changed{random() % 2 == 0});
            } else {
                const bool keyed = random() % 4 == 0;
                const std::string name = keyed ? "board-0" : "book-" + std::to_string(random() % 3);
                auto entry = server_of(name, keyed ? keyed_service : unkeyed_service);
                auto& run = runs[entry.id];
                if (!keyed && random() % 4 == 0) {
                    run = {run.born + 1, {}, {}};
                }
                entry.born = run.born;
                entry.draining = random() % 10 == 0;
                if (random() % 10 == 0) {
                    instance.process_event(backend_server_removed{entry.id});
                }
                instance.process_event(backend_server_updated{entry});
            }
            follow_effects();
        }
    }
    // The sequences meet what they are to check.
    CHECK(leaving_words > 100);
    CHECK(pauses > 200);
    CHECK(arrivals > 5000);
}

// Guards against a word that instances tell each other for ever, and against one about a run that is over.
TEST_CASE("an instance tells what it has heard itself, and goes by what it is told", "[signals]") {
    instance instance(2);
    const model::backend_server_id server("book-0");
    instance_load told;
    told.instance = model::instance_id("two");
    told.incarnation = 1;
    told.sequence = 1;
    told.servers = {{server, 0, 0, std::nullopt, 0ms, 0, {}, 7, 0ms}};
    const auto tells = [&instance] {
        const auto& effects = instance.all_effects();
        return std::any_of(effects.begin(), effects.end(), [](const auto& effect) {
            const auto* const message = std::get_if<send_load>(&effect);
            return message != nullptr && std::any_of(message->load.servers.begin(), message->load.servers.end(),
                                                     [](const auto& item) { return item.leaving_born != 0; });
        });
    };
    SECTION("told of the present run") {
        instance.process_event(told);
        CHECK(requests_at(instance, server, 20) == 0);
        instance.advance_time(1s);
        CHECK_FALSE(tells());
        instance.advance_time(60s);
        CHECK(requests_at(instance, server, 20) > 0);
    }
    SECTION("told of a former run") {
        told.servers.front().leaving_born = 6;
        instance.process_event(told);
        CHECK(requests_at(instance, server, 20) > 0);
    }
    SECTION("told of a word that is too old") {
        told.servers.front().leaving_age = 61s;
        instance.process_event(told);
        CHECK(requests_at(instance, server, 20) > 0);
    }
    SECTION("heard itself") {
        instance.signal(instance.request("/get/1"), leaving);
        instance.advance_time(300ms);
        CHECK(tells());
    }
}

// Guards against keys that stay at an owner that leaves until the store shows it.
TEST_CASE("the keeper moves the keys of an owner that has told another instance that it leaves", "[signals]") {
    deployment deployment(3, 4, 11);
    deployment.run_for(6s);
    REQUIRE(deployment.held_share() == 1.0);
    const auto hearer = (deployment.keeper() + 1) % 3;
    const model::backend_server_id server("server-1");
    const auto owned = [&] {
        const auto& ranges = deployment.assignment().ranges;
        return std::any_of(ranges.begin(), ranges.end(),
                           [&server](const auto& range) { return range.owner == server || range.leaving == server; });
    };
    REQUIRE(owned());
    auto& state = deployment.state_of(hearer);
    auto& stated = state.servers.at(server).stated;
    stated.leaving_since = deployment.now();
    stated.leaving_heard_at = deployment.now();
    stated.leaving_heard_here = true;
    state.stating_servers.insert(server);
    deployment.run_for(3s);
    CHECK_FALSE(owned());
    CHECK(deployment.held_share() == 1.0);
    CHECK(deployment.violations().empty());
}

} // namespace lovagetack::routing::testing
