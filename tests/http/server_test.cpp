#include <catch2/catch.hpp>

#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include <sys/resource.h>
#include <unistd.h>

#include <QHostAddress>
#include <QTcpServer>

#include "http/echo_handler.hpp"
#include "http/sockets.hpp"

namespace lovagetack {
namespace {

using test::raw_socket;

struct echo_server {
    explicit echo_server(const http::server_limits& limits = {}) {
        test::ensure_application();
        server = std::make_unique<http::server>(handler, limits);
        REQUIRE(server->listen({"127.0.0.1", 0}));
    }

    test::echo_handler handler;
    std::unique_ptr<http::server> server;
};

/// Sends one request and begins its answer, which the test continues on the connection `echo.handler.last`.
void begin_answer(echo_server& echo, raw_socket& caller, std::string_view request, std::size_t size) {
    echo.handler.withhold_answers = true;
    caller.send(request);
    test::run_until([&echo] { return echo.handler.last != nullptr; });
    echo.handler.last->start_answer(200, "OK", "", http::body_framing::length, size);
    echo.handler.withhold_answers = false;
}

/// Sends one request and returns all bytes received until the server closed the connection.
std::string answer_until_close(const echo_server& echo, std::string_view request) {
    raw_socket caller(echo.server->port());
    caller.send(request);
    caller.wait_for_close();
    return caller.received();
}

// Guards against a parser that needs a header or a chunk in one piece.
TEST_CASE("a request that arrives byte by byte is parsed") {
    echo_server echo;
    raw_socket caller(echo.server->port());
    caller.send_byte_by_byte("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc");
    caller.wait_for("POST /a abc");
    caller.send_byte_by_byte("POST /b HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
                             "2\r\nde\r\nA;x=1\r\n0123456789\r\n0\r\nTrailer: 1\r\n\r\n");
    caller.wait_for("POST /b de0123456789");
    caller.send_byte_by_byte("POST /c HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
    caller.wait_for("POST /c ");
    CHECK(echo.handler.started == 3);
}

// Guards against answers in another order than the requests, and against lost pipelined requests.
TEST_CASE("pipelined requests are answered in order") {
    echo_server echo;
    raw_socket caller(echo.server->port());
    std::string requests;
    for (int number = 100; number < 200; ++number) {
        requests += "POST /" + std::to_string(number) + " HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\n.";
    }
    caller.send(requests);
    caller.wait_for("/199 .");
    std::size_t position = 0;
    for (int number = 100; number < 200; ++number) {
        const auto found = caller.received().find("POST /" + std::to_string(number) + " .");
        REQUIRE(found != std::string::npos);
        CHECK(found >= position);
        position = found;
    }
}

// Guards against request smuggling: another party could see a different end of the body.
TEST_CASE("a request with an ambiguous or malformed header is refused and the connection closed") {
    const std::vector<std::string> headers{
        "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\nabc",
        "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabc",
        "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3, 3\r\n\r\nabc",
        "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: -1\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999999999999999999\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
        "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n",
        "POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "GET / HTTP/1.1\r\n\r\n",
        "GET / HTTP/1.1\r\nHost: x\r\nHost: y\r\n\r\n",
        "GET / HTTP/1.1\r\nHost : x\r\n\r\n",
        "GET / HTTP/3.1\r\nHost: x\r\n\r\n",
        "nonsense\r\n\r\n"};
    for (const auto& header : headers) {
        INFO(header);
        echo_server echo;
        const auto answer = answer_until_close(echo, header + "GET /second HTTP/1.1\r\nHost: x\r\n\r\n");
        CHECK(answer.rfind("HTTP/1.1 400 ", 0) == 0);
        CHECK(answer.find("lovagetack-outcome: not-run\r\n") != std::string::npos);
        CHECK(test::count_of(answer, "HTTP/1.1 ") == 1);
        CHECK(echo.handler.started == 0);
    }
}

// Guards against a truncated body treated as complete, and against a next request parsed from within a malformed chunk.
TEST_CASE("a malformed chunk is answered 400 and the connection closed") {
    echo_server echo;
    const auto answer = answer_until_close(
        echo,
        "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nabXX0\r\n\r\nGET / HTTP/1.1\r\n\r\n");
    CHECK(answer.rfind("HTTP/1.1 400 ", 0) == 0);
    CHECK(answer.find("lovagetack-outcome: unknown\r\n") != std::string::npos);
    CHECK(echo.handler.callers_left == 1);
}

// Guards against unbounded memory use caused by one caller.
TEST_CASE("a header or body above the limit is refused") {
    http::server_limits limits;
    limits.body_bytes = 100000;
    echo_server echo(limits);
    const std::string large(17000, 'a');
    CHECK(answer_until_close(echo, "GET / HTTP/1.1\r\nHost: x\r\nX: " + large + "\r\n\r\n").rfind("HTTP/1.1 431 ", 0) ==
          0);
    CHECK(answer_until_close(echo, "GET /" + large).rfind("HTTP/1.1 431 ", 0) == 0);
    std::string many = "GET / HTTP/1.1\r\nHost: x\r\n";
    for (int field = 0; field < 2000; ++field) {
        many += "a: bcdef\r\n";
    }
    CHECK(answer_until_close(echo, many).rfind("HTTP/1.1 431 ", 0) == 0);
    CHECK(answer_until_close(echo, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 100001\r\n\r\n")
              .rfind("HTTP/1.1 413 ", 0) == 0);
    const std::string chunk = "c350\r\n" + std::string(50000, 'b') + "\r\n";
    const auto chunked = "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk + chunk;
    CHECK(answer_until_close(echo, chunked + "1\r\nc\r\n0\r\n\r\n").rfind("HTTP/1.1 413 ", 0) == 0);
    raw_socket caller(echo.server->port());
    caller.send(chunked + "0\r\n\r\n");
    caller.wait_for("HTTP/1.1 200 ");
}

// Guards against connections that stay open without end and without a complete header.
TEST_CASE("an incomplete header is answered 408 after the time limit") {
    http::server_limits limits;
    limits.header_time = std::chrono::milliseconds(1);
    echo_server echo(limits);
    CHECK(answer_until_close(echo, "GET / HTTP/1.1\r\nHo").rfind("HTTP/1.1 408 ", 0) == 0);
}

// Guards against idle connections that use up the limit.
TEST_CASE("an idle connection is closed without an answer") {
    http::server_limits limits;
    limits.idle_time = std::chrono::milliseconds(1);
    echo_server echo(limits);
    raw_socket caller(echo.server->port());
    caller.wait_for_close();
    CHECK(caller.received().empty());
}

// Guards against a delayed event loop that closes a connection whose next request has arrived but is not read yet.
TEST_CASE("an idle connection with an unread request is not closed") {
    test::ensure_application();
    QTcpServer listener;
    REQUIRE(listener.listen(QHostAddress::LocalHost));
    raw_socket caller(listener.serverPort());
    test::run_until([&listener] { return listener.hasPendingConnections(); });
    test::echo_handler handler;
    const http::server_limits limits;
    const auto connection = std::make_shared<http::server_connection>(listener.nextPendingConnection(), handler, limits,
                                                                      [](http::server_connection&) {});
    test::settle();
    caller.send("GET /late HTTP/1.1\r\nHost: x\r\n\r\n");
    // The socket has not been read since: the event loop has not run.
    connection->check_time(http::server_connection::clock::now() + limits.idle_time + limits.idle_time);
    caller.wait_for("GET /late ");
    connection->abort();
}

// Guards against a request that is read and thrown away: its caller gets no answer and cannot know that it has not run.
TEST_CASE("a request that crosses the close of an idle connection is not read") {
    test::ensure_application();
    QTcpServer listener;
    REQUIRE(listener.listen(QHostAddress::LocalHost));
    raw_socket caller(listener.serverPort());
    test::run_until([&listener] { return listener.hasPendingConnections(); });
    test::echo_handler handler;
    const http::server_limits limits;
    const auto connection = std::make_shared<http::server_connection>(listener.nextPendingConnection(), handler, limits,
                                                                      [](http::server_connection&) {});
    test::settle();
    const auto idle_until = http::server_connection::clock::now() + limits.idle_time;
    SECTION("because of the idle time") {
        connection->check_time(idle_until + limits.idle_time);
    }
    SECTION("because the server stops") {
        connection->finish();
        connection->check_time(idle_until);
    }
    // The caller has not seen the close yet: the event loop has not run.
    caller.send("GET /late HTTP/1.1\r\nHost: x\r\n\r\n");
    caller.wait_for_close();
    test::settle();
    CHECK(handler.started == 0);
    CHECK(handler.discarded == 0);
    CHECK(caller.received().empty());
    connection->abort();
}

// Guards against an idle time that begins before the caller has its answer: the caller counts from the answer.
TEST_CASE("the idle time of a connection begins at the end of its last answer") {
    echo_server echo;
    raw_socket caller(echo.server->port());
    begin_answer(echo, caller, "GET /a HTTP/1.1\r\nHost: x\r\n\r\n", 2);
    const auto& connection = echo.handler.last;
    const auto started = http::server_connection::clock::now();
    test::run_until(
        [started] { return http::server_connection::clock::now() - started > std::chrono::milliseconds(20); });
    const auto before_end = http::server_connection::clock::now();
    connection->answer_body("ok");
    connection->end_answer();
    connection->check_time(http::server_connection::clock::now());
    const auto idle_time = http::server_limits().idle_time;
    connection->check_time(before_end + idle_time);
    CHECK(echo.server->connections() == 1);
    connection->check_time(http::server_connection::clock::now() + idle_time + std::chrono::milliseconds(1));
    CHECK(echo.server->connections() == 0);
}

// Guards against requests that cross the close of many connections at once: a caller that has taken the longer idle
// time into account may still reuse them.
TEST_CASE("a shorter idle time holds for a connection only after its next answer, a longer one at once") {
    echo_server echo;
    raw_socket caller(echo.server->port());
    const auto send_request = [&] {
        caller.forget_received();
        caller.send("GET /a HTTP/1.1\r\nHost: x\r\n\r\n");
        caller.wait_for("GET /a ");
        echo.handler.last->check_time(http::server_connection::clock::now());
    };
    const auto is_open_after = [&](std::chrono::milliseconds time) {
        echo.handler.last->check_time(http::server_connection::clock::now() + time);
        return echo.server->connections() == 1;
    };
    const auto set_idle_time = [&](std::chrono::seconds time) {
        echo.server->set_limits(1000, std::chrono::seconds(5), time);
    };
    set_idle_time(std::chrono::seconds(100));
    send_request();
    set_idle_time(std::chrono::seconds(50));
    CHECK(is_open_after(std::chrono::seconds(90)));
    SECTION("shorter") {
        send_request();
        CHECK_FALSE(is_open_after(std::chrono::seconds(51)));
    }
    SECTION("longer") {
        set_idle_time(std::chrono::seconds(200));
        CHECK(is_open_after(std::chrono::seconds(190)));
        CHECK_FALSE(is_open_after(std::chrono::seconds(201)));
    }
}

// Guards against callers that reuse a connection until the moment at which the server closes it.
TEST_CASE("an answer that keeps the connection open states a shorter time than the connection stays open") {
    http::server_limits limits;
    limits.idle_time = std::chrono::seconds(15);
    echo_server echo(limits);
    raw_socket caller(echo.server->port());
    caller.send("GET /a HTTP/1.1\r\nHost: x\r\n\r\n");
    caller.wait_for("GET /a ");
    CHECK(test::count_of(caller.received(), "keep-alive: timeout=10\r\n") == 1);
    CHECK(answer_until_close(echo, "GET /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n").find("keep-alive") ==
          std::string::npos);
    SECTION("the time is not stated if it is below a second") {
        echo.server->set_limits(1000, std::chrono::seconds(5), std::chrono::seconds(1));
        caller.forget_received();
        caller.send("GET /b HTTP/1.1\r\nHost: x\r\n\r\n");
        caller.wait_for("GET /b ");
        CHECK(caller.received().find("keep-alive") == std::string::npos);
    }
}

// Guards against a close that the caller cannot know of: the answer said that the connection stays open.
TEST_CASE("a request after an answer that was begun before the server stopped is answered") {
    echo_server echo;
    raw_socket caller(echo.server->port());
    begin_answer(echo, caller, "GET /a HTTP/1.1\r\nHost: x\r\n\r\n", 2);
    echo.server->stop([] {});
    echo.handler.last->answer_body("ok");
    echo.handler.last->end_answer();
    caller.wait_for("ok");
    REQUIRE(caller.received().find("connection: close\r\n") == std::string::npos);
    caller.send("GET /b HTTP/1.1\r\nHost: x\r\n\r\n");
    caller.wait_for("GET /b ");
    CHECK(caller.received().find("connection: close\r\n") != std::string::npos);
    caller.wait_for_close();
}

// Guards against a listener that closes with connections in its backlog: the kernel resets them, and the requests on
// them get no answer.
TEST_CASE("a request on a connection that was not accepted before the server stops is answered") {
    echo_server echo;
    raw_socket caller(echo.server->port());
    caller.wait_until_connected();
    caller.send("GET /a HTTP/1.1\r\nHost: x\r\n\r\n");
    REQUIRE(echo.server->connections() == 0);
    bool stopped = false;
    echo.server->stop([&stopped] { stopped = true; });
    caller.wait_for_close();
    CHECK(caller.received().find("GET /a ") != std::string::npos);
    CHECK(caller.received().find("connection: close\r\n") != std::string::npos);
    test::run_until([&stopped] { return stopped; });
}

/// An answer to a caller that does not read it for a while.
struct slow_answer {
    explicit slow_answer(std::string_view request, std::size_t answer_size, const http::server_limits& limits = {})
        : echo(limits), size(answer_size) {
        caller = std::make_unique<raw_socket>(echo.server->port());
        begin_answer(echo, *caller, request, size);
        caller->stop_reading();
    }

    void end() {
        echo.handler.last->answer_body(std::string(size, 'x'));
        echo.handler.last->end_answer();
    }

    /// Bytes that the caller receives if it begins to read after `time`.
    std::size_t received_after(std::chrono::milliseconds time) {
        const auto until = std::chrono::steady_clock::now() + time;
        test::run_until([until] { return std::chrono::steady_clock::now() > until; });
        caller->resume_reading();
        caller->wait_for_close();
        return caller->received().size();
    }

    echo_server echo;
    std::unique_ptr<raw_socket> caller;
    std::size_t size;
};

// Guards against an answer that is cut off because its caller is slow when the process stops.
TEST_CASE("an answer that was begun before a stop is sent whole to a caller that reads it later") {
    slow_answer answer("GET /a HTTP/1.1\r\nHost: x\r\n\r\n", std::size_t(8) * 1024 * 1024);
    answer.echo.server->stop([] {});
    answer.end();
    CHECK(answer.received_after(std::chrono::milliseconds(1000)) > answer.size);
}

// Guards against a reset at the end of the linger time: it discards what the kernel has not sent yet.
TEST_CASE("an answer that announced the close is sent whole to a caller that reads it after the linger time") {
    slow_answer answer("GET /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", std::size_t(3) * 1024 * 1024);
    answer.end();
    CHECK(answer.received_after(std::chrono::milliseconds(2500)) > answer.size);
}

// Guards against a reset at the end of the process: it discards what the kernel has not sent yet.
TEST_CASE("the end of the server does not discard a whole answer in the kernel's buffer") {
    slow_answer answer("GET /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", std::size_t(3) * 1024 * 1024);
    answer.end();
    REQUIRE(answer.echo.handler.last->unsent() == 0);
    answer.echo.handler.last = nullptr;
    answer.echo.server.reset();
    CHECK(answer.received_after(std::chrono::milliseconds(100)) > answer.size);
}

// Guards against a reset at the close of an idle connection: it discards what the kernel has not sent yet.
TEST_CASE("the close of an idle connection does not discard an answer in the kernel's buffer") {
    http::server_limits limits;
    limits.idle_time = std::chrono::milliseconds(300);
    slow_answer answer("GET /a HTTP/1.1\r\nHost: x\r\n\r\n", std::size_t(3) * 1024 * 1024, limits);
    answer.end();
    REQUIRE(answer.echo.handler.last->unsent() == 0);
    CHECK(answer.received_after(std::chrono::milliseconds(1000)) > answer.size);
}

/// Lets the process open no more files for its lifetime.
class file_limit {
public:
    file_limit() {
        ::getrlimit(RLIMIT_NOFILE, &before_);
        const int lowest_free = ::dup(0);
        ::close(lowest_free);
        const rlimit none_left{static_cast<rlim_t>(lowest_free), before_.rlim_max};
        ::setrlimit(RLIMIT_NOFILE, &none_left);
    }
    file_limit(const file_limit&) = delete;
    file_limit& operator=(const file_limit&) = delete;
    ~file_limit() { ::setrlimit(RLIMIT_NOFILE, &before_); }

private:
    rlimit before_{};
};

// Guards against a listener that accepts nothing more after one failure, so that all requests on new connections wait
// unread.
TEST_CASE("connections that could not be accepted for lack of file descriptors are accepted later") {
    echo_server echo;
    raw_socket caller(echo.server->port());
    caller.wait_until_connected();
    caller.send("GET /a HTTP/1.1\r\nHost: x\r\n\r\n");
    {
        const file_limit limit;
        test::settle();
        REQUIRE(echo.server->connections() == 0);
    }
    SECTION("while the server listens") {
        caller.wait_for("GET /a ");
    }
    SECTION("when it stops before it has tried again") {
        bool stopped = false;
        echo.server->stop([&stopped] { stopped = true; });
        caller.wait_for("GET /a ");
        // The next check of times must not resume the closed listener.
        const auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(300);
        test::run_until([until] { return std::chrono::steady_clock::now() > until; });
        CHECK(stopped);
    }
}

// Guards against more connections than the instance has memory for, and against closed connections that still count
// towards the limit.
TEST_CASE("a connection above the limit is refused until another one closes") {
    http::server_limits limits;
    limits.connections = 1;
    echo_server echo(limits);
    raw_socket first(echo.server->port());
    first.send("GET /1 HTTP/1.1\r\nHost: x\r\n\r\n");
    first.wait_for("GET /1");
    const auto refused = answer_until_close(echo, "GET /2 HTTP/1.1\r\nHost: x\r\n\r\n");
    CHECK(refused.rfind("HTTP/1.1 503 ", 0) == 0);
    CHECK(refused.find("lovagetack-code: 2021\r\n") != std::string::npos);
    CHECK(echo.handler.started == 1);
    first.close();
    test::run_until([&echo] { return echo.server->connections() == 0; });
    raw_socket third(echo.server->port());
    third.send("GET /3 HTTP/1.1\r\nHost: x\r\n\r\n");
    third.wait_for("GET /3");
}

// Guards against a server that miscounts or accesses a connection that its caller has closed.
TEST_CASE("a caller may close its connection at any point of its request") {
    echo_server echo;
    echo.handler.withhold_answers = true;
    const std::string request = "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nabcd";
    for (std::size_t length = 0; length <= request.size(); ++length) {
        raw_socket caller(echo.server->port());
        caller.send(request.substr(0, length));
        test::run_until([&echo] { return echo.server->connections() == 1; });
        if (length % 2 == 0) {
            caller.reset();
        } else {
            caller.close();
        }
        test::run_until([&echo] { return echo.server->connections() == 0; });
    }
    CHECK(echo.handler.callers_left == echo.handler.started);
}

// Guards against a shutdown that cuts off a request or never ends.
TEST_CASE("stop lets the open request end and closes idle connections") {
    echo_server echo;
    raw_socket idle(echo.server->port());
    raw_socket busy(echo.server->port());
    busy.send("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nab");
    test::run_until([&echo] { return echo.handler.started == 1; });
    bool stopped = false;
    echo.server->stop([&stopped] { stopped = true; });
    idle.wait_for_close();
    CHECK_FALSE(stopped);
    busy.send("cd");
    busy.wait_for("POST /a abcd");
    CHECK(busy.received().find("connection: close\r\n") != std::string::npos);
    busy.wait_for_close();
    test::run_until([&stopped] { return stopped; });
}

} // namespace
} // namespace lovagetack
