#include <catch2/catch.hpp>

#include <optional>
#include <string>

#include "dialect.hpp"
#include "gateway/relay.hpp"
#include "http/sockets.hpp"

namespace lovagetack::gateway {

// Guards against a caller that gets a status which is none, or waits for its deadline because of one.
TEST_CASE("an answer of a backend server whose status is none has an unknown outcome and is not passed on") {
    const auto status = GENERATE("000", "001", "099", "600", "999");
    INFO(status);
    test::ensure_application();
    test::raw_listener server;
    operators_platform::dialect dialect;
    routing::exchange_id exchange = 0;
    std::optional<routing::attempt_outcome> outcome;
    gateway::relay relay(
        dialect,
        [&](const routing::event& event) {
            if (const auto* const arrived = std::get_if<routing::request_arrived>(&event)) {
                exchange = arrived->exchange;
            }
            if (const auto* const ended = std::get_if<routing::attempt_ended>(&event)) {
                outcome = ended->outcome;
            }
        },
        64);
    const auto port = test::unused_port();
    REQUIRE(relay.listen({"127.0.0.1", port}));
    test::raw_socket caller(port);
    caller.send("GET /look/1 HTTP/1.1\r\nHost: h\r\nLovagetack-Request-Id: abc\r\n\r\n");
    test::run_until([&] { return exchange != 0; });
    relay.execute(routing::send_request{exchange,
                                        model::attempt_id(1),
                                        model::backend_server_id("i-1"),
                                        {"127.0.0.1", server.port()},
                                        std::chrono::seconds(60)});
    auto& connection = server.connection(0);
    connection.wait_for("\r\n\r\n");
    connection.send("HTTP/1.1 " + std::string(status) +
                    " Odd\r\nLovagetack-Request-Id: abc\r\nLovagetack-Response-Signature: s\r\n"
                    "Content-Length: 2\r\n\r\nok");
    test::run_until([&] { return outcome.has_value(); });
    CHECK(*outcome == routing::attempt_outcome::invalid_answer);
    CHECK(caller.received().empty());
    connection.wait_for_close();
}

} // namespace lovagetack::gateway
