#include <catch2/catch.hpp>

#include <memory>
#include <random>
#include <string>
#include <vector>

#include "http/echo_handler.hpp"
#include "http/sockets.hpp"

namespace lovagetack {
namespace {

/// Returns the request with one to four random changes: bytes replaced, removed, inserted, repeated or cut off.
std::string mutated(std::mt19937_64& random, std::string text) {
    const auto below = [&random](std::size_t limit) { return static_cast<std::size_t>(random() % limit); };
    const auto changes = 1 + below(4);
    for (std::size_t change = 0; change < changes && !text.empty(); ++change) {
        const auto at = below(text.size());
        switch (below(5)) {
        case 0:
            text[at] = static_cast<char>(below(256));
            break;
        case 1:
            text.erase(at, 1 + below(8));
            break;
        case 2:
            text.insert(at, text.substr(at, 1 + below(30)));
            break;
        case 3:
            text.insert(at, 1, "\r\n :;,0"[below(7)]);
            break;
        case 4:
            text.resize(at);
            break;
        }
    }
    return text;
}

// Guards against input that crashes the process, blocks a connection, or gets an answer that is not valid HTTP.
TEST_CASE("mutated requests get a valid answer, a 4xx or a close") {
    test::ensure_application();
    test::echo_handler handler;
    http::server_limits limits;
    // A request that a mutation truncates must not delay the test.
    limits.header_time = std::chrono::milliseconds(50);
    limits.idle_time = std::chrono::milliseconds(50);
    http::server server(handler, limits);
    REQUIRE(server.listen({"127.0.0.1", 0}));
    const std::vector<std::string> seeds{
        "GET /maps/a?b=c HTTP/1.1\r\nHost: x\r\nConnection: close, x\r\nAccept: */*\r\n\r\n",
        "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\nConnection: close\r\n\r\nabcde",
        "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n"
        "3;n=\"v\"\r\nabc\r\n10\r\n0123456789abcdef\r\n0\r\nT: 1\r\n\r\n",
        "HEAD / HTTP/1.0\r\nExpect: 100-continue\r\nX: y\r\n z\r\n\r\n"};
    std::mt19937_64 random(20261204);
    constexpr int rounds = 20;
    constexpr int at_once = 50;
    for (int round = 0; round < rounds; ++round) {
        std::vector<std::string> sent;
        std::vector<std::unique_ptr<test::raw_socket>> callers;
        for (int number = 0; number < at_once; ++number) {
            sent.push_back(mutated(random, seeds[random() % seeds.size()]));
            callers.push_back(std::make_unique<test::raw_socket>(server.port()));
            callers.back()->send(sent.back());
        }
        for (std::size_t number = 0; number < callers.size(); ++number) {
            INFO(sent[number]);
            callers[number]->wait_for_close();
            const auto& answer = callers[number]->received();
            const bool valid =
                answer.empty() || answer.rfind("HTTP/1.1 4", 0) == 0 || answer.rfind("HTTP/1.1 200 OK\r\n", 0) == 0;
            CHECK(valid);
        }
    }
    test::run_until([&server] { return server.connections() == 0; });
    CHECK(handler.started > 0);
}

} // namespace
} // namespace lovagetack
