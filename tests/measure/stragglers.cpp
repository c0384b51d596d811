#include <iostream>
#include <tuple>

#include "measure/deployment.hpp"
#include "measure/experiments.hpp"
#include "measure/load_run.hpp"
#include "measure/page.hpp"
#include "measure/plot.hpp"
#include "measure/statistics.hpp"

namespace lovagetack::measure {

namespace {

constexpr int runs = 3;

struct way_result {
    std::string name;
    std::vector<std::string> targets;
    int connections = 0;
    samples p50;
    samples p99;
    samples p999;
    samples failed_percent;
};

deployment_plan plan_of_stragglers() {
    deployment_plan plan;
    plan.name = "stragglers";
    plan.instances = 3;
    plan.data_centres = 1;
    plan.divided_by_key = false;
    plan.backend_servers = 10;
    plan.servers_per_process = 5;
    plan.backend_settings = R"({"service_time_ms":4,"distribution":"exponential"})";
    return plan;
}

double count_of(const QJsonObject& statuses, bool succeeded) {
    double sum = 0;
    for (const auto& status : statuses.keys()) {
        sum += (status == "200") == succeeded ? statuses.value(status).toDouble() : 0;
    }
    return sum;
}

void run_once(way_result& way, const deployment& deployed, int rate) {
    const auto result = run_load(way.targets,
                                 {"--keys", "0", "--rate", std::to_string(rate), "--connections",
                                  std::to_string(way.connections), "--warm-up", "1s", "--duration", "4s"},
                                 deployed);
    way.p50.push_back(result.value("p50_ms").toDouble());
    way.p99.push_back(result.value("p99_ms").toDouble());
    way.p999.push_back(result.value("p999_ms").toDouble());
    const auto statuses = result.value("statuses").toObject();
    const double failed = count_of(statuses, false);
    way.failed_percent.push_back(100 * failed / (failed + count_of(statuses, true)));
    std::cerr << way.name << " at " << rate << "/s: p99 " << way.p99.back() << " ms\n";
}

} // namespace

void measure_stragglers() {
    deployment deployed(plan_of_stragglers());
    std::vector<std::string> callers;
    for (const auto& instance : deployed.instances()) {
        callers.push_back(instance.callers);
    }
    std::vector<std::string> servers;
    for (const auto& server : deployed.servers()) {
        servers.push_back(server.address);
    }
    // Every backend server has to be past its ramp, else the ramp is measured.
    std::ignore = run_load(callers, {"--keys", "0", "--rate", "600", "--duration", "4s"}, deployed);
    deployment::control(deployed.servers().front(), R"({"straggler_factor":20})");

    table rows({"way, rate", "p50, ms", "p99, ms", "p99.9, ms", "not answered with 200, %"});
    plot drawn;
    drawn.title = "Latency with one of 10 backend servers 20 times slower";
    drawn.x_label = "way and requests per second (each dot is one run of 4 s)";
    drawn.y_label = "ms";
    drawn.lines = {{"p50", {}, false}, {"p99", {}, false}};
    for (const int rate : {200, 1000}) {
        std::vector<way_result> ways{{"lovagetack", callers, 32}, {"round robin", servers, 32}};
        for (int run = 0; run < runs; ++run) {
            for (auto& way : ways) {
                run_once(way, deployed, rate);
            }
        }
        for (const auto& way : ways) {
            const auto name = way.name + ", " + std::to_string(rate) + "/s";
            rows.add({name, spread_text(way.p50, 1), spread_text(way.p99, 1), spread_text(way.p999, 1),
                      spread_text(way.failed_percent, 2)});
            const auto x = static_cast<double>(drawn.categories.size());
            for (int run = 0; run < runs; ++run) {
                drawn.lines[0].points.emplace_back(x, way.p50[static_cast<std::size_t>(run)]);
                drawn.lines[1].points.emplace_back(x, way.p99[static_cast<std::size_t>(run)]);
            }
            drawn.categories.push_back(name);
        }
    }
    write_plot("stragglers.svg", drawn.svg());
    write_section("stragglers", "Tail latency with a straggler",
                  "A service that is not divided by key with 10 backend servers (service time exponential with mean "
                  "4 ms, 2 slots), one of them 20 times slower (80 ms, at most 25 requests/s); 3 instances. Round "
                  "robin is the load generator's own, directly to the backend servers. Latency counts successful "
                  "answers only, from the planned send time; the ways alternate run by run.\n\n" +
                      rows.text() + "\n![latency](plots/stragglers.svg)\n");
}

} // namespace lovagetack::measure
