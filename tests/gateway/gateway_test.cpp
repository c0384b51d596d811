#include <catch2/catch.hpp>

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "dialect.hpp"
#include "gateway/gateway.hpp"
#include "http/sockets.hpp"
#include "routing/samples.hpp"

namespace lovagetack::gateway {
namespace {

using test::raw_socket;

/// A store whose rows the test reports as events.
class fake_store final : public store_port {
public:
    void start(const routing::instance_record& /*own_record*/) override {}
    void execute(const routing::read_lease& /*effect*/) override {}
    void execute(const routing::read_assignments& /*effect*/) override {}
    void execute(const routing::refresh_assignments& /*effect*/) override {}
    void execute(const routing::write_rows& /*effect*/) override {}
    void execute(const routing::write_quarantine& /*effect*/) override {}
    void execute(const routing::lift_quarantine& /*effect*/) override {}
    void execute(const routing::follow_store& /*effect*/) override {}
    void execute(const routing::apply_table_change& /*effect*/) override {}
    void execute(const routing::catch_up& /*effect*/) override {}
    std::optional<std::vector<routing::table_change>> changes_after(routing::followed_table /*table*/,
                                                                    std::uint64_t /*version*/) override {
        return std::nullopt;
    }
    const store_counters& counters() const override { return counters_; }

private:
    store_counters counters_;
};

class fake_grants final : public grant_port {
public:
    void execute(const routing::grant_range& /*effect*/) override {}
    void execute(const routing::release_range& /*effect*/) override {}
    void check_times() override {}
};

/// An instance with a service that has one backend server, and a service divided by key whose keys are moving. The test
/// acts as callers and backend server on raw sockets.
struct fixture {
    explicit fixture(std::chrono::milliseconds grace,
                     std::chrono::milliseconds route_timeout = std::chrono::seconds(20)) {
        test::ensure_application();
        settings settings;
        settings.instance = model::instance_id("one");
        settings.data_centre = model::data_centre_id("north");
        settings.callers = {"127.0.0.1", port = test::unused_port()};
        settings.readiness = {"127.0.0.1", readiness_port = test::unused_port()};
        settings.metrics_port = metrics_port = test::unused_port();
        settings.grace = grace;
        platform_adapters adapters;
        adapters.dialect = std::make_unique<operators_platform::dialect>();
        adapters.make_store = [this](event_handler handler) {
            report = std::move(handler);
            return std::make_unique<fake_store>();
        };
        adapters.make_grants = [](const event_handler&) { return std::make_unique<fake_grants>(); };
        auto created = gateway::create(settings, std::move(adapters));
        REQUIRE(created);
        instance = std::move(created.value());
        report_rows(route_timeout);
    }

    void report_rows(std::chrono::milliseconds route_timeout) const {
        const model::service_id unkeyed("book");
        const model::service_id keyed("board");
        routing::configuration configuration;
        configuration.version = 1;
        configuration.services[unkeyed] = {unkeyed, "/health", 100, 6.0, std::chrono::seconds(3), false};
        configuration.services[keyed] = {keyed, "/health", 100, 6.0, std::chrono::seconds(3), true};
        configuration.routes = {
            routing::testing::route_to("/pay/", routing::request_kind::non_idempotent, unkeyed),
            routing::testing::route_to("/look/", routing::request_kind::idempotent, keyed),
        };
        for (auto& route : configuration.routes) {
            route.timeout = route_timeout;
            route.latency_objective = route_timeout;
        }
        report(routing::configuration_updated{configuration});
        auto registration = routing::testing::server_of("book-0", unkeyed);
        registration.address = {"127.0.0.1", server.port()};
        report(routing::backend_server_updated{registration});
        report(routing::registry_complete{});
        routing::key_range moving;
        moving.last = routing::key_count - 1;
        moving.owner = model::backend_server_id("board-0");
        moving.leaving = model::backend_server_id("board-1");
        moving.fence = 1;
        report(routing::assignment_learned{keyed, 1, {2, {}, {moving}}});
        report(routing::assignments_complete{});
    }

    std::unique_ptr<raw_socket> request(const std::string& path) const {
        auto caller = std::make_unique<raw_socket>(port);
        caller->send("GET " + path + " HTTP/1.1\r\nHost: host\r\nLovagetack-Request-Id: abc\r\n" +
                     "Lovagetack-Shard-Key: 7\r\n\r\n");
        return caller;
    }

