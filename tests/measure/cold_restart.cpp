#include <chrono>
#include <iostream>
#include <tuple>

#include <QJsonObject>

#include "measure/deployment.hpp"
#include "measure/experiments.hpp"
#include "measure/page.hpp"
#include "measure/plot.hpp"
#include "measure/recorded_load.hpp"
#include "measure/statistics.hpp"

namespace lovagetack::measure {

namespace {

using namespace std::chrono_literals;

constexpr int runs = 3;
constexpr double rate = 900;
constexpr auto restarts_after = 1s;
constexpr auto load_time = 8s;

struct way_result {
    std::string name;
    std::vector<std::string> targets;
    samples overloaded;
    samples failed;
    samples executions;
};

double counter(const running_server& server, const char* name) {
    return get_json(server.address, "/control/counters").value(name).toDouble();
}

/// With the stand-in's default of 200 answers until it is warm, what it bears grows faster than any steady rate, and
/// neither way overloads it.
constexpr auto restart_order = R"({"starts_cold":true,"cold_requests":4000,"restart":true})";

void run_once(way_result& way, const running_server& restarted) {
    const double overloaded = counter(restarted, "overloaded");
    const double executions = counter(restarted, "executions");
    recorded_load load({way.targets, [](std::uint64_t) { return std::string("/board/x"); }, rate, load_time});
    const auto answers = load.run([&] {
        pause_for(restarts_after);
        deployment::control(restarted, restart_order);
    });
    double failed = 0;
    for (const auto& answer : answers) {
        failed += answer.succeeded() ? 0 : 1;
    }
    way.overloaded.push_back(counter(restarted, "overloaded") - overloaded);
    way.executions.push_back(counter(restarted, "executions") - executions);
    way.failed.push_back(failed);
    std::cerr << way.name << ": overloaded " << way.overloaded.back() << ", failed " << failed << '\n';
}

} // namespace

void measure_cold_restart() {
    deployment_plan plan;
    plan.name = "cold";
    plan.instances = 3;
    plan.data_centres = 1;
    plan.divided_by_key = false;
    plan.backend_servers = 6;
    plan.servers_per_process = 3;
    plan.backend_settings = R"({"service_time_ms":2})";
    deployment deployed(plan);
    std::vector<way_result> ways{{"lovagetack", {}}, {"round robin", {}}};
    for (const auto& instance : deployed.instances()) {
        ways[0].targets.push_back(instance.callers);
    }
    for (const auto& server : deployed.servers()) {
        ways[1].targets.push_back(server.address);
    }
    {
        // Every backend server has to be past its ramp before one of them restarts.
        recorded_load warm_up({ways[0].targets, [](std::uint64_t) { return std::string("/board/x"); }, rate, 4s});
        std::ignore = warm_up.run([] {});
    }
    std::size_t next = 0;
    for (int run = 0; run < runs; ++run) {
        for (auto& way : ways) {
            run_once(way, deployed.servers()[next++ % deployed.servers().size()]);
        }
    }
    table rows({"way", "overloaded executions", "executions at the restarted server", "requests failed, of 7,200"});
    plot drawn;
    drawn.title = "Overloaded executions after a cold restart under load";
    drawn.x_label = "way (each dot is one run of 8 s, restart after 1 s, 900 requests/s to 6 backend servers)";
    drawn.y_label = "overloaded executions at the restarted backend server";
    drawn.lines = {{"run", {}, false, true}};
    for (const auto& way : ways) {
        rows.add(
            {way.name, spread_text(way.overloaded, 0), spread_text(way.executions, 0), spread_text(way.failed, 0)});
        for (const double value : way.overloaded) {
            drawn.lines.front().points.emplace_back(static_cast<double>(drawn.categories.size()), value);
        }
        drawn.categories.push_back(way.name);
    }
    write_plot("cold-restart.svg", drawn.svg());
    write_section("cold-restart", "Cold restart of a backend server under load",
                  "One of 6 backend servers (service not divided by key, 2 ms, 2 slots) restarts cold after 1 s of 900 "
                  "requests/s: it bears 40 requests/s at first, 2,000/s after 4,000 answers, and fails what is beyond. "
                  "With the stand-in's default (warm after 200 answers) neither way overloaded it in 3 runs. "
                  "3 instances; round robin goes directly to the backend servers.\n\n" +
                      rows.text() + "\n![overloaded executions](plots/cold-restart.svg)\n");
}

} // namespace lovagetack::measure
