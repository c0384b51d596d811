#include <catch2/catch.hpp>

#include "base/json.hpp"
#include "platform/fake_http_server.hpp"
#include "platform/grant_client.hpp"

namespace lovagetack::platform {
namespace {

using std::chrono::milliseconds;

grant_limits long_timeout_limits() {
    grant_limits limits;
    limits.timeout = milliseconds(15000);
    return limits;
}

struct fixture {
    explicit fixture(const grant_limits& limits = long_timeout_limits())
        : client(limits, [this](const auto& answered) { answers.push_back(answered); }) {}

    std::optional<fake_answer> serve(const fake_request& request) {
        if (silent) {
            return std::nullopt;
        }
        model::grant_poll poll;
        if (request.path != "/lovagetack/grant" || !base::from_json_text(request.body.toStdString(), poll)) {
            return fake_answer{400, ""};
        }
        model::grant_answer answer;
        answer.accepted = true;
        answer.epoch = poll.epoch;
        answer.ranges = poll.ranges;
        answer.boot_id = "boot";
        return fake_answer{status, QByteArray::fromStdString(base::to_json_text(answer))};
    }

    void poll(std::uint64_t number) {
        model::grant_poll body;
        body.epoch = model::epoch(number);
        body.ranges = {{model::service_id("s"), 0, ~0ULL, {model::epoch(1), 2}}};
        client.execute({model::backend_server_id("b"), server.address(), number, body});
    }

    application qt;
    bool silent = false;
    int status = 200;
    fake_http_server server{[this](const auto& request) { return serve(request); }};
    std::vector<ownership::grant_answered> answers;
    grant_client client;
};

// Guards against a new connection per poll, which would use up the budget for control traffic.
TEST_CASE("polls are answered on one persistent connection") {
    fixture f;
    for (std::uint64_t number = 1; number <= 20; ++number) {
        f.poll(number);
        REQUIRE(wait_until([&] { return f.answers.size() == number; }));
        const auto& answered = f.answers.back();
        CHECK(answered.poll == number);
        CHECK(answered.backend_server == model::backend_server_id("b"));
        REQUIRE(answered.answer.has_value());
        CHECK(answered.answer->epoch == model::epoch(number));
        CHECK(answered.answer->ranges.at(0).last == ~0ULL);
    }
    CHECK(f.server.connections == 1);
}

// Guards against a connection without answers that also makes later polls of the server fail.
TEST_CASE("a poll gets a new connection while an old one is silent") {
    grant_limits limits;
    limits.timeout = milliseconds(15000);
    fixture f(limits);
    f.silent = true;
    f.poll(1);
    REQUIRE(wait_until([&] { return f.server.connections == 1; }));
    f.silent = false;
    f.poll(2);
    REQUIRE(wait_until([&] { return !f.answers.empty(); }));
    CHECK(f.answers[0].poll == 2);
    CHECK(f.answers[0].answer.has_value());
}

// Guards against a poll without an outcome, which the controller would treat as a server that is only slow.
TEST_CASE("every poll has exactly one outcome") {
    grant_limits limits;
    limits.timeout = milliseconds(50);
    limits.connections = 2;
    fixture f(limits);
    f.silent = true;
    for (std::uint64_t number = 1; number <= 5; ++number) {
        f.poll(number);
        CHECK(f.answers.empty());
    }
    REQUIRE(wait_until([&] { return f.answers.size() == 5; }));
    for (const auto& answered : f.answers) {
        CHECK_FALSE(answered.answer.has_value());
    }
    f.client.execute({model::backend_server_id("c"), {"127.0.0.1", 9}, 6, {}});
    REQUIRE(wait_until([&] { return f.answers.size() == 6; }));
    CHECK_FALSE(f.answers.back().answer.has_value());
}

// Guards against error pages and damaged answers being read as grants.
TEST_CASE("answers that are not grants are treated as no answer") {
    fixture f;
    SECTION("an error status") {
        f.status = 500;
        f.poll(1);
    }
    SECTION("not HTTP") {
        f.silent = true;
        f.poll(1);
        REQUIRE(wait_until([&] { return f.server.connections == 1; }));
        f.server.send_to_all("nonsense\r\n\r\n");
    }
    SECTION("bytes after the answer") {
        f.silent = true;
        f.poll(1);
        REQUIRE(wait_until([&] { return f.server.connections == 1; }));
        f.server.send_to_all("HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\n{}HTTP/1.1 200 X\r\n\r\n");
    }
    REQUIRE(wait_until([&] { return f.answers.size() == 1; }));
    CHECK_FALSE(f.answers[0].answer.has_value());
    f.silent = false;
    f.status = 200;
    f.poll(2);
    REQUIRE(wait_until([&] { return f.answers.size() == 2; }));
    CHECK(f.answers[1].answer.has_value());
}

} // namespace
} // namespace lovagetack::platform
