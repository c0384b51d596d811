#include <catch2/catch.hpp>

#include <cstdint>

#include "routing/single_instance.hpp"

namespace lovagetack::routing::testing {
namespace {

/// Half a second after a route's timeout the operators count a request as unanswered.
constexpr auto operators_patience = 500ms;
constexpr auto route_timeout = 1000ms;

/// A request whose answer has started; the test says how it goes on.
struct started_answer {
    started_answer() : id(instance.request("/get/1")), attempt(instance.sent(id).back().attempt) {
        instance.process_event(attempt_sent{id, attempt});
        instance.process_event(answer_forwarding_started{id, attempt});
    }

    void advance_time(std::chrono::milliseconds time, std::uint64_t bytes_per_step) {
        for (auto left = time; left > 0ms; left -= 10ms) {
            bytes += bytes_per_step;
            const auto reports_before = instance.count<report_answer_progress>();
            instance.advance_time(10ms);
            if (instance.count<report_answer_progress>() > reports_before) {
                instance.process_event(answer_progress{id, attempt, bytes, awaits_caller});
            }
        }
    }

    bool has_ended() const { return !instance.answers(id).empty(); }

    routing::testing::instance instance;
    exchange_id id;
    model::attempt_id attempt;
    std::uint64_t bytes = 40000;
    bool awaits_caller = false;
};

} // namespace

TEST_CASE("an answer that is still arriving at the deadline goes on and is delivered") {
    started_answer answer;
    answer.advance_time(route_timeout + 300ms, 1000);
    REQUIRE_FALSE(answer.has_ended());
    REQUIRE(answer.instance.count<cancel_attempt>() == 0);
    answer.instance.process_event(attempt_ended{answer.id, answer.attempt, attempt_outcome::delivered, 200, false, {}});
    answer.advance_time(operators_patience, 0);
    REQUIRE_FALSE(answer.has_ended());
    REQUIRE(answer.instance.state().exchanges.empty());
    REQUIRE(answer.instance.state().answer_checks.empty());
}

// Guards against callers that wait without end for an answer whose connection has gone silent.
TEST_CASE("an answer that has stopped is ended at the deadline") {
    started_answer answer;
    const auto silent_before_deadline = GENERATE(500ms, 210ms, 100ms, 10ms);
    answer.advance_time(route_timeout - silent_before_deadline, 1000);
    REQUIRE_FALSE(answer.has_ended());
    answer.advance_time(silent_before_deadline - 10ms, 0);
    REQUIRE_FALSE(answer.has_ended());
    answer.advance_time(operators_patience, 0);
    REQUIRE(answer.has_ended());
    REQUIRE(answer.instance.answers(answer.id).front().status == 504);
    REQUIRE(answer.instance.count<cancel_attempt>() == 1);
    REQUIRE(answer.instance.state().answer_checks.empty());
}

// Guards against answers without an end, and those that come in drops.
TEST_CASE("an answer that is not complete some time after the deadline is ended") {
    started_answer answer;
    answer.advance_time(route_timeout + operators_patience, GENERATE(1, 100000));
    REQUIRE(answer.has_ended());
}

TEST_CASE("an answer that only waits for its caller has not stopped") {
    started_answer answer;
    answer.awaits_caller = true;
    answer.advance_time(route_timeout + 300ms, 0);
    REQUIRE_FALSE(answer.has_ended());
    answer.advance_time(200ms, 0);
    REQUIRE(answer.has_ended());
}

TEST_CASE("an instance that was suspended reads what has arrived before it ends a started answer") {
    started_answer answer;
    answer.advance_time(900ms, 1000);
    answer.instance.suspend(5s);
    answer.advance_time(20ms, 0);
    REQUIRE_FALSE(answer.has_ended());
    answer.advance_time(operators_patience, 0);
    REQUIRE(answer.has_ended());
}

} // namespace lovagetack::routing::testing
