#include <catch2/catch.hpp>

#include <string>
#include <utility>
#include <vector>

#include "dialect.hpp"
#include "routing/limits.hpp"

namespace lovagetack::operators_platform {
namespace {

using namespace std::chrono_literals;
using fields = std::vector<std::pair<std::string, std::string>>;

routing::server_signals signals_of(int status, const fields& header) {
    http::client_connection::answer answer;
    answer.result(static_cast<unsigned>(status));
    for (const auto& [name, value] : header) {
        answer.insert(name, value);
    }
    return dialect().read(answer).signals;
}

} // namespace

TEST_CASE("a server that leaves says so in an answer of any status") {
    for (const int status : {200, 404, 421, 500, 503}) {
        CAPTURE(status);
        const auto signals = signals_of(status, {{"server-leaving", "1"}});
        CHECK(signals.leaving);
        CHECK(signals.faults.empty());
    }
    CHECK(signals_of(200, {}).empty());
    // Repeated with the same value it says the same.
    CHECK(signals_of(200, {{"Server-Leaving", "1"}, {"Server-Leaving", "1"}}).leaving);
}

// Guards against a server that is taken out of use by a value that does not say that it leaves.
TEST_CASE("any other value of Server-Leaving is ignored, and the fault is named") {
    for (const char* const value : {"", "0", "01", "true", "1, 1", "-1", "\x01"}) {
        CAPTURE(value);
        const auto signals = signals_of(200, {{"Server-Leaving", value}});
        CHECK_FALSE(signals.leaving);
        CHECK(signals.faults.find("Server-Leaving") == 0);
    }
    const auto contradicted = signals_of(200, {{"Server-Leaving", "1"}, {"Server-Leaving", "0"}});
    CHECK_FALSE(contradicted.leaving);
    CHECK(contradicted.faults.find("contradicted") != std::string::npos);
}

TEST_CASE("a server that answers 503 may ask for a pause in seconds, with a fraction") {
    const auto pause = [](const char* value) { return signals_of(503, {{"Retry-After", value}}).pause; };
    CHECK(pause("3") == 3s);
    CHECK(pause("0.25") == 250ms);
    CHECK(pause("2.5000") == 2500ms);
    CHECK(pause("000001") == 1s);
    // Rounded up, so that no request comes too early.
    CHECK(pause("1.0001") == 1001ms);
    CHECK(pause("30") == 30s);
    CHECK(pause("0") == 0ms);
    CHECK(signals_of(503, {{"Retry-After", "0"}}).empty());
    CHECK(signals_of(503, {{"Retry-After", "3"}, {"Retry-After", "3"}}).pause == 3s);
}

// Guards against one odd answer that keeps a server out of use for good.
TEST_CASE("a long pause is bounded, however its number is written, and the fault is named") {
    for (const auto& value : {std::string("30.001"), std::string("1000000000"), std::string("9223372036854775808"),
                              std::string(400, '9'), std::string(400, '9') + ".5"}) {
        CAPTURE(value);
        const auto signals = signals_of(503, {{"Retry-After", value}});
        CHECK(signals.pause == routing::longest_stated_pause);
        CHECK(signals.faults.find("is bounded") != std::string::npos);
        CHECK(signals.faults.size() < 100);
    }
}

// Guards against values that overflow, or that a parser of numbers takes for one.
TEST_CASE("a malformed pause is ignored, and the fault is named") {
    for (const char* const value : {"", "soon", "-1", "+1", "1e9", "0x10", "nan", "inf", ".5", "5.", "1.2.3", "3 s",
                                    "3,5", "Fri, 31 Dec 1999 23:59:59 GMT"}) {
        CAPTURE(value);
        const auto signals = signals_of(503, {{"Retry-After", value}});
        CHECK(signals.pause == 0ms);
        CHECK(signals.faults.find("Retry-After") == 0);
    }
    const auto contradicted = signals_of(503, {{"Retry-After", "3"}, {"Retry-After", "5"}});
    CHECK(contradicted.pause == 0ms);
    CHECK(contradicted.faults.find("contradicted") != std::string::npos);
}

TEST_CASE("a pause in an answer that turns nothing away is ignored, and the fault is named") {
    for (const int status : {200, 301, 429, 500, 504}) {
        CAPTURE(status);
        const auto signals = signals_of(status, {{"Retry-After", "3"}});
        CHECK(signals.pause == 0ms);
        CHECK(signals.faults.find("503") != std::string::npos);
    }
}

TEST_CASE("both statements of one answer are read") {
    const auto signals = signals_of(503, {{"Server-Leaving", "1"}, {"Retry-After", "2"}});
    CHECK(signals.leaving);
    CHECK(signals.pause == 2s);
    const auto faults = signals_of(503, {{"Server-Leaving", "no"}, {"Retry-After", "never"}}).faults;
    CHECK(faults.find("'no'") != std::string::npos);
    CHECK(faults.find("'never'") != std::string::npos);
}

} // namespace lovagetack::operators_platform
