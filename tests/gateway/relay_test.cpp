#include <catch2/catch.hpp>

#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "dialect.hpp"
#include "gateway/load_exchange.hpp"
#include "gateway/relay.hpp"
#include "grants.hpp"
#include "http/sockets.hpp"
#include "wire/peer.pb.h"

namespace lovagetack::gateway {
namespace {

using routing::attempt_outcome;
using test::raw_socket;

/// A relay that sends every request to one listener. The test acts as caller and backend server on raw sockets.
struct fixture {
    fixture() {
        test::ensure_application();
        server = std::make_unique<test::raw_listener>();
        relay = std::make_unique<gateway::relay>(
            dialect, [this](const routing::event& event) { on_event(event); }, 64);
        REQUIRE(relay->listen({"127.0.0.1", port = test::unused_port()}));
        caller = std::make_unique<raw_socket>(port);
    }

    void on_event(const routing::event& event) {
        events.push_back(event);
        if (const auto* arrived = std::get_if<routing::request_arrived>(&event)) {
            if (sends) {
                send(arrived->exchange);
            }
        }
        if (reaction) {
            reaction(event);
        }
    }

    void send(routing::exchange_id exchange) {
        relay->execute(routing::send_request{exchange,
                                             model::attempt_id(++attempts),
                                             model::backend_server_id("i-1"),
                                             {"127.0.0.1", server->port()},
                                             std::chrono::milliseconds(700),
                                             at_most_once,
                                             account});
    }

    attempt_outcome outcome() {
        test::run_until([this] { return ended() != nullptr; });
        return ended()->outcome;
    }

    const routing::attempt_ended* ended() const {
        for (auto at = events.rbegin(); at != events.rend(); ++at) {
            if (const auto* found = std::get_if<routing::attempt_ended>(&*at)) {
                return found;
            }
        }
        return nullptr;
    }

    void send_caller_request(const std::string& id = "abc") {
        caller->send("GET /look/1?x=2 HTTP/1.1\r\nHost: h\r\nLovagetack-Request-Id: " + id +
                     "\r\nLovagetack-Deadline-Ms: 2000\r\nLovagetack-Expected-Instance: forged\r\n\r\n");
        if (sends) {
            server->connection(0).wait_for("\r\n\r\n");
            return;
        }
        test::run_until([this] { return !events.empty(); });
    }

