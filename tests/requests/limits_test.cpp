#include <catch2/catch.hpp>

#include <map>
#include <random>

#include "fixture.hpp"
#include "requests/latency_window.hpp"
#include "requests/space_saving.hpp"

namespace lovagetack::requests::testing {
namespace {

using base::result_code;

// Guards against more requests at a server than it executes at once, and against a queue out of order.
TEST_CASE("queued requests get the slots in order of arrival") {
    auto world = fixture::ready();
    std::vector<exchange_id> sent;
    for (int count = 0; count < 6; ++count) {
        sent.push_back(world.request(board, count % 2 == 0));
    }
    CHECK(world.all<start_attempt>().size() == 2);
    CHECK(queue_at_home(world.state, fixture::id(board, 0)) == 6);
    for (std::size_t index = 0; index < sent.size(); ++index) {
        REQUIRE(world.attempts_of(sent[index]) == 1);
        world.finish(sent[index]);
    }
    CHECK(requests_in_flight(world.state) == 0);
}

// Guards against a queue that grows without bound in front of one server.
TEST_CASE("a full queue refuses at once and says when to come back") {
    auto world = fixture::ready();
    world.queue_limit = 4;
    world.deploy(2);
    for (int count = 0; count < 9; ++count) {
        world.request(board, true);
    }
    const auto answers = world.all<answer_caller>();
    REQUIRE(answers.size() == 3);
    for (const auto& answer : answers) {
        CHECK(answer.outcome == outcome::not_run);
        CHECK(answer.status == 503);
        CHECK(answer.code == number_of(result_code::request_queue_full));
        CHECK(answer.retry_after > 0us);
    }
}

// Guards against callers that wait for their whole deadline only to be refused then.
TEST_CASE("a request is refused early when the wait would exceed its deadline") {
    auto world = fixture::ready();
    for (int count = 0; count < 20; ++count) {
        const auto exchange = world.request(board, true);
        world.pass(100ms);
        world.finish(exchange);
    }
    for (int count = 0; count < 6; ++count) {
        world.request(board, true);
    }
    const auto hurried = world.request(board, true, 150ms);
    REQUIRE(world.answer_of(hurried));
    CHECK(world.answer_of(hurried)->outcome == outcome::not_run);
    CHECK(world.answer_of(hurried)->retry_after >= 200ms);
    CHECK_FALSE(world.answer_of(world.request(board, true, 2s)));
}

// Guards against full load on a server that has just started.
TEST_CASE("a restarted server never gets more than its ramp") {
    auto world = fixture::ready(1);
    world.apply(backend_server_observed{fixture::id(board, 0), "boot-2", false, 0s});
    std::vector<exchange_id> running;
    std::int32_t answered = 0;
    std::map<int, std::int32_t> sent_in;
    const auto begin = world.now;
    for (int step = 0; step < 200; ++step) {
        world.request(board, true, 60s);
        world.request(board, true, 60s);
        world.pass(20ms);
        const auto started = world.all<start_attempt>();
        world.seen.clear();
        for (const auto& attempt : started) {
            running.push_back(attempt.exchange);
            sent_in[static_cast<int>((world.now - begin) / 1s)] += 1;
        }
        REQUIRE(running.size() <= (answered < 20 ? 1U : 2U));
        for (const auto exchange : running) {
            attempt_ended done;
            done.exchange = exchange;
            done.attempt = world.state.exchanges.at(exchange).attempt;
            done.status = 200;
            world.apply(done);
            answered += 1;
        }
        running.clear();
    }
    CHECK(sent_in[0] <= 21);
    CHECK(sent_in[1] <= 41);
    CHECK(sent_in[3] > sent_in[0]);
}

// Guards against a ramp that never ends: one answer in four of exponential service times exceeds twice the median, and
// with 20 answers in a row in time as the condition, servers stayed at 12 requests a second each.
TEST_CASE("the ramp of a server with varying service times ends") {
    auto world = fixture::ready(1);
    world.apply(backend_server_observed{fixture::id(board, 0), "boot-2", false, 0s});
    std::mt19937_64 random(7);
    std::exponential_distribution<double> service_time(1.0 / 4000.0);
    for (int request = 0; request < 4000; ++request) {
        world.request(board, true, 60s);
        world.pass(std::chrono::microseconds(static_cast<std::int64_t>(service_time(random))));
        const auto started = world.all<start_attempt>();
        world.seen.clear();
        for (const auto& attempt : started) {
            attempt_ended done;
            done.exchange = attempt.exchange;
            done.attempt = attempt.attempt;
            done.status = 200;
            world.apply(done);
        }
    }
    CHECK(backend_servers(world.state, world.now).front().ramp_rate == 0);
}

// Guards against a server that keeps its load after it said that it cannot bear it.
TEST_CASE("a refused load or connection resets the ramp") {
    auto world = fixture::ready(1);
    const auto outcome = GENERATE(attempt_outcome::refused, attempt_outcome::connect_failed);
    const auto exchange = world.request(board, true);
    auto ended = world.ended(world.attempt_of(exchange).value(), outcome);
    ended.status = outcome == attempt_outcome::refused ? 503 : 0;
    ended.can_resend = false;
    CHECK(backend_servers(world.state, world.now).front().usable_slots == 2);
    world.apply(ended);
    CHECK(backend_servers(world.state, world.now).front().usable_slots == 1);
    CHECK(backend_servers(world.state, world.now).front().ramp_rate == 20);
}

// Guards against failures that are multiplied by retries until nothing else gets through.
TEST_CASE("retries stay within the budget when every attempt fails") {
    auto world = fixture::ready(4);
    constexpr int requests = 1000;
    const auto service = GENERATE(board, store);
    const auto outcome = GENERATE(attempt_outcome::connection_lost, attempt_outcome::connect_failed);
    std::size_t attempts = 0;
    for (int count = 0; count < requests; ++count) {
        world.request(service, true, 200ms);
        for (int round = 0; round < 8; ++round) {
            const auto started = world.all<start_attempt>();
            world.seen.clear();
            attempts += started.size();
            for (const auto& attempt : started) {
                world.apply(world.ended(attempt, outcome));
            }
            world.pass(40ms);
        }
    }
    CHECK(attempts >= requests / 2);
    CHECK(attempts <= requests + requests / 10 + 10);
}

// Guards against a slow server that gets its full share, and one that is never measured again.
TEST_CASE("a straggler gets about a tenth") {
    constexpr int servers = 4;
    auto world = fixture::ready(servers);
    const auto slow = fixture::id(store, 0);
    std::map<model::backend_server_id, int> chosen;
    for (int count = 0; count < 3000; ++count) {
        const auto exchange = world.request(store, true);
        const auto target = world.attempt_of(exchange)->backend_server;
        if (count >= 1000) {
            chosen[target] += 1;
        }
        world.pass(target == slow ? 100ms : 10ms);
        world.finish(exchange);
        world.seen.clear();
    }
    const double share = 3.0 * chosen[slow] / (2000.0 - chosen[slow]);
    CHECK(share > 0.05);
    CHECK(share < 0.2);
    CHECK(backend_servers(world.state, world.now).at(servers).straggler);
}

// Guards against load reports that lose the hottest key or requests of a range.
TEST_CASE("load reports hold range counts and hot keys") {
    auto world = fixture::ready();
    world.pass(2s);
    world.seen.clear();
    for (int count = 0; count < 300; ++count) {
        world.finish(world.request(board, true));
    }
    world.pass(2s);
    const auto published = world.all<model::publish_fact>();
    REQUIRE(published.size() == 1);
    CHECK(published.front().fact.kind == model::fact_kind::load_report);
    CHECK(published.front().fact.name == self_id.value());
    const auto& value = published.front().fact.value;
    CHECK(value.find("\"requests\":\"300\"") != std::string::npos);
}

// Guards against counters that underestimate a frequent key.
TEST_CASE("space-saving counts are never below the true count") {
    space_saving counters(8);
    for (std::uint64_t item = 0; item < 1000; ++item) {
        counters.add(item % 3 == 0 ? 42 : item);
    }
    const auto found = counters.counters().find(42);
    REQUIRE(found != counters.counters().end());
    CHECK(found->second.count >= 334);
    CHECK(found->second.count - found->second.error <= 334);
    CHECK(counters.counters().size() == 8);
}

} // namespace
} // namespace lovagetack::requests::testing
