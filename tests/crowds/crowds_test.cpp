#include <catch2/catch.hpp>

#include <chrono>
#include <optional>
#include <thread>

#include <QTcpServer>
#include <QTcpSocket>

#include "crowds/crowd.hpp"
#include "crowds/deployment.hpp"

namespace lovagetack::crowds {
namespace {

constexpr std::size_t mebibyte = std::size_t(1024) * 1024;
constexpr std::size_t small_body = 1024;
constexpr std::size_t callers = 24;

std::string head(const std::string& framing) {
    return "POST /orders/2 HTTP/1.1\r\nHost: h\r\nLovagetack-Request-Id: large\r\n"
           "Lovagetack-Deadline-Ms: 20000\r\n" +
           framing + "\r\n\r\n";
}

std::string announced(std::size_t bytes) {
    return head("Content-Length: " + std::to_string(bytes));
}

const std::string chunked = "Transfer-Encoding: chunked";

std::string chunk(std::size_t bytes) {
    constexpr std::size_t large = 0xffff;
    return (bytes == large ? "ffff\r\n" : "1\r\n") + std::string(bytes, 'x') + "\r\n";
}

/// Guards against an instance that grows beyond the memory of its machine, ends, or serves nobody else while the crowd
/// stays connected, and against memory that is not returned to the system afterwards.
void check_crowd(const deployment_limits& limits, std::size_t number, const behaviour& sent) {
    deployment system(limits);
    REQUIRE(system.ask(small_body) == 200);
    const auto before = system.memory("VmRSS");
    std::optional<crowd> crowd;
    crowd.emplace(system.port(), number, sent);
    crowd->send();
    system.wait_until_memory_rests();
    REQUIRE(system.lives());
    CHECK(system.ask(small_body) == 200);
    const auto peak = system.memory("VmHWM");
    const auto descriptors = system.open_descriptors();
    WARN("resident before " << before << " MiB, at the peak " << peak << " MiB; " << descriptors << " descriptors");
    CHECK(peak < static_cast<double>(limits.memory));
    CHECK(descriptors < limits.descriptors);
    crowd.reset();
    CHECK(system.memory_falls_to(static_cast<double>(limits.memory) / 2));
    CHECK(system.lives());
}

} // namespace

TEST_CASE("large bodies sent at once that stop short of their end", "[whole_bodies]") {
    const deployment_limits limits;
    check_crowd(limits, callers,
                {announced(limits.body_bytes), std::string(mebibyte, 'x'), limits.body_bytes - 1, limits.body_bytes});
}

TEST_CASE("large bodies sent piece by piece that stop short of their end", "[bodies_in_pieces]") {
    const deployment_limits limits;
    check_crowd(limits, callers,
                {announced(limits.body_bytes), std::string(mebibyte, 'x'), limits.body_bytes - 1, 16384});
}

TEST_CASE("bodies in large chunks that stop short of their end", "[large_chunks]") {
    const deployment_limits limits;
    check_crowd(limits, callers, {head(chunked), chunk(0xffff), limits.body_bytes - 1, 65536});
}

TEST_CASE("bodies in chunks of one byte that stop short of their end", "[tiny_chunks]") {
    // Each byte of a body takes six on the wire, so smaller limits keep the crowd small.
    deployment_limits limits;
    limits.memory = 52;
    limits.body_bytes = mebibyte;
    check_crowd(limits, 48, {head(chunked), chunk(1), 6 * (limits.body_bytes - 1), 65536});
}

TEST_CASE("bodies announced far over the limit", "[over_limit_announced]") {
    const deployment_limits limits;
    check_crowd(limits, callers,
                {announced(16 * limits.body_bytes), std::string(mebibyte, 'x'), 16 * limits.body_bytes, 65536});
}

TEST_CASE("chunked bodies far over the limit", "[over_limit_sent]") {
    const deployment_limits limits;
    check_crowd(limits, callers, {head(chunked), chunk(0xffff), 16 * limits.body_bytes, 65536});
}

TEST_CASE("a single request of the full legal size is served in calm", "[calm]") {
    const deployment_limits limits;
    deployment system(limits);
    CHECK(system.ask(limits.body_bytes) == 200);
    CHECK(system.memory("VmHWM") < static_cast<double>(limits.memory));
}

// Guards against a caller that gets a status which is none, or waits for its deadline because of one.
TEST_CASE("a backend server that answers with a status that is none", "[odd_status]") {
    const auto status = GENERATE("000", "099", "600", "999");
    INFO(status);
    QTcpServer server;
    REQUIRE(server.listen(QHostAddress::LocalHost));
    QObject::connect(&server, &QTcpServer::newConnection, &server, [&] {
        auto* const socket = server.nextPendingConnection();
        QObject::connect(socket, &QTcpSocket::readyRead, socket, [socket, status] {
            if (socket->readAll().contains("POST /orders/")) {
                socket->write(QByteArray("HTTP/1.1 ") + status +
                              " Odd\r\nLovagetack-Request-Id: ordinary\r\n"
                              "Lovagetack-Response-Signature: s\r\nContent-Length: 0\r\n\r\n");
            }
        });
    });
    deployment system({}, server.serverPort());
    CHECK(system.ask(small_body) == 502);
    CHECK(system.lives());
}

// Guards against a tool that explains something else than what callers meet, or sends what it explains.
TEST_CASE("the command line explains where a request would go", "[explain]") {
    deployment system({});
    const auto explain = [&](const std::string& path) {
        return system.run_tool({"explain", "--path", path, "--host", "h", "--field", "Lovagetack-Deadline-Ms: 5000",
                                "--at", system.metrics_address()});
    };
    const auto [sent, status] = explain("/orders/1");
    CHECK(status == 0);
    CHECK(sent.find("\"decision\": \"sent\"") != std::string::npos);
    CHECK(sent.find("\"server\": \"server-1\"") != std::string::npos);
    // The next explanation is made half a second later.
    std::this_thread::sleep_for(std::chrono::milliseconds(600));
    const auto [unknown, unknown_status] = explain("/none/1");
    CHECK(unknown_status == 0);
    CHECK(unknown.find("\"status\": 404") != std::string::npos);
    CHECK(system.run_tool({"explain", "--path", "orders", "--at", system.metrics_address()}).second == 2);
    CHECK(system.run_tool({"explain", "--path", "/orders/1"}).second == 2);
    CHECK(system.ask(small_body) == 200);
}

} // namespace lovagetack::crowds
