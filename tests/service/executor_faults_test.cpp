#include <catch2/catch.hpp>

#include "service/executor_harness.hpp"

namespace lovagetack {
namespace {

using requests::attempt_outcome;
using test::executor_harness;
using test::raw_listener;
using test::raw_socket;

constexpr std::string_view get = "GET /maps/a HTTP/1.1\r\nHost: x\r\n\r\n";
constexpr std::string_view post = "POST /maps/a HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody";

// Guards against a caller that takes a truncated answer for a complete one.
TEST_CASE("an answer that is cut short closes the caller's connection without a proper end") {
    const std::string header = GENERATE(
        "Content-Length: 10\r\n\r\nabc", "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
        "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n", "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\nzz\r\n");
    raw_listener backend;
    executor_harness harness;
    harness.route_all_to(backend.port());
    raw_socket caller(harness.port());
    caller.send(get);
    auto& connection = backend.connection(0);
    connection.wait_for("\r\n\r\n");
    connection.send("HTTP/1.1 200 OK\r\n" + header);
    if (header.find("zz") == std::string::npos) {
        caller.wait_for("abc");
    }
    connection.close();
    caller.wait_for_close();
    CHECK(caller.received().find("\r\n0\r\n\r\n") == std::string::npos);
    CHECK(harness.wait_for<requests::attempt_ended>().outcome == attempt_outcome::cut_short);
    CHECK(harness.executor->open_exchanges() == 0);
}

// Guards against bytes of one answer that reach the next caller.
TEST_CASE("a connection with bytes beyond its answer is not used again") {
    raw_listener backend;
    executor_harness harness;
    harness.route_all_to(backend.port());
    raw_socket caller(harness.port());
    const bool late = GENERATE(false, true);
    caller.send(get);
    auto& connection = backend.connection(0);
    connection.wait_for("\r\n\r\n");
    const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    const std::string surplus = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong";
    connection.send(late ? answer : answer + surplus);
    caller.wait_for("ok");
    if (late) {
        connection.send(surplus);
    }
    connection.wait_for_close();
    caller.forget_received();
    caller.send(get);
    backend.connection(1).wait_for("\r\n\r\n");
    backend.connection(1).send("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nright");
    caller.wait_for("right");
    CHECK(caller.received().find("wrong") == std::string::npos);
}

// Guards against a new connection for every request.
TEST_CASE("a connection is used again after a complete answer") {
    raw_listener backend;
    executor_harness harness;
    harness.route_all_to(backend.port());
    raw_socket caller(harness.port());
    for (std::size_t number = 0; number < 3; ++number) {
        caller.send(post);
        backend.connection(0).wait_for("body");
        backend.connection(0).forget_received();
        backend.connection(0).send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        const auto ended = harness.wait_for<requests::attempt_ended>(number);
        CHECK(ended.outcome == attempt_outcome::completed);
        CHECK(ended.reused_connection == (number > 0));
    }
    CHECK(backend.connections() == 1);
}

// Guards against a payment that runs twice: nothing below the requests module may send a request again.
TEST_CASE("a POST is not sent again when the backend server closes") {
    raw_listener backend;
    executor_harness harness;
    harness.route_all_to(backend.port());
    raw_socket caller(harness.port());
    caller.send(post);
    backend.connection(0).wait_for("body");
    backend.connection(0).send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    caller.wait_for("ok");
    backend.connection(0).forget_received();
    caller.send(post);
    backend.connection(0).wait_for("body");
    backend.connection(0).close();
    const auto ended = harness.wait_for<requests::attempt_ended>(1);
    CHECK(ended.outcome == attempt_outcome::connection_lost);
    CHECK(ended.bytes_sent);
    CHECK(ended.reused_connection);
    CHECK(ended.can_resend);
    test::settle();
    CHECK(backend.connections() == 1);
    CHECK(test::count_of(backend.connection(0).received(), "POST") == 1);
}

// Guards against reporting bytes as sent when the backend server cannot be reached.
TEST_CASE("an attempt that cannot connect has sent nothing") {
    executor_harness harness;
    harness.route_all_to(test::unused_port());
    raw_socket caller(harness.port());
    caller.send(post);
    const auto ended = harness.wait_for<requests::attempt_ended>();
    CHECK(ended.outcome == attempt_outcome::connect_failed);
    CHECK_FALSE(ended.bytes_sent);
    CHECK(harness.all<requests::attempt_sending>().empty());
}

// Guards against a refusal that reaches the caller although another attempt can be made.
TEST_CASE("a refused request is reported and can be sent again with its body") {
    raw_listener backend;
    executor_harness harness;
    raw_socket caller(harness.port());
    caller.send(post);
    const auto request = harness.wait_for<requests::caller_request>();
    harness.executor->execute(executor_harness::attempt(request, 1, backend.port()));
    backend.connection(0).wait_for("body");
    backend.connection(0).send("HTTP/1.1 503 Busy\r\nlovagetack-outcome: not-run\r\nRetry-After: 3\r\n"
                               "Content-Length: 4\r\n\r\nbusy");
    const auto ended = harness.wait_for<requests::attempt_ended>();
    CHECK(ended.outcome == attempt_outcome::refused);
    CHECK(ended.status == 503);
    CHECK(ended.retry_after == std::chrono::seconds(3));
    CHECK(ended.can_resend);
    backend.connection(0).forget_received();
    harness.executor->execute(executor_harness::attempt(request, 2, backend.port()));
    backend.connection(0).wait_for("body");
    backend.connection(0).send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    caller.wait_for("ok");
    CHECK(caller.received().rfind("HTTP/1.1 200 OK\r\n", 0) == 0);
}

// Guards against an error page appended to an answer of 200, and against an answer that never ends.
TEST_CASE("an error answer after the header has gone out closes the connection") {
    raw_listener backend;
    executor_harness harness;
    harness.route_all_to(backend.port());
    raw_socket caller(harness.port());
    caller.send(get);
    backend.connection(0).wait_for("\r\n\r\n");
    backend.connection(0).send("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc");
    caller.wait_for("abc");
    requests::answer_caller effect;
    effect.exchange = harness.wait_for<requests::caller_request>().exchange;
    harness.executor->execute(effect);
    caller.wait_for_close();
    backend.connection(0).wait_for_close();
    CHECK(test::count_of(caller.received(), "HTTP/1.1") == 1);
}

// Guards against a crash, and against a request that is not cancelled, when its caller disconnects.
TEST_CASE("a caller that leaves is reported and its request can be cancelled") {
    raw_listener backend;
    executor_harness harness;
    harness.route_all_to(backend.port());
    raw_socket caller(harness.port());
    const bool answering = GENERATE(false, true);
    caller.send("POST /maps/a HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\nlovagetack-request-id: r\"1\r\n\r\nbody");
    backend.connection(0).wait_for("body");
    if (answering) {
        backend.connection(0).send("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc");
        caller.wait_for("abc");
    }
    caller.reset();
    const auto left = harness.wait_for<requests::caller_left>();
    const auto sending = harness.wait_for<requests::attempt_sending>();
    harness.executor->execute(requests::cancel_attempt{left.exchange, sending.attempt, true});
    backend.connection(0).wait_for_close();
    auto& cancelling = backend.connection(1);
    cancelling.wait_for(R"({"request_id":"r\"1"})");
    CHECK(cancelling.received().rfind("POST /lovagetack/cancel HTTP/1.1\r\n", 0) == 0);
    CHECK(harness.executor->open_exchanges() == 0);
}

// Guards against exceeding the connection limit of a backend server, and against attempts sent out of order.
TEST_CASE("attempts above the connection limit wait in order") {
    raw_listener backend;
    executor_harness harness;
    harness.route_all_to(backend.port());
    harness.executor->execute(
        requests::limit_connections{model::backend_server_id("backend-1"), {"127.0.0.1", backend.port()}, 1});
    std::vector<std::unique_ptr<raw_socket>> callers;
    for (int number = 0; number < 4; ++number) {
        callers.push_back(std::make_unique<raw_socket>(harness.port()));
        callers.back()->send("GET /maps/" + std::to_string(number) + " HTTP/1.1\r\nHost: x\r\n\r\n");
        harness.wait_for<requests::caller_request>(static_cast<std::size_t>(number));
    }
    for (int number = 0; number < 4; ++number) {
        auto& connection = backend.connection(0);
        connection.wait_for("GET /maps/" + std::to_string(number) + " ");
        CHECK(test::count_of(connection.received(), "GET ") == 1);
        connection.forget_received();
        connection.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    }
    callers.back()->wait_for("ok");
    CHECK(backend.connections() == 1);
}

// Guards against a probe that is sent on the unresponsive connection it should test.
TEST_CASE("a probe opens a new connection") {
    raw_listener backend;
    executor_harness harness;
    harness.route_all_to(backend.port());
    raw_socket caller(harness.port());
    caller.send(get);
    backend.connection(0).wait_for("\r\n\r\n");
    harness.executor->execute(
        requests::probe_connection{model::backend_server_id("backend-1"), {"127.0.0.1", backend.port()}});
    backend.connection(1).wait_for("GET /lovagetack/health HTTP/1.1\r\n");
    backend.connection(1).send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    CHECK(harness.wait_for<requests::connection_probed>().reachable);
    harness.executor->execute(
        requests::probe_connection{model::backend_server_id("backend-2"), {"127.0.0.1", test::unused_port()}});
    CHECK_FALSE(harness.wait_for<requests::connection_probed>(1).reachable);
}

} // namespace
} // namespace lovagetack
