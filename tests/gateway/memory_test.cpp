#include <catch2/catch.hpp>

#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "dialect.hpp"
#include "gateway/memory_log.hpp"
#include "gateway/relay.hpp"
#include "http/sockets.hpp"

namespace lovagetack::gateway {
namespace {

constexpr std::size_t mebibyte = std::size_t(1024) * 1024;

/// A relay that holds at most 8 MiB for callers, 1 MiB of it for small requests, and sends to one listener.
struct fixture {
    fixture() {
        test::ensure_application();
        relay = std::make_unique<gateway::relay>(
            dialect,
            [this](const routing::event& event) {
                if (const auto* const arrived = std::get_if<routing::request_arrived>(&event)) {
                    ++arrivals;
                    relay->execute(routing::send_request{arrived->exchange,
                                                         model::attempt_id(1),
                                                         model::backend_server_id("i-1"),
                                                         {"127.0.0.1", server.port()},
                                                         std::chrono::seconds(20)});
                }
            },
            64, http::byte_limits{8 * mebibyte, mebibyte});
        REQUIRE(relay->listen({"127.0.0.1", port = test::unused_port()}));
    }

    std::unique_ptr<test::raw_socket> caller(const std::string& framing) const {
        auto made = std::make_unique<test::raw_socket>(port);
        made->send("POST /orders/1 HTTP/1.1\r\nHost: h\r\nLovagetack-Request-Id: abc\r\n" + framing + "\r\n\r\n");
        return made;
    }

    std::unique_ptr<test::raw_socket> announce(std::size_t bytes) const {
        return caller("Content-Length: " + std::to_string(bytes));
    }

    /// Runs the event loop and checks the times until the condition holds.
    void check_until(const std::function<bool()>& condition) const {
        test::run_until([&] {
            relay->check_times();
            return condition();
        });
    }

    operators_platform::dialect dialect;
    test::raw_listener server;
    std::unique_ptr<gateway::relay> relay;
    std::uint16_t port = 0;
    int arrivals = 0;
};

bool has_retry_after(const std::string& answer) {
    std::string lower(answer.size(), ' ');
    std::transform(answer.begin(), answer.end(), lower.begin(),
                   [](unsigned char letter) { return std::tolower(letter); });
    return lower.find("retry-after") != std::string::npos;
}

} // namespace

TEST_CASE("an announced body that does not fit is refused at its header, and a small one still served") {
    fixture test;
    const auto first = test.announce(6 * mebibyte);
    test::run_until([&] { return test.relay->account().held() > 6 * mebibyte; });
    const auto second = test.announce(3 * mebibyte);
    second->wait_for("\r\n\r\n");
    CHECK(second->received().starts_with("HTTP/1.1 503 "));
    CHECK(has_retry_after(second->received()));
    CHECK(second->received().find("2027") != std::string::npos);
    CHECK(test.relay->memory().refused_at_header == 1);
    CHECK(test.arrivals == 0);
    const auto small = test.announce(4);
    small->send("body");
    test.server.connection(0).wait_for("\r\n\r\nbody");
    CHECK(test.arrivals == 1);
}

TEST_CASE("a body without a length is refused once it exceeds what is left, and its bytes are free again") {
    fixture test;
    const auto caller = test.caller("Transfer-Encoding: chunked");
    caller->send("a00000\r\n" + std::string(10 * mebibyte, 'x'));
    caller->wait_for("\r\n\r\n");
    CHECK(caller->received().starts_with("HTTP/1.1 503 "));
    CHECK(test.relay->memory().refused_in_body == 1);
    CHECK(test.relay->account().held() < mebibyte);
    CHECK(test.relay->open_exchanges() == 0);
}

TEST_CASE("while memory is scarce, a body of which nothing arrives is refused, and one that arrives is not") {
    fixture test;
    const auto stopped = test.announce(5 * mebibyte);
    const auto moving = test.announce(2 * mebibyte - 65536);
    const auto small = test.announce(65536);
    const auto other = test.announce(65536);
    auto last_sent = std::chrono::steady_clock::now();
    test.check_until([&] {
        if (std::chrono::steady_clock::now() - last_sent > std::chrono::milliseconds(20)) {
            last_sent = std::chrono::steady_clock::now();
            moving->send(std::string(1024, 'x'));
        }
        return !stopped->received().empty();
    });
    CHECK(stopped->received().starts_with("HTTP/1.1 408 "));
    CHECK(stopped->received().find("2028") != std::string::npos);
    CHECK(moving->received().empty());
    CHECK(test.relay->memory().refused_slow == 1);
}

TEST_CASE("a body of which nothing arrives makes room for one that does not fit") {
    fixture test;
    const auto stopped = test.announce(6 * mebibyte);
    const auto until = std::chrono::steady_clock::now() + 2 * http::pace_time;
    test.check_until([&] { return std::chrono::steady_clock::now() > until; });
    CHECK(stopped->received().empty());
    const auto moving = test.announce(3 * mebibyte);
    test.check_until([&] { return !stopped->received().empty(); });
    CHECK(stopped->received().starts_with("HTTP/1.1 408 "));
    CHECK(moving->received().empty());
}

TEST_CASE("without a scarcity a body of which nothing arrives is left to the idle time") {
    fixture test;
    const auto stopped = test.announce(2 * mebibyte);
    const auto until = std::chrono::steady_clock::now() + 2 * http::pace_time;
    test.check_until([&] { return std::chrono::steady_clock::now() > until; });
    CHECK(stopped->received().empty());
}

// Guards against parts that are lost, doubled or never written once the connection has drained.
TEST_CASE("a body of many parts reaches its server whole, also if the server reads late") {
    fixture test;
    std::string body(5 * mebibyte, ' ');
    for (std::size_t at = 0; at < body.size(); ++at) {
        body[at] = static_cast<char>('a' + at % 23);
    }
    const auto caller = test.announce(body.size());
    caller->send(body);
    auto& connection = test.server.connection(0);
    connection.stop_reading();
    test::run_until([&] { return test.arrivals == 1; });
    test::settle();
    connection.resume_reading();
    connection.wait_for(body.substr(body.size() - 1000));
    const auto& received = connection.received();
    test::run_until([&] { return received.size() >= body.size() && received.ends_with(body); });
    connection.send("HTTP/1.1 200 OK\r\nLovagetack-Request-Id: abc\r\nLovagetack-Response-Signature: s\r\n"
                    "Content-Length: 2\r\n\r\nok");
    caller->wait_for("\r\n\r\nok");
    test::run_until([&] { return test.relay->account().held() == 0 || test.relay->open_exchanges() == 0; });
    CHECK(test.relay->open_exchanges() == 0);
}

TEST_CASE("the first refusal of a cause is logged at once, those after it as a count") {
    memory_log log;
    const base::boot_time begun(std::chrono::hours(1));
    CHECK(log.due({}, begun).empty());
    CHECK(log.due({1, 0, 0, 0}, begun).size() == 1);
    CHECK(log.due({5, 0, 0, 0}, begun + memory_log::log_period / 2).empty());
    const auto other = log.due({5, 0, 2, 0}, begun + memory_log::log_period / 2);
    REQUIRE(other.size() == 1);
    CHECK(other.front().cause == "slow");
    CHECK(other.front().count == 2);
    const auto later = log.due({6, 0, 2, 0}, begun + memory_log::log_period);
    REQUIRE(later.size() == 1);
    CHECK(later.front().count == 5);
}

} // namespace lovagetack::gateway
