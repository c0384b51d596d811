#include <chrono>
#include <iostream>
#include <memory>
#include <tuple>

#include <QHostAddress>
#include <QJsonArray>
#include <QJsonObject>
#include <QTcpSocket>

#include "measure/deployment.hpp"
#include "measure/experiments.hpp"
#include "measure/load_run.hpp"
#include "measure/page.hpp"
#include "measure/plot.hpp"
#include "measure/statistics.hpp"

namespace lovagetack::measure {

namespace {

using namespace std::chrono_literals;

constexpr int runs = 3;
constexpr int first_connections = 1000;
constexpr int all_connections = 3000;
constexpr double target_milliseconds = 13;

/// One way to the backend servers.
struct route {
    std::string name;
    std::vector<std::string> targets;
    /// Instances that a request passes.
    std::vector<const running_instance*> instances;
    /// Connections per target, so that all routes have the same number in all.
    int connections = 0;

    samples throughput;
    samples p50;
    samples p99;
    samples p999;
    /// Of all instances on the route.
    samples processor_microseconds;
    samples ratio_p50;
    samples ratio_p99;
    samples ratio_throughput;
};

double processor_seconds(const route& way) {
    double sum = 0;
    for (const auto* instance : way.instances) {
        sum += read_metrics(*instance).at("lovagetack_processor_seconds_total");
    }
    return sum;
}

/// Closed loop with 12 connections: throughput and processor time per request.
void measure_throughput(route& way, const deployment& deployed) {
    const double before = processor_seconds(way);
    const auto result = run_load(way.targets,
                                 {"--keys", "2000", "--connections", std::to_string(way.connections), "--warm-up",
                                  "1ms", "--duration", "2500ms"},
                                 deployed);
    way.throughput.push_back(result.value("throughput").toDouble());
    way.processor_microseconds.push_back(1e6 * (processor_seconds(way) - before) /
                                         result.value("succeeded").toDouble(1));
}

/// Planned send times at a rate far below the limit: latency.
void measure_latency(route& way, const deployment& deployed) {
    const auto result = run_load(
        way.targets,
        {"--keys", "2000", "--rate", "500", "--connections", "64", "--warm-up", "200ms", "--duration", "3s"}, deployed);
    way.p50.push_back(result.value("p50_ms").toDouble());
    way.p99.push_back(result.value("p99_ms").toDouble());
    way.p999.push_back(result.value("p999_ms").toDouble());
}

void note_ratios(route& way, const route& direct) {
    way.ratio_p50.push_back(way.p50.back() / direct.p50.back());
    way.ratio_p99.push_back(way.p99.back() / direct.p99.back());
    way.ratio_throughput.push_back(way.throughput.back() / direct.throughput.back());
}

deployment_plan plan_of_path() {
    deployment_plan plan;
    plan.name = "path";
    plan.instances = 2;
    plan.data_centres = 2;
    plan.data_centres_with_servers = 1;
    plan.backend_servers = 12;
    plan.servers_per_process = 3;
    plan.initial_ranges = 64;
    plan.checks_grants = false;
    plan.backend_settings = R"({"service_time_ms":1})";
    plan.starts_warm = true;
    return plan;
}

std::vector<route> routes_of(deployment& deployed) {
    std::vector<std::string> servers;
    for (const auto& server : deployed.servers()) {
        servers.push_back(server.address);
    }
    const auto& home = deployed.instances().at(0);
    const auto& relay = deployed.instances().at(1);
    return {{"directly to the backend servers", servers, {}, 1},
            {"through the home instance", {home.callers}, {&home}, 12},
            {"through an instance that relays", {relay.callers}, {&home, &relay}, 12}};
}

/// Idle connections of callers that have each had one answer.
void open_connections(std::vector<std::unique_ptr<QTcpSocket>>& sockets, int count, const std::string& address) {
    const auto colon = address.rfind(':');
    const auto port = static_cast<quint16>(std::stoi(address.substr(colon + 1)));
    while (sockets.size() < static_cast<std::size_t>(count)) {
        auto socket = std::make_unique<QTcpSocket>();
        socket->connectToHost(QHostAddress::LocalHost, port);
        socket->waitForConnected(5000);
        socket->write("GET /board/key-1 HTTP/1.1\r\nHost: load\r\n\r\n");
        socket->waitForReadyRead(5000);
        socket->readAll();
        sockets.push_back(std::move(socket));
    }
}

std::string measure_memory(const deployment& deployed, const running_instance& instance) {
    std::vector<std::unique_ptr<QTcpSocket>> sockets;
    const auto resident = [&] { return read_metrics(instance).at("lovagetack_resident_bytes"); };
    const double idle = resident();
    open_connections(sockets, first_connections, instance.callers);
    const double first = resident();
    open_connections(sockets, all_connections, instance.callers);
    const double all = resident();
    int open = 0;
    for (const auto& socket : sockets) {
        open += socket->state() == QAbstractSocket::ConnectedState ? 1 : 0;
    }
    table rows({"connections of callers", "resident, MB"});
    rows.add({"0 (after the load above)", number_text(idle / 1e6, 1)});
    rows.add({"1,000", number_text(first / 1e6, 1)});
    rows.add({"3,000", number_text(all / 1e6, 1)});
    return "Idle connections, each after one answer, at the home instance (" + std::to_string(open) +
           " open at the end, " + std::to_string(deployed.plan().backend_servers) + " backend servers); one run:\n\n" +
           rows.text() + "\nPer connection between 1,000 and 3,000: " +
           number_text((all - first) / (all_connections - first_connections) / 1e3, 1) + " kB.\n";
}

/// Whether the ramp limits backend servers after all runs, else it and not the path would be measured.
std::string ramp_text(const deployment& deployed) {
    int limited = 0;
    int all = 0;
    const auto list = deployment::status(deployed.instances().front()).value("backend_servers").toArray();
    for (const auto& entry : list) {
        ++all;
        // A ramp without a limit has the rate 0.
        limited += entry.toObject().value("ramp_rate").toInt() > 0 ? 1 : 0;
    }
    return "Backend servers whose rate the ramp still limits at the end: " + std::to_string(limited) + " of " +
           std::to_string(all) + ".\n";
}

void write_page(const std::vector<route>& routes, const std::string& memory) {
    table rows({"route", "throughput, 1/s", "processor, µs per request", "requests per core and s", "p50, ms",
                "p99, ms", "p99.9, ms"});
    table ratios({"compared with directly, in the same run", "throughput", "p50", "p99"});
    plot drawn;
    drawn.title = "Latency at 500 requests/s";
    drawn.x_label = "route (each dot is one run)";
    drawn.y_label = "ms";
    drawn.target = target_milliseconds;
    drawn.target_label = "target 13 ms for 99 in 100";
    drawn.lines = {{"p50", {}, false}, {"p99", {}, false}, {"p99.9", {}, false}};
    for (const auto& way : routes) {
        samples per_core;
        for (const double time : way.processor_microseconds) {
            per_core.push_back(time > 0 ? 1e6 / time : 0);
        }
        const bool direct = way.instances.empty();
        rows.add({way.name, spread_text(way.throughput, 0), direct ? "" : spread_text(way.processor_microseconds, 0),
                  direct ? "" : spread_text(per_core, 0), spread_text(way.p50, 2), spread_text(way.p99, 2),
                  spread_text(way.p999, 2)});
        if (!direct) {
            ratios.add({way.name, spread_text(way.ratio_throughput, 2), spread_text(way.ratio_p50, 2),
                        spread_text(way.ratio_p99, 2)});
        }
        const auto x = static_cast<double>(drawn.categories.size());
        for (std::size_t run = 0; run < way.p50.size(); ++run) {
            drawn.lines[0].points.emplace_back(x, way.p50[run]);
            drawn.lines[1].points.emplace_back(x, way.p99[run]);
            drawn.lines[2].points.emplace_back(x, way.p999[run]);
        }
        drawn.categories.push_back(way.name);
    }
    write_plot("request-path.svg", drawn.svg());
    write_section("request-path", "The request path",
                  "12 backend servers (service time 1 ms, 2 slots, up for 31 s so that they count as warm) without "
                  "checks, in 4 processes; 2,000 keys, GET, an answer of "
                  "about 100 bytes. Throughput: closed loop over 12 connections, 2.5 s, one generator process. "
                  "Latency: `lovagetack load --rate 500`, counted from the planned send time, 3 s. Processor time is "
                  "`lovagetack_processor_seconds_total` of all instances on the route, control included.\n\n" +
                      rows.text() + "\n" + ratios.text() + "\n" + memory + "\n![latency](plots/request-path.svg)\n");
}

} // namespace

void measure_request_path() {
    deployment deployed(plan_of_path());
    auto routes = routes_of(deployed);
    for (const auto& way : routes) {
        std::ignore = run_load(way.targets, {"--keys", "2000", "--duration", "1500ms"}, deployed);
    }
    for (int run = 0; run < runs; ++run) {
        for (auto& way : routes) {
            measure_throughput(way, deployed);
            measure_latency(way, deployed);
            note_ratios(way, routes.front());
            std::cerr << way.name << ": " << way.throughput.back() << "/s, p99 " << way.p99.back() << " ms\n";
        }
    }
    const auto ramps = ramp_text(deployed);
    const auto memory = measure_memory(deployed, deployed.instances().front());
    write_page(routes, ramps + "\n" + memory);
}

} // namespace lovagetack::measure
