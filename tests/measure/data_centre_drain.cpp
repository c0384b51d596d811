#include <algorithm>
#include <chrono>
#include <cmath>
#include <iostream>
#include <map>
#include <stdexcept>
#include <tuple>

#include <QJsonArray>
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
constexpr double rate = 600;
constexpr auto leaves_after = 3s;
constexpr auto returns_after = 10s;
constexpr auto load_time = 20s;
constexpr double bin_seconds = 0.2;
constexpr auto drained = "dc-2";

struct run_result {
    double drained_at = 0;
    double returned_at = 0;
    std::vector<recorded_answer> answers;
    /// Starts of executions in the drained data centre, in seconds since the start of the load.
    std::vector<double> executions;
};

std::vector<double> executions_of(const deployment& deployed, const std::vector<running_server>& servers,
                                  base::boot_time start) {
    std::vector<double> times;
    for (const auto& server : servers) {
        if (server.data_centre != drained) {
            continue;
        }
        for (const auto& entry : get_json(server.address, "/control/executions").value("executions").toArray()) {
            const double at = static_cast<double>(entry.toObject().value("start").toInteger());
            const double since =
                (at - static_cast<double>(
                          std::chrono::duration_cast<std::chrono::microseconds>(start.time_since_epoch()).count())) /
                1e6;
            if (since >= 0) {
                times.push_back(since);
            }
        }
    }
    std::cerr << deployed.plan().name << ": " << times.size() << " executions in " << drained << '\n';
    return times;
}

bool is_drained(const deployment& deployed) {
    const auto states = deployment::status(deployed.instances().front()).value("service_states").toArray();
    return std::any_of(states.begin(), states.end(), [](const QJsonValue& entry) {
        return entry.toObject().value("name") == drained && entry.toObject().value("availability") == "drained";
    });
}

run_result run_once() {
    deployment_plan plan;
    plan.name = "drain";
    plan.backend_servers = 8;
    plan.servers_per_process = 8;
    plan.initial_ranges = 48;
    deployment deployed(plan);
    std::vector<std::string> callers;
    for (const auto& instance : deployed.instances()) {
        callers.push_back(instance.callers);
    }
    const auto path = [](std::uint64_t number) { return "/board/key-" + std::to_string(number * 7919 % 3000); };
    {
        // Every backend server has to be past its ramp, else the ramp is measured.
        recorded_load warm_up({callers, path, rate, 4s});
        std::ignore = warm_up.run([] {});
    }
    recorded_load load({callers, path, rate, load_time});
    run_result result;
    const auto order = [&](const std::string& word) {
        const auto printed = run_lovagetack(
            {word, "data-centre", drained, "--at", deployed.instances().front().operators}, deployed.folder());
        std::cerr << word << " at " << load.now() << " s: " << printed << '\n';
    };
    bool took_effect = false;
    result.answers = load.run([&] {
        pause_for(leaves_after);
        result.drained_at = load.now();
        order("drain");
        pause_for(returns_after - leaves_after);
        took_effect = is_drained(deployed);
        result.returned_at = load.now();
        order("undrain");
    });
    if (!took_effect) {
        throw std::runtime_error("the order to drain is not in /status");
    }
    result.executions = executions_of(deployed, deployed.servers(), load.start());
    return result;
}

/// Answers that satisfy the condition per bin, by the time they came.
template <class Condition>
series course(const std::string& label, const run_result& result, const Condition& condition) {
    std::map<int, double> bins;
    const int count = static_cast<int>(std::chrono::duration<double>(load_time).count() / bin_seconds);
    for (int bin = 0; bin < count; ++bin) {
        bins[bin] = 0;
    }
    for (const auto& answer : result.answers) {
        const int bin = static_cast<int>(answer.answered / bin_seconds);
        if (bin < count && condition(answer)) {
            ++bins[bin];
        }
    }
    series line{label, {}, true, false};
    for (const auto& [bin, value] : bins) {
        line.points.emplace_back(bin * bin_seconds, value);
    }
    return line;
}

/// Seconds from the order to the last execution in the data centre before it returns.
double time_until_quiet(const run_result& result) {
    double last = result.drained_at;
    for (const double time : result.executions) {
        if (time < result.returned_at) {
            last = std::max(last, time);
        }
    }
    return last - result.drained_at;
}

/// Seconds from the order to the first execution after it; negative without one.
double time_until_back(const run_result& result) {
    double first = -1;
    for (const double time : result.executions) {
        if (time >= result.returned_at && (first < 0 || time < first)) {
            first = time;
        }
    }
    return first < 0 ? -1 : first - result.returned_at;
}

} // namespace

void measure_data_centre_drain() {
    samples quiet;
    samples back;
    samples gaps;
    std::map<std::string, samples> failures{{"not-run", {}}, {"failed", {}}, {"unknown", {}}, {"none", {}}};
    samples lowest_share;
    plot drawn;
    for (int run = 0; run < runs; ++run) {
        const auto result = run_once();
        quiet.push_back(time_until_quiet(result));
        back.push_back(time_until_back(result));
        gaps.push_back(
            longest_gap(result.answers, result.drained_at, std::chrono::duration<double>(load_time).count()));
        std::map<std::string, double> counts;
        for (const auto& answer : result.answers) {
            if (!answer.succeeded()) {
                ++counts[answer.outcome.empty() ? "none" : answer.outcome];
            }
        }
        for (auto& [outcome, values] : failures) {
            values.push_back(counts[outcome]);
        }
        const auto good = course("answered with 200", result, [](const auto& answer) { return answer.succeeded(); });
        double worst = rate * bin_seconds;
        for (const auto& [time, value] : good.points) {
            if (time >= result.drained_at) {
                worst = std::min(worst, value);
            }
        }
        lowest_share.push_back(100 * worst / (rate * bin_seconds));
        drawn.lines = {good, course("failed", result, [](const auto& answer) { return !answer.succeeded(); })};
    }
    drawn.title = "Answers while a data centre leaves (3 s) and returns (10 s)";
    drawn.x_label = "seconds (last of 3 runs, 600 requests/s)";
    drawn.y_label = "answers per 200 ms";
    table rows({"figure", "median (lowest to highest) of 3 runs"});
    rows.add({"from the order to the last execution in the data centre, s", spread_text(quiet, 2)});
    rows.add({"from undrain to the first execution, s (-1: none in the run)", spread_text(back, 2)});
    rows.add({"longest gap between successful answers after the order, s", spread_text(gaps, 2)});
    rows.add({"fewest successful answers in 200 ms, % of the offered", spread_text(lowest_share, 0)});
    for (const auto& [outcome, values] : failures) {
        rows.add({"failures with outcome " + outcome + ", of 12,000 requests", spread_text(values, 0)});
    }
    write_plot("data-centre-drain.svg", drawn.svg());
    write_section("data-centre-drain", "Service while a data centre leaves and returns",
                  "`lovagetack drain data-centre dc-2` and later `undrain`; 9 instances, 24 backend servers in 3 data "
                  "centres, 48 ranges, 600 requests/s (GET, 3,000 keys in turn) through all instances, 20 s, a fresh "
                  "deployment for each run.\n\n" +
                      rows.text() + "\n![answers](plots/data-centre-drain.svg)\n");
}

} // namespace lovagetack::measure
