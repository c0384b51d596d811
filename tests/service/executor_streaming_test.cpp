#include <catch2/catch.hpp>

#include "service/executor_harness.hpp"

namespace lovagetack {
namespace {

using requests::attempt_outcome;
using test::executor_harness;
using test::raw_listener;
using test::raw_socket;

constexpr std::string_view get = "GET /maps/a HTTP/1.1\r\nHost: x\r\n\r\n";

// Guards against chunked bodies that are forwarded without their framing or without their last chunk.
TEST_CASE("chunked bodies are forwarded in both directions") {
    raw_listener backend;
    executor_harness harness;
    harness.route_all_to(backend.port());
    raw_socket caller(harness.port());
    caller.send("POST /maps/a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n");
    auto& connection = backend.connection(0);
    connection.wait_for("3\r\nabc\r\n");
    CHECK(test::count_of(connection.received(), "transfer-encoding: chunked\r\n") == 1);
    CHECK(connection.received().find("0\r\n\r\n") == std::string::npos);
    caller.send("2\r\nde\r\n0\r\n\r\n");
    connection.wait_for("2\r\nde\r\n0\r\n\r\n");
    connection.send_byte_by_byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nf\r\n");
    caller.wait_for("\r\n\r\n1\r\nf\r\n");
    connection.send("2\r\ngh\r\n0\r\n\r\n");
    caller.wait_for("2\r\ngh\r\n0\r\n\r\n");
    CHECK(test::count_of(caller.received(), "transfer-encoding: chunked\r\n") == 1);
    CHECK(harness.wait_for<requests::attempt_ended>().outcome == attempt_outcome::completed);
}

// Guards against an answer without a length that never ends for the caller.
TEST_CASE("an answer without a length ends with the backend server's connection") {
    raw_listener backend;
    executor_harness harness;
    harness.route_all_to(backend.port());
    raw_socket caller(harness.port());
    caller.send(get);
    backend.connection(0).wait_for("\r\n\r\n");
    backend.connection(0).send("HTTP/1.1 200 OK\r\n\r\nall of it");
    backend.connection(0).close();
    caller.wait_for("9\r\nall of it\r\n0\r\n\r\n");
    CHECK(harness.wait_for<requests::attempt_ended>().outcome == attempt_outcome::completed);
}

// Guards against waiting for a body that does not come, which would stall the next request.
TEST_CASE("answers without a body end with their header") {
    raw_listener backend;
    executor_harness harness;
    harness.route_all_to(backend.port());
    raw_socket caller(harness.port());
    const std::vector<std::pair<std::string, std::string>> cases{
        {"HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"},
        {"HEAD", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"},
        {"DELETE", "HTTP/1.1 204 No Content\r\n\r\n"},
        {"GET", "HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n"},
        {"GET", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"}};
    for (const auto& [method, answer] : cases) {
        INFO(method << " " << answer);
        caller.forget_received();
        caller.send(method + " /maps/a HTTP/1.1\r\nHost: x\r\n\r\n");
        backend.connection(0).wait_for("\r\n\r\n");
        backend.connection(0).forget_received();
        backend.connection(0).send(answer);
        caller.wait_for("\r\n\r\n");
        const auto end = caller.received().find("\r\n\r\n");
        CHECK(caller.received().size() == end + 4);
        CHECK(caller.received().substr(0, 12) == answer.substr(0, 12));
    }
    CHECK(harness.wait_for<requests::attempt_ended>(4).outcome == attempt_outcome::completed);
    CHECK(backend.connections() == 1);
}

// Guards against an interim (1xx) answer treated as the final one, and against a caller that never receives 100.
TEST_CASE("100-continue and interim answers are handled") {
    raw_listener backend;
    executor_harness harness;
    harness.route_all_to(backend.port());
    raw_socket caller(harness.port());
    caller.send("POST /maps/a HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\nExpect: 100-continue\r\n\r\n");
    caller.wait_for("HTTP/1.1 100 Continue\r\n\r\n");
    caller.send("body");
    backend.connection(0).wait_for("body");
    CHECK(backend.connection(0).received().find("Expect") == std::string::npos);
    backend.connection(0).send("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"
                               "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    caller.wait_for("ok");
    CHECK(test::count_of(caller.received(), "HTTP/1.1 ") == 2);
    CHECK(harness.wait_for<requests::attempt_answering>().status == 200);
}

// Guards against buffering a whole download for a slow caller, and against losing bytes when back-pressure ends.
TEST_CASE("a download to a slow caller is throttled and arrives complete") {
    raw_listener backend;
    executor_harness harness;
    harness.route_all_to(backend.port());
    raw_socket caller(harness.port());
    caller.stop_reading();
    caller.send(get);
    backend.connection(0).wait_for("\r\n\r\n");
    // Much larger than the kernel buffers of two loopback connections.
    constexpr std::size_t size = std::size_t(64) * 1024 * 1024;
    backend.connection(0).send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(size) + "\r\n\r\n");
    const std::string block(std::size_t(1024) * 1024, 'd');
    for (std::size_t sent = 0; sent < size; sent += block.size()) {
        backend.connection(0).send(block);
    }
    std::size_t unsent = 0;
    test::run_until([&] { return std::exchange(unsent, backend.connection(0).unsent()) == unsent && unsent < size; });
    test::settle();
    CHECK(backend.connection(0).unsent() > size / 4);
    CHECK(harness.all<requests::attempt_ended>().empty());
    caller.resume_reading();
    test::run_until([&] { return caller.received().size() > size; });
    CHECK(harness.wait_for<requests::attempt_ended>().outcome == attempt_outcome::completed);
    CHECK(test::count_of(caller.received(), block) == size / block.size());
}

// Guards against buffering a whole upload, and against a second attempt with an incomplete body.
TEST_CASE("an upload larger than the resend buffer is throttled and cannot be sent again") {
    raw_listener backend;
    executor_harness harness;
    raw_socket caller(harness.port());
    constexpr std::size_t size = std::size_t(8) * 1024 * 1024;
    caller.send("POST /maps/a HTTP/1.1\r\nHost: x\r\nContent-Length: " + std::to_string(size) + "\r\n\r\n");
    caller.send(std::string(size, 'u'));
    const auto request = harness.wait_for<requests::caller_request>();
    test::settle();
    CHECK(caller.unsent() > 0);
    harness.executor->execute(executor_harness::attempt(request, 1, backend.port()));
    auto& connection = backend.connection(0);
    connection.wait_for("\r\n\r\n");
    const auto header = connection.received().find("\r\n\r\n") + 4;
    test::run_until([&] { return connection.received().size() >= header + size; });
    CHECK(connection.received().substr(header) == std::string(size, 'u'));
    connection.close();
    const auto ended = harness.wait_for<requests::attempt_ended>();
    CHECK(ended.outcome == attempt_outcome::connection_lost);
    CHECK_FALSE(ended.can_resend);
}

// Guards against losing the outcome of a relayed request between two instances.
TEST_CASE("outcomes and the queue length pass between instances") {
    raw_listener home;
    executor_harness harness;
    const auto [text, outcome] =
        GENERATE(table<std::string, attempt_outcome>({{"not-run", attempt_outcome::refused},
                                                      {"unknown", attempt_outcome::outcome_unknown},
                                                      {"failed", attempt_outcome::relay_failed},
                                                      {"repeated", attempt_outcome::completed}}));
    raw_socket caller(harness.port());
    caller.send(get);
    auto effect = executor_harness::attempt(harness.wait_for<requests::caller_request>(), 1, home.port());
    effect.relay_to = model::instance_id("arusha-2");
    harness.executor->execute(effect);
    home.connection(0).wait_for("\r\n\r\n");
    CHECK(home.connection(0).received().find("lovagetack-relayed: arusha-1\r\n") != std::string::npos);
    CHECK(home.connection(0).received().find("lovagetack-relay-target: backend-1\r\n") != std::string::npos);
    home.connection(0).send("HTTP/1.1 502 X\r\nlovagetack-outcome: " + text +
                            "\r\nlovagetack-code: 2011\r\nlovagetack-queue: 12\r\nContent-Length: 2\r\n\r\n{}");
    const auto ended = harness.wait_for<requests::attempt_ended>();
    CHECK(ended.outcome == outcome);
    CHECK(ended.queue_at_home == 12);
    CHECK(ended.code == (text == "repeated" ? 0 : 2011));
    CHECK(harness.all<requests::attempt_answering>().size() == (text == "repeated" ? 1 : 0));
}

// Guards against a home instance that does not report its queue length, and against a backend server whose answer is
// taken for that of a home instance.
TEST_CASE("the home adds its queue length to the answer to a relayed request") {
    raw_listener backend;
    executor_harness harness;
    harness.route_all_to(backend.port());
    raw_socket caller(harness.port());
    caller.send("GET /maps/a HTTP/1.1\r\nHost: x\r\nlovagetack-relayed: arusha-2\r\n"
                "lovagetack-relay-target: backend-1\r\n\r\n");
    backend.connection(0).wait_for("\r\n\r\n");
    CHECK(backend.connection(0).received().find("lovagetack-relayed") == std::string::npos);
    backend.connection(0).send("HTTP/1.1 500 X\r\nlovagetack-outcome: not-run\r\nContent-Length: 2\r\n\r\n{}");
    caller.wait_for("{}");
    CHECK(caller.received().find("lovagetack-queue: 7\r\n") != std::string::npos);
    CHECK(caller.received().find("lovagetack-outcome") == std::string::npos);
    CHECK(harness.wait_for<requests::caller_request>().relay_target == model::backend_server_id("backend-1"));
}

// Guards against a graceful shutdown that cuts off an answer.
TEST_CASE("stop waits for the answer of a request in flight") {
    raw_listener backend;
    executor_harness harness;
    harness.route_all_to(backend.port());
    raw_socket caller(harness.port());
    caller.send(get);
    backend.connection(0).wait_for("\r\n\r\n");
    bool stopped = false;
    harness.executor->stop([&stopped] { stopped = true; });
    test::settle();
    CHECK_FALSE(stopped);
    backend.connection(0).send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    caller.wait_for("ok");
    test::run_until([&stopped] { return stopped; });
}

} // namespace
} // namespace lovagetack
