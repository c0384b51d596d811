#include <catch2/catch.hpp>

#include "service/executor_harness.hpp"

namespace lovagetack {
namespace {

using test::executor_harness;
using test::raw_listener;
using test::raw_socket;

// Guards against altering a request or an answer, and against missing or duplicate header fields.
TEST_CASE("a small request and its answer are forwarded unchanged") {
    raw_listener backend;
    executor_harness harness;
    harness.route_all_to(backend.port());
    raw_socket caller(harness.port());
    caller.send("POST /hidestock/key%201/take?n=2 HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\nConnection: x-hop\r\n"
                "X-Hop: 1\r\nX-End: 2\r\nlovagetack-deadline-ms: 900\r\nlovagetack-fence: 9.9\r\n\r\nbody");
    auto& connection = backend.connection(0);
    connection.wait_for("body");
    const auto& request = connection.received();
    CHECK(request.rfind("POST /hidestock/key%201/take?n=2 HTTP/1.1\r\n", 0) == 0);
    CHECK(request.find("lovagetack-key: key 1\r\n") != std::string::npos);
    CHECK(request.find("lovagetack-fence: 3.9\r\n") != std::string::npos);
    CHECK(request.find("lovagetack-deadline-ms: 1500\r\n") != std::string::npos);
    CHECK(request.find("lovagetack-request-id: arusha-1-42-1\r\n") != std::string::npos);
    CHECK(request.find("X-End: 2\r\n") != std::string::npos);
    CHECK(request.find("X-Hop") == std::string::npos);
    CHECK(test::count_of(request, "content-length: 4\r\n") == 1);
    CHECK(test::count_of(request, "lovagetack-fence") == 1);

    connection.send("HTTP/1.1 201 Created\r\nContent-Length: 6\r\nX-Answer: 1\r\nKeep-Alive: timeout=5\r\n\r\nanswer");
    caller.wait_for("answer");
    // The time is that of this connection, not the backend server's.
    CHECK(caller.received() ==
          "HTTP/1.1 201 Created\r\nX-Answer: 1\r\ncontent-length: 6\r\nkeep-alive: timeout=20\r\n\r\nanswer");

    const auto seen = harness.wait_for<requests::caller_request>();
    CHECK(seen.key == "key 1");
    CHECK(seen.service == model::service_id("hidestock"));
    CHECK(seen.deadline == std::chrono::milliseconds(900));
    CHECK_FALSE(seen.idempotent);
    CHECK(seen.body_bytes == 4);
    const auto ended = harness.wait_for<requests::attempt_ended>();
    CHECK(ended.outcome == requests::attempt_outcome::completed);
    CHECK(ended.status == 201);
    CHECK(harness.all<requests::attempt_sending>().size() == 1);
    CHECK(harness.all<requests::attempt_answering>().size() == 1);
    CHECK(harness.executor->open_exchanges() == 0);
}

// Guards against error answers that callers or relaying instances cannot read.
TEST_CASE("an answer made here has the outcome, the code and the time to retry") {
    executor_harness harness;
    raw_socket caller(harness.port());
    caller.send("GET /maps/a HTTP/1.1\r\nHost: x\r\n\r\n");
    requests::answer_caller effect;
    effect.exchange = harness.wait_for<requests::caller_request>().exchange;
    effect.status = 503;
    effect.code = static_cast<std::int32_t>(base::result_code::request_queue_full);
    effect.outcome = requests::outcome::not_run;
    effect.retry_after = std::chrono::milliseconds(1200);
    effect.message = "the \"queue\" is full";
    harness.executor->execute(effect);
    caller.wait_for("}");
    const auto& answer = caller.received();
    CHECK(answer.rfind("HTTP/1.1 503 Service Unavailable\r\n", 0) == 0);
    CHECK(answer.find("lovagetack-outcome: not-run\r\n") != std::string::npos);
    CHECK(answer.find("lovagetack-code: 2008\r\n") != std::string::npos);
    CHECK(answer.find("retry-after: 2\r\n") != std::string::npos);
    CHECK(answer.find(R"({"code":2008,"name":"request_queue_full","message":"the \"queue\" is full"})") !=
          std::string::npos);
}

} // namespace
} // namespace lovagetack
