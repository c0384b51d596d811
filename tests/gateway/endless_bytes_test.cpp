#include <catch2/catch.hpp>

#include <chrono>
#include <fstream>
#include <memory>
#include <string>
#include <vector>

#include <unistd.h>

#include "dialect.hpp"
#include "gateway/relay.hpp"
#include "http/sockets.hpp"

namespace lovagetack::gateway {
namespace {

constexpr std::size_t megabyte = 1024UL * 1024UL;
/// What a server sends at most, and how long it waits for the relay to read.
constexpr auto most_bytes = 48 * megabyte;
constexpr auto stall_time = std::chrono::milliseconds(500);

std::size_t resident_bytes() {
    std::ifstream pages("/proc/self/statm");
    std::size_t total = 0;
    std::size_t resident = 0;
    pages >> total >> resident;
    return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

std::string repeated(const std::string& text, std::size_t bytes) {
    std::string block;
    while (block.size() < bytes) {
        block += text;
    }
    return block;
}

/// An answer that begins with `head` and goes on with `block` until its connection is closed.
struct endless_answer {
    std::string name;
    std::string head;
    std::string block;
};

std::vector<endless_answer> endless_answers() {
    const std::string is_signed =
        "HTTP/1.1 200 OK\r\nLovagetack-Request-Id: abc\r\nLovagetack-Response-Signature: s\r\n";
    const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";
    const std::string other = "HTTP/1.1 200 OK\r\nLovagetack-Request-Id: other\r\nContent-Length: 1000\r\n\r\n";
    constexpr std::size_t block_bytes = 32UL * 1024UL;
    return {
        {"interim answers", "", repeated("HTTP/1.1 100 Continue\r\n\r\n", block_bytes)},
        {"a head", "HTTP/1.1 200 OK\r\n", repeated("X-Field: value\r\n", block_bytes)},
        {"answers to other requests", "", repeated(other + std::string(1000, 'x'), block_bytes)},
        {"an unsigned body", "HTTP/1.1 200 OK\r\nLovagetack-Request-Id: abc\r\n\r\n", std::string(block_bytes, 'x')},
        {"a signed body without length", is_signed + "\r\n", std::string(block_bytes, 'x')},
        {"a signed body in tiny chunks", is_signed + chunked, repeated("1\r\nx\r\n", block_bytes)},
        {"an extension of a chunk", is_signed + chunked + "1;", std::string(block_bytes, 'x')},
        {"a trailer", is_signed + chunked + "1\r\nx\r\n0\r\n", repeated("X-Field: value\r\n", block_bytes)},
        {"bytes after a complete answer", is_signed + "Content-Length: 1\r\n\r\nx", std::string(block_bytes, 'x')},
    };
}

} // namespace

// The caller does not read, so that what cannot be thrown away cannot be passed on either.
TEST_CASE("bytes without end in any part of an answer take a bounded amount of memory") {
    const auto answer = GENERATE(from_range(endless_answers()));
    INFO(answer.name);
    test::ensure_application();
    test::raw_listener server;
    operators_platform::dialect dialect;
    routing::exchange_id exchange = 0;
    bool ended = false;
    gateway::relay relay(
        dialect,
        [&](const routing::event& event) {
            if (const auto* const arrived = std::get_if<routing::request_arrived>(&event)) {
                exchange = arrived->exchange;
            }
            ended = ended || std::holds_alternative<routing::attempt_ended>(event);
        },
        64);
    const auto port = test::unused_port();
    REQUIRE(relay.listen({"127.0.0.1", port}));
    test::raw_socket caller(port);
    caller.send("GET /look/1 HTTP/1.1\r\nHost: h\r\nLovagetack-Request-Id: abc\r\n\r\n");
    test::run_until([&] { return exchange != 0; });
    caller.stop_reading();
    const model::attempt_id attempt(1);
    relay.execute(routing::send_request{exchange,
                                        attempt,
                                        model::backend_server_id("i-1"),
                                        {"127.0.0.1", server.port()},
                                        std::chrono::seconds(60),
                                        false});
    auto& connection = server.connection(0);
    connection.wait_for("\r\n\r\n");

    const auto before = resident_bytes();
    connection.send(answer.head);
    for (std::size_t sent = 0; sent < most_bytes && !connection.is_closed(); sent += answer.block.size()) {
        connection.send(answer.block);
        const auto sent_at = std::chrono::steady_clock::now();
        const auto stalls = [sent_at] { return std::chrono::steady_clock::now() - sent_at > stall_time; };
        test::run_until([&] { return connection.is_closed() || connection.unsent() == 0 || stalls(); });
        if (stalls()) {
            break;
        }
    }
    CHECK(resident_bytes() < before + 16 * megabyte);
    if (!ended) {
        relay.execute(routing::cancel_attempt{exchange, attempt});
    }
    connection.wait_for_close();
}

} // namespace lovagetack::gateway