    operators_platform::dialect dialect;
    std::unique_ptr<test::raw_listener> server;
    std::unique_ptr<gateway::relay> relay;
    std::unique_ptr<raw_socket> caller;
    std::uint16_t port = 0;
    std::uint64_t attempts = 0;
    /// Whether requests are sent to the server when they arrive.
    bool sends = true;
    /// Whether the requests must not run twice.
    bool at_most_once = false;
    /// Client account of the requests.
    std::optional<model::client_account_id> account;
    std::vector<routing::event> events;
    /// Called with each event, after it has been noted.
    std::function<void(const routing::event&)> reaction;
};

const std::string signed_head = "HTTP/1.1 200 OK\r\nLovagetack-Request-Id: abc\r\nLovagetack-Response-Signature: s\r\n";

} // namespace

TEST_CASE("request and answer are forwarded unchanged, with the remaining deadline and the expected server set") {
    fixture test;
    test.send_caller_request();
    const auto& request = test.server->connection(0).received();
    REQUIRE(request.starts_with("GET /look/1?x=2 HTTP/1.1\r\n"));
    REQUIRE(request.find("Lovagetack-Deadline-Ms: 700\r\n") != std::string::npos);
    REQUIRE(request.find("Lovagetack-Expected-Instance: i-1\r\n") != std::string::npos);
    REQUIRE(request.find("forged") == std::string::npos);
    test.server->connection(0).send(signed_head + "Lovagetack-Server-Load: 1,2,3,150\r\nContent-Length: 3\r\n\r\nabc");
    test.caller->wait_for("\r\n\r\nabc");
    REQUIRE(test.caller->received().find("Lovagetack-Response-Signature: s") != std::string::npos);
    REQUIRE(test.outcome() == attempt_outcome::delivered);
    REQUIRE(test.ended()->load->waiting == 2);
    REQUIRE(test.ended()->load->slowness == 150);
}

TEST_CASE("a server gets the name of the client account, neither its key nor a name that the caller gives") {
    fixture test;
    const std::string shown = "Authorization: Token first\r\nLovagetack-Tenant: forged\r\n";
    const auto account =
        GENERATE(std::optional<std::string>(), std::optional<std::string>(""), std::optional<std::string>("north"));
    if (account) {
        test.account = model::client_account_id(*account);
    }
    test.caller->send("GET /look/1 HTTP/1.1\r\nHost: h\r\nLovagetack-Request-Id: abc\r\n" + shown + "\r\n");
    test.server->connection(0).wait_for("\r\n\r\n");
    const auto& request = test.server->connection(0).received();
    const auto* const arrived = std::get_if<routing::request_arrived>(&test.events.front());
    REQUIRE(arrived != nullptr);
    CHECK(arrived->credential == accounts::credential_of("first"));
    // Without client accounts the fields mean nothing and are passed on.
    CHECK((request.find(shown) != std::string::npos) == !account.has_value());
    CHECK((request.find("Lovagetack-Tenant: north\r\n") != std::string::npos) == (account == "north"));
    CHECK((request.find("forged") != std::string::npos) == !account.has_value());
}

TEST_CASE("a key that is repeated, empty, too long or of another scheme is no key") {
    fixture test;
    test.sends = false;
    const auto shown =
        GENERATE(std::string("Authorization: Token first\r\nAuthorization: Token first\r\n"),
                 std::string("Authorization: Basic first\r\n"), std::string("Authorization: Token\r\n"),
                 std::string("Authorization: Token \r\n"), std::string("Authorization: Tokenfirst\r\n"),
                 std::string("Authorization: Token first, Token second\r\n"), std::string("Authorization: first\r\n"),
                 "Authorization: Token " + std::string(accounts::longest_key + 1, 'k') + "\r\n");
    test.caller->send("GET /look/1 HTTP/1.1\r\nHost: h\r\n" + shown + "\r\n");
    test::run_until([&test] { return !test.events.empty(); });
    const auto* const arrived = std::get_if<routing::request_arrived>(&test.events.front());
    REQUIRE(arrived != nullptr);
    CHECK_FALSE(arrived->credential);
}

TEST_CASE("an answer without length is complete when the connection is closed, but not when it is reset") {
    fixture test;
    test.send_caller_request();
    test.server->connection(0).send(signed_head + "\r\nhalf");
    test::settle();
    SECTION("closed") {
        test.server->connection(0).close();
        test.caller->wait_for("half");
        REQUIRE(test.outcome() == attempt_outcome::delivered);
    }
    SECTION("reset") {
        test.server->connection(0).reset();
        REQUIRE(test.outcome() == attempt_outcome::connection_lost);
        REQUIRE(test.caller->received().empty());
    }
}

// Guards against an instance that learns that a server leaves only at the end of a long answer, although the caller has
// had the head of that answer all the while.
TEST_CASE("what a server states in the head of an answer is reported at once") {
    fixture test;
    test.send_caller_request();
    const auto received = [&test]() -> const routing::signals_received* {
        for (const auto& event : test.events) {
            if (const auto* found = std::get_if<routing::signals_received>(&event)) {
                return found;
            }
        }
        return nullptr;
    };
    auto& server = test.server->connection(0);
    SECTION("in a long answer that has not ended") {
        server.send(signed_head + "Server-Leaving: 1\r\nContent-Length: 90000\r\n\r\n" + std::string(50000, 'x'));
        test.caller->wait_for("xxxx");
        REQUIRE(received() != nullptr);
        CHECK(received()->exchange == 1);
        CHECK(received()->attempt == model::attempt_id(1));
        CHECK(received()->signals.leaving);
        CHECK(test.ended() == nullptr);
        // Callers are told as the server has told it.
        CHECK(test.caller->received().find("Server-Leaving: 1\r\n") != std::string::npos);
    }
    SECTION("in a refusal") {
        server.send("HTTP/1.1 503 Service Unavailable\r\nLovagetack-Request-Id: abc\r\nLovagetack-Not-Executed: 1\r\n"
                    "Lovagetack-Instance-Id: i-1\r\nRetry-After: 3\r\nContent-Length: 0\r\n\r\n");
        CHECK(test.outcome() == attempt_outcome::not_run);
        REQUIRE(received() != nullptr);
        CHECK(received()->signals.pause == std::chrono::seconds(3));
    }
    SECTION("but not what another server at the address states of itself") {
        server.send("HTTP/1.1 421 Misdirected Request\r\nLovagetack-Request-Id: abc\r\nServer-Leaving: 1\r\n"
                    "Lovagetack-Instance-Id: i-2\r\nContent-Length: 0\r\n\r\n");
        CHECK(test.outcome() == attempt_outcome::wrong_server);
        CHECK(received() == nullptr);
    }
    SECTION("nor what an answer to an earlier request states") {
        server.send("HTTP/1.1 503 Service Unavailable\r\nLovagetack-Request-Id: earlier\r\nRetry-After: 3\r\n"
                    "Content-Length: 0\r\n\r\n" +
                    signed_head + "Content-Length: 0\r\n\r\n");
        CHECK(test.outcome() == attempt_outcome::delivered);
        CHECK(received() == nullptr);
    }
}

// Guards against the use of an attempt that is dropped while it reports the head of its answer.
TEST_CASE("an attempt may be dropped when the head of its answer is reported") {
    fixture test;
    const auto status = GENERATE(as<std::string>(), "200 OK", "503 Service Unavailable");
    test.reaction = [&test](const routing::event& event) {
        if (!std::holds_alternative<routing::signals_received>(event)) {
            return;
        }
        test.relay->execute(routing::cancel_attempt{1, model::attempt_id(1)});
        test.relay->execute(
            routing::answer_caller{1, 504, base::result_code::request_deadline_passed, std::chrono::milliseconds(0)});
    };
    test.send_caller_request();
    test.server->connection(0).send("HTTP/1.1 " + status +
                                    "\r\nLovagetack-Request-Id: abc\r\nServer-Leaving: 1\r\nContent-Length: " +
                                    (status == "200 OK" ? "3\r\n\r\nabc" : "0\r\n\r\n"));
    test.caller->wait_for("request_deadline_passed");
    test::settle();
    CHECK(test.ended() == nullptr);
    CHECK(test.relay->open_exchanges() == 0);
}

// Guards against memory that grows while a server in trouble sends bytes without end.
TEST_CASE("bytes without end that are no answer end the attempt, and nothing of them reaches the caller") {
    fixture test;
    test.send_caller_request();
    auto& server = test.server->connection(0);
    std::string head;
    SECTION("in a head") {
        head = "HTTP/1.1 200 OK\r\nX-Filler: ";
    }
    SECTION("in a body without a signature") {
        head = "HTTP/1.1 200 OK\r\nLovagetack-Request-Id: abc\r\n\r\n";
    }
    SECTION("in the body of a signed failure") {
        head = "HTTP/1.1 500 Internal Server Error\r\nLovagetack-Request-Id: abc\r\n"
               "Lovagetack-Response-Signature: s\r\n\r\n";
    }
    server.send(head);
    const std::string piece(std::size_t(64) * 1024, 'x');
    for (int sent = 0; sent < 256 && test.ended() == nullptr; ++sent) {
        server.send(piece);
        test::settle();
    }
    REQUIRE(test.ended() != nullptr);
    REQUIRE(test.outcome() == attempt_outcome::invalid_answer);
    REQUIRE(test.caller->received().empty());
}

TEST_CASE("an answer to an earlier request is skipped") {
    fixture test;
    test.send_caller_request();
    test.server->connection(0).send("HTTP/1.1 200 OK\r\nLovagetack-Request-Id: earlier\r\n"
                                    "Lovagetack-Response-Signature: x\r\nContent-Length: 5\r\n\r\nwrong");
    test.server->connection(0).send(signed_head + "Content-Length: 5\r\n\r\nright");
    test.caller->wait_for("right");
    REQUIRE(test.caller->received().find("wrong") == std::string::npos);
    REQUIRE(test.outcome() == attempt_outcome::delivered);
}

// Guards against the use of an exchange that has been destroyed: the connection of an attempt that ends goes to the
// next request at once, and the routing handles its start before the end of the attempt. It ends overdue exchanges
// then.
TEST_CASE("an exchange may end while the connection of its attempt goes to the next request") {
    const auto* const answer =
        GENERATE("HTTP/1.1 421 Misdirected Request\r\nLovagetack-Request-Id: abc\r\nLovagetack-Not-Executed: 1\r\n"
                 "Content-Length: 0\r\n\r\n",
                 "HTTP/1.1 500 Internal Server Error\r\nLovagetack-Request-Id: abc\r\n"
                 "Lovagetack-Response-Signature: s\r\nContent-Length: 0\r\n\r\n");
    CAPTURE(answer);
    fixture test;
    test.relay->set_connection_limit(1);
    test.reaction = [&test](const routing::event& event) {
        const auto* sent = std::get_if<routing::attempt_sent>(&event);
        if (sent != nullptr && sent->exchange == 2) {
            test.relay->execute(routing::cancel_attempt{1, model::attempt_id(1)});
            test.relay->execute(routing::answer_caller{1, 504, base::result_code::request_deadline_passed, {}});
        }
    };
    test.send_caller_request();
    raw_socket next(test.port);
    next.send("GET /look/2 HTTP/1.1\r\nHost: h\r\nLovagetack-Request-Id: def\r\n\r\n");
    test::run_until([&test] { return test.relay->open_exchanges() == 2; });
    test.server->connection(0).send(answer);
    test.caller->wait_for("request_deadline_passed");
    test::settle();
    REQUIRE(test.ended() == nullptr);
    REQUIRE(test.relay->open_exchanges() == 1);
}

// Guards against a request that runs while it counts as refused: a faulty server writes a refusal twice, and the second
// one has the id of the request that is sent to it again.
TEST_CASE("a repeated refusal is not taken for the answer to the request that is sent to the server again") {
    const auto* const refusal =
        GENERATE("HTTP/1.1 503 Service Unavailable\r\nLovagetack-Request-Id: abc\r\nLovagetack-Not-Executed: 1\r\n"
                 "Content-Length: 0\r\n\r\n",
                 "HTTP/1.1 421 Misdirected Request\r\nLovagetack-Request-Id: abc\r\nLovagetack-Not-Executed: 1\r\n"
                 "Content-Length: 0\r\n\r\n",
                 "HTTP/1.1 421 Misdirected Request\r\nLovagetack-Request-Id: abc\r\nLovagetack-Instance-Id: i-2\r\n"
                 "Content-Length: 0\r\n\r\n");
    CAPTURE(refusal);
    fixture test;
    test.at_most_once = true;
    test.send_caller_request();
    auto& first = test.server->connection(0);
    first.send(refusal);
    const auto refused = test.outcome();
    REQUIRE((refused == attempt_outcome::not_run || refused == attempt_outcome::no_key ||
             refused == attempt_outcome::wrong_server));
    test.events.clear();
    first.forget_received();
    test.send(1);
    test::run_until([&] { return test.server->connections() == 2 || !first.received().empty(); });
    first.send(refusal);
    test::settle();
    REQUIRE(test.ended() == nullptr);
    auto& second = test.server->connection(1);
    second.wait_for("\r\n\r\n");
    second.send(signed_head + "Content-Length: 5\r\n\r\nright");
    test.caller->wait_for("right");
    REQUIRE(test.outcome() == attempt_outcome::delivered);
}

// Guards against a request that may run while it counts as refused: a refusal that names no request may be the repeat
// of one to an earlier request of the connection.
TEST_CASE("a refusal without a request id counts only if no earlier request or a repeatable one can be meant") {
    const auto* const refusal =
        GENERATE("HTTP/1.1 503 Service Unavailable\r\nLovagetack-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
                 "HTTP/1.1 421 Misdirected Request\r\nLovagetack-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
                 "HTTP/1.1 421 Misdirected Request\r\nLovagetack-Instance-Id: i-2\r\nContent-Length: 0\r\n\r\n");
    const bool at_most_once = GENERATE(true, false);
    const bool reused = GENERATE(true, false);
    CAPTURE(refusal, at_most_once, reused);
    fixture test;
    test.at_most_once = at_most_once;
    test.send_caller_request();
    auto& server = test.server->connection(0);
    if (reused) {
        server.send(signed_head + "Content-Length: 5\r\n\r\nfirst");
        test.caller->wait_for("first");
        test.events.clear();
        server.forget_received();
        test.caller = std::make_unique<raw_socket>(test.port);
        test.send_caller_request("def");
    }
    server.send(refusal);
    const auto outcome = test.outcome();
    if (at_most_once && reused) {
        REQUIRE(outcome == attempt_outcome::invalid_answer);
    } else {
        REQUIRE((outcome == attempt_outcome::not_run || outcome == attempt_outcome::no_key ||
                 outcome == attempt_outcome::wrong_server));
    }
    REQUIRE(test.ended()->reused_connection == reused);
    test::settle();
    REQUIRE(test.caller->received().empty());
}

TEST_CASE("an answer that is unsigned, encoded, malformed or incomplete is not forwarded") {
    fixture test;
    test.send_caller_request();
    SECTION("no signature") {
        test.server->connection(0).send("HTTP/1.1 200 OK\r\nLovagetack-Request-Id: abc\r\nContent-Length: 1\r\n\r\nx");
        REQUIRE(test.outcome() == attempt_outcome::invalid_answer);
    }
    SECTION("an encoding that was not asked for") {
        test.server->connection(0).send(signed_head + "Content-Encoding: gzip\r\nContent-Length: 1\r\n\r\nx");
        REQUIRE(test.outcome() == attempt_outcome::invalid_answer);
    }
    SECTION("not HTTP") {
        test.server->connection(0).send("garbage garbage\r\n\r\n");
        REQUIRE(test.outcome() == attempt_outcome::invalid_answer);
    }
    SECTION("shorter than its Content-Length") {
        test.server->connection(0).send(signed_head + "Content-Length: 10\r\n\r\nhalf");
        test.server->connection(0).close();
        REQUIRE(test.outcome() == attempt_outcome::connection_lost);
    }
    REQUIRE(test.caller->received().empty());
}

// Guards against the end of a connection that counts as the end of a head, and so of a whole, empty or short answer.
TEST_CASE("an answer whose head is cut after any of its bytes does not reach the caller") {
    const bool has_length = GENERATE(true, false);
    const auto head = signed_head + (has_length ? "Content-Length: 5\r\n" : "") + "Connection: close\r\n\r\n";
    fixture test;
    for (std::size_t length = 0; length < head.size(); ++length) {
        CAPTURE(has_length, length);
        test.events.clear();
        test.caller = std::make_unique<raw_socket>(test.port);
        test.caller->send("GET /look/1 HTTP/1.1\r\nHost: h\r\nLovagetack-Request-Id: abc\r\n\r\n");
        auto& server = test.server->connection(length);
        server.wait_for("\r\n\r\n");
        server.send(std::string_view(head).substr(0, length));
        server.close();
        REQUIRE(test.outcome() == attempt_outcome::connection_lost);
        test::settle();
        REQUIRE(test.caller->received().empty());
    }
}

TEST_CASE("a long answer that is cut short resets the caller's connection") {
    fixture test;
    test.send_caller_request();
    test.server->connection(0).send(signed_head + "Content-Length: 90000\r\n\r\n" + std::string(50000, 'x'));
    test.caller->wait_for("xxxx");
    test.server->connection(0).close();
    REQUIRE(test.outcome() == attempt_outcome::cut_short);
    test.caller->wait_for_close();
}

TEST_CASE("an error answer is not written into an answer that was partly sent") {
    fixture test;
    test.send_caller_request();
    test.server->connection(0).send(signed_head + "Content-Length: 90000\r\n\r\n" + std::string(50000, 'x'));
    test.caller->wait_for("xxxx");
    test.relay->execute(routing::answer_caller{1, 504, base::result_code::request_deadline_passed, {}});
    test.caller->wait_for_close();
    REQUIRE(test.caller->received().find("504") == std::string::npos);
}

TEST_CASE("a refused request is answered with Retry-After") {
    fixture test;
    test.sends = false;
    test.send_caller_request();
    test.relay->execute(
        routing::answer_caller{1, 503, base::result_code::request_queue_full, std::chrono::milliseconds(250)});
    test.caller->wait_for("request_queue_full");
    REQUIRE(test.caller->received().find("HTTP/1.1 503 ") == 0);
    REQUIRE(test.caller->received().find("Retry-After: 0.250\r\n") != std::string::npos);
    REQUIRE(test.caller->received().find("Lovagetack-Request-Id: abc\r\n") != std::string::npos);
    REQUIRE(test.caller->received().find("Signature") == std::string::npos);
}

// Guards against a promise that something has not run, of whatever cause, once bytes of it have reached a server.
TEST_CASE("a refusal of a request that has been written does not promise that it has not run") {
    fixture test;
    test.send_caller_request();
    const bool server_refused = GENERATE(false, true);
    if (server_refused) {
        test.server->connection(0).send("HTTP/1.1 503 Busy\r\nLovagetack-Request-Id: abc\r\nLovagetack-Not-Executed: "
                                        "1\r\nContent-Length: 0\r\n\r\n");
        REQUIRE(test.outcome() == attempt_outcome::not_run);
    } else {
        test.relay->execute(routing::cancel_attempt{1, model::attempt_id(1)});
    }
    test.relay->execute(
        routing::answer_caller{1, 503, base::result_code::request_queue_full, std::chrono::milliseconds(250)});
    test.caller->wait_for("request_queue_full");
    CHECK((test.caller->received().find("HTTP/1.1 503 ") == 0) == server_refused);
    CHECK((test.caller->received().find("Retry-After: ") != std::string::npos) == server_refused);
    CHECK(std::any_of(test.events.begin(), test.events.end(), [](const auto& event) {
              return std::holds_alternative<routing::promise_withheld>(event);
          }) != server_refused);
}

TEST_CASE("a caller that disconnects is reported, and the server's connection is closed") {
    fixture test;
    test.send_caller_request();
    test.caller->reset();
    test.server->connection(0).wait_for_close();
    REQUIRE(std::holds_alternative<routing::caller_left>(test.events.back()));
    REQUIRE(std::get<routing::caller_left>(test.events.back()).cause == "closed_by_caller");
}

// Guards against a request that is not recognized when it comes again under another id, and against others taken for
// it.
TEST_CASE("requests have the same fingerprint if they differ in their ids only") {
    fixture test;
    const auto fingerprint = [&test](const std::string& text) {
        test.events.clear();
        raw_socket caller(test.port);
        caller.send(text);
        const routing::request_arrived* arrived = nullptr;
        test::run_until([&] {
            for (const auto& event : test.events) {
                arrived = std::holds_alternative<routing::request_arrived>(event)
                              ? &std::get<routing::request_arrived>(event)
                              : arrived;
            }
            return arrived != nullptr;
        });
        return arrived->fingerprint;
    };
    const std::string id = "Lovagetack-Request-Id: ";
    const auto first = fingerprint("POST /a HTTP/1.1\r\nHost: h\r\n" + id + "1\r\nContent-Length: 2\r\n\r\nxy");
    REQUIRE(first != 0);
    const std::string chunked = "\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n1\r\ny\r\n0\r\n\r\n";
    CHECK(fingerprint("POST /a HTTP/1.1\r\nHost: h\r\n" + id + "2" + chunked) == first);
    CHECK(fingerprint("POST /a HTTP/1.1\r\nHost: h\r\n" + id + "1\r\nContent-Length: 2\r\n\r\nyx") != first);
    CHECK(fingerprint("POST /b HTTP/1.1\r\nHost: h\r\n" + id + "1\r\nContent-Length: 2\r\n\r\nxy") != first);
    CHECK(fingerprint("PUT /a HTTP/1.1\r\nHost: h\r\n" + id + "1\r\nContent-Length: 2\r\n\r\nxy") != first);
    CHECK(fingerprint("POST /a HTTP/1.1\r\nHost: h\r\nLovagetack-Shard-Key: 5\r\n" + id +
                      "1\r\nContent-Length: 2\r\n\r\nxy") != first);
}

// Guards against a server that only dropped a connection and counts as ended.
TEST_CASE("a probe tells a server that lives from one that has ended") {
    fixture test;
    const model::address address{"127.0.0.1", test.server->port()};
    const auto probe = [&] {
        const auto before = test.events.size();
        test.relay->execute(routing::probe_server{model::backend_server_id("i-1"), address});
        test::run_until([&] { return test.events.size() > before; });
        test::settle();
        return std::get<routing::server_probed>(test.events[before]).outcome;
    };
    CHECK(probe() == routing::probe_outcome::connected);
    test.server->stop_listening();
    // The connection of the first probe is still open, so the server has not ended.
    CHECK(probe() == routing::probe_outcome::unanswered);
    test.server->connection(0).close();
    test::settle();
    CHECK(probe() == routing::probe_outcome::refused);
}

TEST_CASE("a grant names the expected server, and status 421 of another server at its address counts as refused") {
    test::ensure_application();
    test::raw_listener server;
    std::vector<routing::event> events;
    operators_platform::grants grants([&events](const routing::event& event) { events.push_back(event); });
    grants.execute(routing::grant_range{model::service_id("s"),
                                        model::backend_server_id("i-7"),
                                        {"127.0.0.1", server.port()},
                                        0,
                                        9,
                                        5,
                                        std::chrono::milliseconds(2400),
                                        ""});
    server.connection(0).wait_for("hold_ms");
    REQUIRE(server.connection(0).received().find("Lovagetack-Expected-Instance: i-7\r\n") != std::string::npos);
    server.connection(0).send("HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n");
    test::run_until([&events] { return !events.empty(); });
    REQUIRE(std::get<routing::grant_ended>(events.front()).outcome == routing::grant_outcome::refused);
}

TEST_CASE("a load message is decoded as it was encoded") {
    routing::instance_load load;
    load.instance = model::instance_id("one");
    load.incarnation = 77;
    load.sequence = 5;
    load.is_keeper = true;
    load.servers = {{model::backend_server_id("i-1"), 3, 2, routing::reported_load{1, 2, 3, 150},
                     std::chrono::milliseconds(9), 4, std::chrono::microseconds(1500), 1789,
                     std::chrono::milliseconds(70)}};
    load.keys = {{model::service_id("s"), {1, 65535}}};
    const auto event = load_exchange::decode(QByteArray::fromStdString(load_exchange::encode(load)));
    REQUIRE(event);
    const auto& decoded = std::get<routing::instance_load>(event.value());
    REQUIRE(decoded.instance == load.instance);
    REQUIRE(decoded.is_keeper);
    REQUIRE(decoded.servers.front().load->slowness == 150);
    REQUIRE(decoded.servers.front().load_age == std::chrono::milliseconds(9));
    REQUIRE(decoded.servers.front().observations == 4);
    REQUIRE(decoded.servers.front().leaving_born == 1789);
    REQUIRE(decoded.servers.front().leaving_age == std::chrono::milliseconds(70));
    REQUIRE(decoded.servers.front().observed == std::chrono::microseconds(1500));
    REQUIRE(decoded.keys.front().keys.back() == 65535);
    REQUIRE_FALSE(load_exchange::decode("not a message"));
}

TEST_CASE("a change of a table is decoded as it was encoded, also if its values are long") {
    const std::string long_value(300000, 'x');
    const routing::table_change change{
        routing::followed_table::registry, 40, 42, {{"i-1", 41, false, long_value}, {"i-2", 42, true, ""}}};
    const auto bytes = load_exchange::encode(routing::table_change_received{model::instance_id("one"), change});
    REQUIRE(bytes.size() < 10000);
    const auto event = load_exchange::decode(QByteArray::fromStdString(bytes));
    REQUIRE(event);
    const auto& decoded = std::get<routing::table_change_received>(event.value());
    REQUIRE(decoded.sender == model::instance_id("one"));
    REQUIRE(decoded.change == change);
}

TEST_CASE("messages about slots and renewals are decoded as they were encoded") {
    const auto decode = [](const std::string& bytes) {
        return load_exchange::decode(QByteArray::fromStdString(bytes)).value();
    };
    routing::slot_release release{model::instance_id("one"), 77, 5, model::backend_server_id("i-1"), std::nullopt};
    REQUIRE_FALSE(std::get<routing::slot_release>(decode(load_exchange::encode(release))).attempt);
    release.attempt = {routing::attempt_outcome::cut_short,
                       503,
                       std::chrono::milliseconds(70),
                       routing::reported_load{1, 2, 3, 150},
                       {true, std::chrono::milliseconds(3000), {}},
                       9};
    const auto released = std::get<routing::slot_release>(decode(load_exchange::encode(release)));
    REQUIRE(released.attempt->outcome == routing::attempt_outcome::cut_short);
    REQUIRE(released.attempt->elapsed == std::chrono::milliseconds(70));
    REQUIRE(released.attempt->load->slowness == 150);
    REQUIRE(released.attempt->signals.leaving);
    REQUIRE(released.attempt->signals.pause == std::chrono::milliseconds(3000));
    REQUIRE(released.attempt->server_born == 9);
    const routing::slot_answer answer{
        model::instance_id("two"), 5, routing::slot_outcome::queued, {}, std::chrono::milliseconds(30)};
    REQUIRE(std::get<routing::slot_answer>(decode(load_exchange::encode(answer))).outcome ==
            routing::slot_outcome::queued);
    routing::renewal_report report;
    report.renewer = model::instance_id("one");
    report.reported_at = base::boot_time(std::chrono::microseconds(123456789));
    routing::renewal_status status;
    status.order = {model::service_id("s"), model::backend_server_id("i-1"), 9, 256, 511, 12};
    status.sent = std::chrono::milliseconds(0);
    report.renewals = {status};
    const auto reported = std::get<routing::renewal_report>(decode(load_exchange::encode(report)));
    REQUIRE(reported.reported_at == report.reported_at);
    REQUIRE(reported.renewals.front().order == status.order);
    REQUIRE(reported.renewals.front().sent);
    REQUIRE_FALSE(reported.renewals.front().accepted);
}

TEST_CASE("messages about allowances are decoded as they were encoded") {
    const auto again = [](const routing::allowance_message& message) {
        const auto bytes = load_exchange::encode(message);
        const auto event = load_exchange::decode(QByteArray(bytes.data(), static_cast<qsizetype>(bytes.size())));
        return std::get<routing::allowance_message_received>(event.value()).message;
    };
    const model::instance_id one("one");
    const base::boot_time time(std::chrono::microseconds(123456789));
    const auto roles = std::get<routing::counter_roles>(
        again(routing::counter_roles{one, 9, 8, 3, {{2, 7, one, ~0ULL}}, 5, time, std::chrono::milliseconds(6000)}));
    CHECK(roles.keeper == one);
    CHECK(std::pair(roles.term, roles.sequence) == std::pair(std::uint64_t(9), std::uint64_t(8)));
    CHECK(roles.slices == 3);
    CHECK(roles.roles == std::vector<routing::counter_role>{{2, 7, one, ~0ULL}});
    CHECK(roles.receiver_incarnation == 5);
    CHECK(roles.reported_at == time);
    CHECK(roles.valid_for == std::chrono::milliseconds(6000));
    const auto report = std::get<routing::counter_report>(again(routing::counter_report{one, 6, time, true}));
    CHECK(report.counter == one);
    CHECK(report.incarnation == 6);
    CHECK(report.reported_at == time);
    CHECK(report.ended);
    const model::client_account_id acme("acme");
    const auto request = std::get<routing::token_request>(again(routing::token_request{one, 6, 11, 2, acme, 4}));
    CHECK(request.sender == one);
    CHECK(request.incarnation == 6);
    CHECK(request.ask == 11);
    CHECK(request.slice == 2);
    CHECK(request.account == acme);
    CHECK(request.count == 4);
    const auto answer =
        std::get<routing::token_answer>(again(routing::token_answer{11, 6, false, 3, std::chrono::milliseconds(250)}));
    CHECK(answer.ask == 11);
    CHECK(answer.incarnation == 6);
    CHECK_FALSE(answer.counts);
    CHECK(answer.granted == 3);
    CHECK(answer.wait == std::chrono::milliseconds(250));
}

TEST_CASE("strikes and objections are decoded as they were encoded") {
    const auto decode = [](const std::string& bytes) {
        return load_exchange::decode(QByteArray::fromStdString(bytes)).value();
    };
    const routing::request_strike strike{~0ULL, "host/get/1", model::backend_server_id("i-1"), 9};
    const auto struck = std::get<routing::request_strike>(decode(load_exchange::encode(strike)));
    REQUIRE(struck.request == strike.request);
    REQUIRE(struck.target == strike.target);
    REQUIRE(struck.server == strike.server);
    REQUIRE(struck.server_born == 9);
    const routing::quarantine_objection objection{7, std::chrono::milliseconds(30)};
    const auto objected = std::get<routing::quarantine_objection>(decode(load_exchange::encode(objection)));
    REQUIRE(objected.request == 7);
    REQUIRE(objected.age == objection.age);
}

TEST_CASE("a heartbeat tells the ages of copies, and one of a former build that they are current") {
    routing::reader_heartbeat heartbeat;
    heartbeat.instance = model::instance_id("one");
    heartbeat.tables = {4, 9, 2};
    heartbeat.table_ages = {std::chrono::milliseconds(40), std::chrono::milliseconds(0), std::chrono::hours(500)};
    const auto received = [](const std::string& bytes) {
        return std::get<routing::reader_heartbeat>(load_exchange::decode(QByteArray::fromStdString(bytes)).value());
    };
    const auto decoded = received(load_exchange::encode(heartbeat));
    REQUIRE(decoded.tables == heartbeat.tables);
    REQUIRE(decoded.table_ages[0] == heartbeat.table_ages[0]);
    REQUIRE(decoded.table_ages[1] == heartbeat.table_ages[1]);
    REQUIRE(decoded.table_ages[2] == std::chrono::hours(1));

    wire::GatewayMessage former;
    REQUIRE(former.ParseFromString(load_exchange::encode(heartbeat)));
    former.mutable_heartbeat()->clear_table_ages_ms();
    REQUIRE(received(former.SerializeAsString()).table_ages == routing::reader_heartbeat().table_ages);
}

TEST_CASE("a change of an assignment is decoded as it was encoded") {
    routing::key_range range{256, 511, model::backend_server_id("i-2"), 9, 12, model::backend_server_id("i-1"), 8, 11};
    const routing::assignment_changed change{model::service_id("s"), 40, 42, 13, model::instance_id("one"), {range}};
    const auto event = load_exchange::decode(QByteArray::fromStdString(load_exchange::encode(change)));
    REQUIRE(event);
    const auto& decoded = std::get<routing::assignment_changed>(event.value());
    REQUIRE(decoded.service == change.service);
    REQUIRE(decoded.base_version == 40);
    REQUIRE(decoded.version == 42);
    REQUIRE(decoded.next_fence == 13);
    REQUIRE(decoded.keeper == change.keeper);
    REQUIRE(decoded.ranges == change.ranges);
}

} // namespace lovagetack::gateway