    test::raw_listener server;
    event_handler report;
    std::unique_ptr<gateway> instance;
    std::uint16_t port = 0;
    std::uint16_t readiness_port = 0;
    std::uint16_t metrics_port = 0;
};

/// Waits until the next explanation is made.
void pass_period() {
    const auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(600);
    test::run_until([end] { return std::chrono::steady_clock::now() > end; });
}

/// The answer to a request of the operators with the key 7.
std::string read_page(std::uint16_t port, const std::string& target) {
    raw_socket caller(port);
    caller.send("GET " + target + " HTTP/1.1\r\nHost: host\r\nLovagetack-Shard-Key: 7\r\nConnection: close\r\n\r\n");
    caller.wait_for_close();
    return caller.received();
}

} // namespace

// Guards against requests that are cut off at the end of the grace period, so that their callers know nothing of their
// outcome.
TEST_CASE("requests that are open at the end of the grace period are answered before the process ends") {
    fixture test(std::chrono::milliseconds(1400));
    const auto sent = test.request("/pay/1");
    test.server.connection(0).wait_for("\r\n\r\n");
    const auto unsent = test.request("/look/1");
    test::settle();
    bool stopped = false;
    test.instance->shut_down([&stopped] { stopped = true; });
    test::run_until([&stopped] { return stopped; });
    test.instance.reset();
    unsent->wait_for_close();
    CHECK(unsent->received().find("HTTP/1.1 503 ") == 0);
    CHECK(unsent->received().find("Retry-After: ") != std::string::npos);
    sent->wait_for_close();
    CHECK(sent->received().find("HTTP/1.1 502 ") == 0);
    CHECK(sent->received().find("Retry-After: ") == std::string::npos);
}

// Guards against callers that wait without end for the rest of an answer whose connection has gone silent.
TEST_CASE("an answer that stops midway is broken off at the route's timeout") {
    constexpr auto route_timeout = std::chrono::milliseconds(1000);
    fixture test(std::chrono::seconds(6), route_timeout);
    const auto framing = GENERATE(std::string("Content-Length: 90000\r\n"),
                                  std::string("Transfer-Encoding: chunked\r\n"), std::string("Connection: close\r\n"));
    const bool chunked = framing.find("chunked") != std::string::npos;
    const auto caller = test.request("/pay/1");
    const auto begun_at = std::chrono::steady_clock::now();
    auto& server = test.server.connection(0);
    server.wait_for("\r\n\r\n");
    server.send("HTTP/1.1 200 OK\r\nLovagetack-Request-Id: abc\r\nLovagetack-Response-Signature: s\r\n" + framing +
                "\r\n" + (chunked ? "c350\r\n" : "") + std::string(50000, 'x') + (chunked ? "\r\n" : ""));
    caller->wait_for("xxxx");
    caller->wait_for_close();
    const auto waited = std::chrono::steady_clock::now() - begun_at;
    CHECK(waited > route_timeout - std::chrono::milliseconds(50));
    CHECK(waited < route_timeout + std::chrono::milliseconds(500));
    CHECK(caller->received().find("\r\n0\r\n") == std::string::npos);
    server.wait_for_close();
}

TEST_CASE("an instance explains at the metrics port alone where a request would go, and sends nothing") {
    fixture test(std::chrono::seconds(6));
    const auto sent = read_page(test.metrics_port, "/explain/pay/1");
    CHECK(sent.find("HTTP/1.1 200 ") == 0);
    CHECK(sent.find("\"decision\": \"sent\"") != std::string::npos);
    CHECK(sent.find("\"server\": \"book-0\"") != std::string::npos);
    pass_period();
    const auto waiting = read_page(test.metrics_port, "/explain/look/1");
    CHECK(waiting.find("\"decision\": \"waits_for_owner\"") != std::string::npos);
    CHECK(waiting.find("\"moving_from\": \"board-1\"") != std::string::npos);
    pass_period();
    const auto slot = read_page(test.metrics_port, "/explain-slot?sender=one&service=book&data_centre=north&group=0"
                                                   "&server=&priority=0&age_ms=0&patience_ms=200");
    CHECK(slot.find("\"decision\": \"granted\"") != std::string::npos);
    CHECK(read_page(test.metrics_port, "/explain-slot?service=book&group=x").find("HTTP/1.1 400 ") == 0);
    CHECK(read_page(test.metrics_port, "/explainer").find("HTTP/1.1 404 ") == 0);
    CHECK(read_page(test.readiness_port, "/explain/pay/1").find("HTTP/1.1 404 ") == 0);
    const auto metrics = read_page(test.metrics_port, "/metrics");
    CHECK(metrics.find("lovagetack_explanations_total 3") != std::string::npos);
    CHECK(metrics.find("lovagetack_requests_open 0") != std::string::npos);
    CHECK(test.server.connections() == 0);
}

} // namespace lovagetack::gateway
