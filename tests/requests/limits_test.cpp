#include <catch2/catch.hpp>

#include <map>
#include <random>

#include "fixture.hpp"
#include "requests/latency_window.hpp"
#include "requests/space_saving.hpp"

namespace lovagetack::requests::testing {
namespace {

using base::result_code;

// Guards against more requests in flight than the backend server has slots, and against a queue out of order.
TEST_CASE("queued requests get the slots in order of arrival") {
    auto tested = fixture::ready();
    std::vector<exchange_id> sent;
    for (int count = 0; count < 6; ++count) {
        sent.push_back(tested.request(board, count % 2 == 0));
    }
    CHECK(tested.all<start_attempt>().size() == 2);
    CHECK(queue_at_home(tested.state, fixture::id(board, 0)) == 6);
    for (std::size_t index = 0; index < sent.size(); ++index) {
        REQUIRE(tested.attempts_of(sent[index]) == 1);
        tested.finish(sent[index]);
    }
    CHECK(requests_in_flight(tested.state) == 0);
}

// Guards against an unbounded queue for one backend server.
TEST_CASE("a full queue refuses at once with a retry-after time") {
    auto tested = fixture::ready();
    tested.queue_limit = 4;
    tested.deploy(2);
    for (int count = 0; count < 9; ++count) {
        tested.request(board, true);
    }
    const auto answers = tested.all<answer_caller>();
    REQUIRE(answers.size() == 3);
    for (const auto& answer : answers) {
        CHECK(answer.outcome == outcome::not_run);
        CHECK(answer.status == 503);
        CHECK(answer.code == number_of(result_code::request_queue_full));
        CHECK(answer.retry_after > 0us);
    }
}

// Guards against refusing a request only at its deadline.
TEST_CASE("a request is refused early when the estimated wait exceeds its deadline") {
    auto tested = fixture::ready();
    for (int count = 0; count < 20; ++count) {
        const auto exchange = tested.request(board, true);
        tested.advance(100ms);
        tested.finish(exchange);
    }
    for (int count = 0; count < 6; ++count) {
        tested.request(board, true);
    }
    const auto hurried = tested.request(board, true, 150ms);
    REQUIRE(tested.answer_of(hurried));
    CHECK(tested.answer_of(hurried)->outcome == outcome::not_run);
    CHECK(tested.answer_of(hurried)->retry_after >= 200ms);
    CHECK_FALSE(tested.answer_of(tested.request(board, true, 2s)));
}

// Guards against full load on a backend server that has just started.
TEST_CASE("a restarted server gets no more requests than its ramp allows") {
    auto tested = fixture::ready(1);
    tested.apply(backend_server_observed{fixture::id(board, 0), "boot-2", false, 0s});
    std::vector<exchange_id> running;
    std::int32_t answered = 0;
    std::map<int, std::int32_t> sent_in;
    const auto begin = tested.now;
    for (int step = 0; step < 200; ++step) {
        tested.request(board, true, 60s);
        tested.request(board, true, 60s);
        tested.advance(20ms);
        const auto started = tested.all<start_attempt>();
        tested.seen.clear();
        for (const auto& attempt : started) {
            running.push_back(attempt.exchange);
            sent_in[static_cast<int>((tested.now - begin) / 1s)] += 1;
        }
        REQUIRE(running.size() <= (answered < 20 ? 1U : 2U));
        for (const auto exchange : running) {
            attempt_ended done;
            done.exchange = exchange;
            done.attempt = tested.state.exchanges.at(exchange).attempt;
            done.status = 200;
            tested.apply(done);
            answered += 1;
        }
        running.clear();
    }
    CHECK(sent_in[0] <= 21);
    CHECK(sent_in[1] <= 41);
    CHECK(sent_in[3] > sent_in[0]);
}

// Guards against a ramp that never ends. A quarter of exponentially distributed service times exceeds twice the median;
// a ramp that required 20 consecutive answers in time kept each server at 12 requests per second.
TEST_CASE("the ramp ends for a server with varying service times") {
    auto tested = fixture::ready(1);
    tested.apply(backend_server_observed{fixture::id(board, 0), "boot-2", false, 0s});
    std::mt19937_64 random(7);
    std::exponential_distribution<double> service_time(1.0 / 4000.0);
    for (int request = 0; request < 4000; ++request) {
        tested.request(board, true, 60s);
        tested.advance(std::chrono::microseconds(static_cast<std::int64_t>(service_time(random))));
        const auto started = tested.all<start_attempt>();
        tested.seen.clear();
        for (const auto& attempt : started) {
            attempt_ended done;
            done.exchange = attempt.exchange;
            done.attempt = attempt.attempt;
            done.status = 200;
            tested.apply(done);
        }
    }
    CHECK(backend_servers(tested.state, tested.now).front().ramp_rate == 0);
}

// Guards against unchanged load on a backend server that refuses requests or connections.
TEST_CASE("a refused request or connection resets the ramp") {
    auto tested = fixture::ready(1);
    const auto outcome = GENERATE(attempt_outcome::refused, attempt_outcome::connect_failed);
    const auto exchange = tested.request(board, true);
    auto ended = tested.ended(tested.attempt_of(exchange).value(), outcome);
    ended.status = outcome == attempt_outcome::refused ? 503 : 0;
    ended.can_resend = false;
    CHECK(backend_servers(tested.state, tested.now).front().usable_slots == 2);
    tested.apply(ended);
    CHECK(backend_servers(tested.state, tested.now).front().usable_slots == 1);
    CHECK(backend_servers(tested.state, tested.now).front().ramp_rate == 20);
}

// Guards against retries that multiply the load of failing requests.
TEST_CASE("retries stay within the budget when every attempt fails") {
    auto tested = fixture::ready(4);
    constexpr int requests = 1000;
    const auto service = GENERATE(board, store);
    const auto outcome = GENERATE(attempt_outcome::connection_lost, attempt_outcome::connect_failed);
    std::size_t attempts = 0;
    for (int count = 0; count < requests; ++count) {
        tested.request(service, true, 200ms);
        for (int round = 0; round < 8; ++round) {
            const auto started = tested.all<start_attempt>();
            tested.seen.clear();
            attempts += started.size();
            for (const auto& attempt : started) {
                tested.apply(tested.ended(attempt, outcome));
            }
            tested.advance(40ms);
        }
    }
    CHECK(attempts >= requests / 2);
    CHECK(attempts <= requests + requests / 10 + 10);
}

// Guards against a full share of requests for a slow server, and against a slow server that is never measured again.
TEST_CASE("a straggler gets about a tenth of the requests of another server") {
    constexpr int servers = 4;
    auto tested = fixture::ready(servers);
    const auto slow = fixture::id(store, 0);
    std::map<model::backend_server_id, int> chosen;
    for (int count = 0; count < 3000; ++count) {
        const auto exchange = tested.request(store, true);
        const auto target = tested.attempt_of(exchange)->backend_server;
        if (count >= 1000) {
            chosen[target] += 1;
        }
        tested.advance(target == slow ? 100ms : 10ms);
        tested.finish(exchange);
        tested.seen.clear();
    }
    const double share = 3.0 * chosen[slow] / (2000.0 - chosen[slow]);
    CHECK(share > 0.05);
    CHECK(share < 0.2);
    CHECK(backend_servers(tested.state, tested.now).at(servers).straggler);
}

// Guards against load reports that omit the most frequent key or lose requests of a range.
TEST_CASE("load reports contain range counts and hot keys") {
    auto tested = fixture::ready();
    tested.advance(2s);
    tested.seen.clear();
    for (int count = 0; count < 300; ++count) {
        tested.finish(tested.request(board, true));
    }
    tested.advance(2s);
    const auto published = tested.all<model::publish_fact>();
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
