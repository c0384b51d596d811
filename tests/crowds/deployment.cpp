#include "crowds/deployment.hpp"

#include <chrono>
#include <cmath>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <utility>

#include <QCoreApplication>
#include <QJsonDocument>

#include "base/unix_time.hpp"
#include "http/sockets.hpp"
#include "integration/wait_for.hpp"
#include "soak/checked.hpp"

namespace lovagetack::crowds {
namespace {

using soak::checked;

void answer(const stand_ins::exchange_pointer& exchange) {
    const std::string id(exchange->request().header("Lovagetack-Request-Id"));
    stand_ins::http_response response;
    response.headers = {{"Lovagetack-Request-Id", id}, {"Lovagetack-Response-Signature", "signed-" + id}};
    response.body = std::to_string(exchange->request().body.size());
    exchange->answer(response);
}

/// Status of the answer to a request on a connection of its own; 0 if there was none.
int status_of(std::uint16_t port, const std::string& request) {
    test::raw_socket caller(port);
    caller.send(request);
    const auto complete = [&] { return caller.is_closed() || caller.received().find("\r\n\r\n") != std::string::npos; };
    try {
        test::run_until(complete);
    } catch (const std::runtime_error&) {
        return 0;
    }
    const std::string start = "HTTP/1.1 ";
    return caller.received().starts_with(start) ? std::stoi(caller.received().substr(start.size(), 3)) : 0;
}

} // namespace

deployment::deployment(const deployment_limits& limits, std::uint16_t server_port)
    : limits_(limits), store_(1), server_(answer) {
    const auto store_address = checked(store_.listen());
    write_configuration(server_port);
    const auto text = [](const std::string& value) { return QString::fromStdString(value); };
    const QJsonObject settings{
        {"node", "front-1"},
        {"zone", "east"},
        {"listen", QJsonObject{{"front", text(callers_.address())}, {"ready", text(readiness_.address())}}},
        {"internal_ports", QJsonArray{internal_.number(), internal_.number()}},
        {"limits", QJsonObject{{"cpu_share", 1},
                               {"cores", 1},
                               {"memory_mb", static_cast<qint64>(limits.memory)},
                               {"max_fds", static_cast<qint64>(limits.descriptors)}}},
        {"bounds", QJsonObject{{"grace_s", 6}}},
        {"provider", QJsonObject{{"address", text(model::to_text(store_address))}}}};
    const auto file = (folder_.path() / "front-1.json").string();
    std::ofstream(file) << QJsonDocument(settings).toJson().toStdString();
    instance_ = std::make_unique<harness::process>("front-1",
                                                   std::vector<std::string>{LOVAGETACK_PROGRAM, "gateway", "--settings",
                                                                            file, "--metrics-port",
                                                                            std::to_string(metrics_.number())},
                                                   folder_.path());
    harness::wait_for(
        [this] {
            QCoreApplication::processEvents();
            return status_of(readiness_.number(), "GET /v1/ready HTTP/1.1\r\nHost: h\r\n\r\n") == 200;
        },
        "the instance to be ready");
}

void deployment::write_configuration(std::uint16_t server_port) {
    const QJsonObject route{{"name", "orders"},     {"host", "h"},         {"prefix", "/orders/"},
                            {"route_type", "safe"}, {"timeout_ms", 20000}, {"target_latency_ms", 10000},
                            {"priority", 1},        {"max_attempts", 2},   {"service", "orders"}};
    const QJsonObject service{{"name", "orders"},  {"health_path", "/health"}, {"max_conns", 200},
                              {"cold_per_s", 100}, {"cold_period_s", 1.0},     {"sharded", false}};
    const QJsonObject caller_limits{{"max_header_bytes", 16384},
                                    {"max_body_bytes", static_cast<qint64>(limits_.body_bytes)},
                                    {"header_timeout_ms", 3000},
                                    {"idle_timeout_ms", 15000}};
    store_.put("op", "config",
               {{"version", "r1"},
                {"routes", QJsonArray{route}},
                {"services", QJsonArray{service}},
                {"limits", caller_limits}});
    auto address = checked(server_.listen({"127.0.0.1", 0}));
    address.port = server_port == 0 ? address.port : server_port;
    store_.put("servers", "server-1",
               {{"address", QString::fromStdString(model::to_text(address))},
                {"born", static_cast<qint64>(base::unix_time_now().count())},
                {"info", QJsonObject{{"service", "orders"}, {"version", "v1"}, {"zone", "east"}, {"slots", 4}}},
                {"status", QJsonObject{{"state", "ready"}, {"seq", 1}, {"cold_remaining_ms", 0}}}});
}

int deployment::ask(std::size_t body_bytes) const {
    return status_of(callers_.number(), "POST /orders/1 HTTP/1.1\r\nHost: h\r\nLovagetack-Request-Id: ordinary\r\n"
                                        "Lovagetack-Deadline-Ms: 20000\r\nContent-Length: " +
                                            std::to_string(body_bytes) + "\r\n\r\n" + std::string(body_bytes, 'x'));
}

std::pair<std::string, int> deployment::run_tool(const std::vector<std::string>& words) const {
    std::vector<std::string> command{LOVAGETACK_PROGRAM};
    command.insert(command.end(), words.begin(), words.end());
    harness::process tool("tool", command, folder_.path());
    const auto status = tool.wait();
    return {tool.log(), status};
}

double deployment::memory(const std::string& name) const {
    constexpr double kibibytes = 1024;
    std::ifstream status("/proc/" + std::to_string(instance_->id()) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with(name + ":")) {
            return std::stod(line.substr(name.size() + 1)) / kibibytes;
        }
    }
    throw std::runtime_error("no figure " + name + " of the instance");
}

std::size_t deployment::open_descriptors() const {
    const std::filesystem::directory_iterator entries("/proc/" + std::to_string(instance_->id()) + "/fd");
    return static_cast<std::size_t>(std::distance(begin(entries), end(entries)));
}

void deployment::wait_until_memory_rests() const {
    constexpr auto rest_time = std::chrono::seconds(1);
    constexpr double noise = 0.25;
    auto last = memory("VmRSS");
    auto since = std::chrono::steady_clock::now();
    test::run_until([&] {
        const auto now = memory("VmRSS");
        if (std::abs(now - last) > noise) {
            last = now;
            since = std::chrono::steady_clock::now();
        }
        return std::chrono::steady_clock::now() - since > rest_time;
    });
}

bool deployment::memory_falls_to(double most) const {
    try {
        test::run_until([&] { return memory("VmRSS") <= most; });
    } catch (const std::runtime_error&) {
        return false;
    }
    return true;
}

} // namespace lovagetack::crowds
