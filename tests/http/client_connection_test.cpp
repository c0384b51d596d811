#include <catch2/catch.hpp>

#include <optional>
#include <string>

#include "http/call.hpp"
#include "http/connection_pool.hpp"
#include "sockets.hpp"

namespace lovagetack::http {
namespace {

std::string repeated(const std::string& text, int times) {
    std::string result;
    for (int count = 0; count < times; ++count) {
        result += text;
    }
    return result;
}

/// The result of a call whose server sends these bytes and leaves the connection open.
call_result answered_with(const std::string& bytes, bool closes, bool& connection_ended) {
    test::ensure_application();
    test::raw_listener server;
    connection_pool pool({"127.0.0.1", server.port()}, 1);
    std::optional<call_result> result;
    call item(pool, "GET / HTTP/1.1\r\nHost: h\r\n\r\n", std::chrono::seconds(20),
              [&](const call_result& received) { result = received; });
    item.begin();
    auto& connection = server.connection(0);
    connection.wait_for("\r\n\r\n");
    connection.send(bytes);
    if (closes) {
        connection.close();
    }
    test::run_until([&] { return result.has_value(); });
    test::settle();
    connection_ended = connection.is_closed();
    return *result;
}

} // namespace

// Guards against a caller that waits for an answer which never comes, and against a status that no caller understands.
// The call's own time limit would also end it, after 20 s and with the same result, so the time is checked.
TEST_CASE("an answer whose status is none is no answer, and its connection ends") {
    const auto status = GENERATE("000", "001", "099", "600", "999", "-20", "+20", "20", "2000", "0", "20x", "101");
    INFO(status);
    bool ended = false;
    const auto begun = std::chrono::steady_clock::now();
    const auto result =
        answered_with("HTTP/1.1 " + std::string(status) + " Odd\r\nContent-Length: 2\r\n\r\nok", false, ended);
    CHECK(result.status == 0);
    CHECK(ended);
    CHECK(std::chrono::steady_clock::now() - begun < std::chrono::seconds(15));
}

TEST_CASE("interim answers are bounded in number, and a few of them are skipped") {
    const std::string interim = "HTTP/1.1 103 Early Hints\r\n\r\n";
    const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    bool ended = false;
    CHECK(answered_with(repeated(interim, 3) + answer, false, ended).status == 200);
    CHECK_FALSE(ended);
    CHECK(answered_with(repeated(interim, 100) + answer, false, ended).status == 0);
    CHECK(ended);
}

TEST_CASE("an answer whose header ends early is no answer") {
    const auto head =
        GENERATE("HTTP/1.1", "HTTP/1.1 200", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n",
                 "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r");
    bool ended = false;
    CHECK(answered_with(head, true, ended).status == 0);
}

} // namespace lovagetack::http
