#include <catch2/catch.hpp>

#include <array>
#include <string>

#include <fcntl.h>
#include <unistd.h>

#include "base/hybrid_clock.hpp"
#include "telemetry/event_log.hpp"
#include "telemetry/latency_histogram.hpp"
#include "telemetry/metrics.hpp"
#include "telemetry/timeline_buffer.hpp"

namespace lovagetack::telemetry {

// Guards against percentiles that are off by more than the width of a bin.
TEST_CASE("quantiles lie within a bin of the exact value") {
    latency_histogram histogram;
    for (int value = 1; value <= 10'000; ++value) {
        histogram.add(std::chrono::microseconds(value * 10));
    }
    CHECK(histogram.count() == 10'000);
    CHECK(histogram.maximum() == std::chrono::microseconds(100'000));
    CHECK(static_cast<double>(histogram.quantile(0.5).count()) == Approx(50'000).epsilon(0.155));
    CHECK(static_cast<double>(histogram.quantile(0.99).count()) == Approx(99'000).epsilon(0.155));
    CHECK(histogram.quantile(1.0) == histogram.maximum());
    CHECK(latency_histogram().quantile(0.99) == std::chrono::microseconds(0));
}

// Guards against a metrics page that a Prometheus server rejects.
TEST_CASE("metrics are written in the text format") {
    metrics metrics;
    metrics.count("requests_total", {{"service", "a\"b"}}, 2);
    metrics.set("in_flight", {}, 3);
    metrics.observe("latency_seconds", {{"service", "a"}}, std::chrono::milliseconds(5));
    const auto text = metrics.text();
    CHECK(text.find("# TYPE requests_total counter\nrequests_total{service=\"a\\\"b\"} 2\n") != std::string::npos);
    CHECK(text.find("in_flight 3\n") != std::string::npos);
    CHECK(text.find("latency_seconds_bucket{service=\"a\",le=\"+Inf\"} 1\n") != std::string::npos);
    CHECK(text.find("latency_seconds_sum{service=\"a\"} 0.005\n") != std::string::npos);
}

// Guards against a value with spaces being read as two fields.
TEST_CASE("log fields are quoted where needed") {
    CHECK(format_fields({{"key", "plain"}, {"reason", "two words"}, {"empty", ""}, {"quote", "a\"b\nc"}}) ==
          "key=plain reason=\"two words\" empty=\"\" quote=\"a\\\"b\\nc\"");
}

// Guards against an answer whose stamp is below that of its request because the clocks of two machines differ.
TEST_CASE("the hybrid clock stays above observed stamps, but ignores stamps too far in the future") {
    base::hybrid_clock clock;
    const auto first = clock.next();
    clock.observe(first + 5'000'000);
    CHECK(clock.next() > first + 5'000'000);
    const auto before = clock.next();
    clock.observe(before + 3'600'000'000ULL);
    CHECK(clock.next() < before + 3'600'000'000ULL);
}

// Guards against an event loop that blocks because nothing reads its log output.
TEST_CASE("writing to a full log output does not block") {
    std::array<int, 2> ends{};
    REQUIRE(::pipe2(ends.data(), O_CLOEXEC) == 0);
    const int output = ::dup(STDOUT_FILENO);
    REQUIRE(::dup2(ends[1], STDOUT_FILENO) >= 0);
    {
        event_log log("full", log_level::info, "");
        const std::string filling(1000, 'x');
        for (int number = 0; number < 400; ++number) {
            // Each event has its own name, so that the rate limit per name does not apply. The lines exceed the
            // capacity of a pipe by far.
            log.write(log_level::info, base::boot_clock::now(),
                      {"event" + std::to_string(number), {{"filling", filling}}});
        }
    }
    ::dup2(output, STDOUT_FILENO);
    ::close(output);
    ::close(ends[1]);
    ::close(ends[0]);
    SUCCEED("all lines were written or suppressed");
}

// Guards against a timeline that grows without bound.
TEST_CASE("the timeline keeps only the latest entries") {
    timeline_buffer buffer("east-1", 2);
    buffer.add({"first", {}});
    buffer.add({"second", {{"key", "value"}}});
    buffer.add({"third", {}});
    const auto text = buffer.json_lines(0);
    CHECK(text.find("first") == std::string::npos);
    CHECK(text.find("second") < text.find("third"));
}

} // namespace lovagetack::telemetry
