#include <chrono>
#include <exception>
#include <iostream>
#include <memory>
#include <optional>
#include <utility>

#include <QJsonArray>
#include <QJsonDocument>

#include "measure/deployment.hpp"
#include "measure/experiments.hpp"
#include "measure/page.hpp"
#include "measure/plot.hpp"
#include "measure/statistics.hpp"

namespace lovagetack::measure {

namespace {

using namespace std::chrono_literals;

constexpr int windows = 3;
constexpr auto window_time = 20s;
constexpr auto settling_time = 8s;
constexpr int load_rate = 900;

/// Targets per node.
constexpr double target_processor_percent = 2.5;
constexpr double target_memory = 32;
constexpr double target_bytes = 2048;

struct case_plan {
    std::string name;
    int instances = 9;
    int servers = 12;
    int ranges = 256;
    bool has_load = false;
};

/// Per instance and window.
struct cost {
    samples processor_percent;
    samples resident_megabytes;
    samples bytes_sent;
    samples bytes_received;
};

struct case_result {
    case_plan plan;
    cost controllers;
    cost others;
    /// Store calls per second of all instances.
    samples store_calls;
    int real_ranges = 0;
    /// Changes of the set of controllers between the readings.
    int controller_changes = 0;
};

using reading = std::map<std::string, double>;

struct running_case {
    explicit running_case(const case_plan& wanted) : result{.plan = wanted} {
        deployment_plan plan;
        plan.name = wanted.name;
        plan.instances = wanted.instances;
        plan.backend_servers = wanted.servers;
        plan.initial_ranges = wanted.ranges;
        plan.servers_per_process = wanted.servers;
        deployed = std::make_unique<deployment>(plan);
        if (wanted.has_load) {
            start_load();
        }
    }

    void start_load() {
        std::vector<std::string> command{LOVAGETACK_PROGRAM, "load", "--service", "board", "--keys", "5000"};
        for (const auto& instance : deployed->instances()) {
            command.insert(command.end(), {"--to", instance.callers});
        }
        command.insert(command.end(), {"--rate", std::to_string(load_rate), "--duration", "10min"});
        load = std::make_unique<harness::process>("load", command, deployed->folder());
    }

    std::vector<reading> read() const {
        std::vector<reading> readings;
        for (const auto& instance : deployed->instances()) {
            readings.push_back(read_metrics(instance));
            readings.back()["time"] =
                std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
        }
        return readings;
    }

    void begin() { first = read(); }
    void end() {
        const auto last = read();
        double calls = 0;
        for (std::size_t index = 0; index < last.size(); ++index) {
            calls += add(first[index], last[index]);
        }
        result.store_calls.push_back(calls);
    }

    /// Returns the store calls per second of the instance.
    double add(const reading& before, const reading& after) {
        const double seconds = after.at("time") - before.at("time");
        const auto rate = [&](const char* name) { return (after.at(name) - before.at(name)) / seconds; };
        const bool is_controller = after.at("lovagetack_controller") > 0;
        result.controller_changes += is_controller != (before.at("lovagetack_controller") > 0) ? 1 : 0;
        auto& costs = is_controller ? result.controllers : result.others;
        costs.processor_percent.push_back(100 * rate("lovagetack_processor_seconds_total"));
        costs.resident_megabytes.push_back(after.at("lovagetack_resident_bytes") / 1e6);
        costs.bytes_sent.push_back(rate("lovagetack_peer_bytes_sent_total"));
        costs.bytes_received.push_back(rate("lovagetack_peer_bytes_received_total"));
        return rate("lovagetack_store_calls_total");
    }

    void finish() {
        result.real_ranges =
            static_cast<int>(deployment::status(deployed->instances().front()).value("ranges").toArray().size());
    }

    case_result result;
    std::unique_ptr<deployment> deployed;
    std::unique_ptr<harness::process> load;
    std::vector<reading> first;
};

/// A case that does not start is named on the page instead of ending the experiment.
void run_case(const case_plan& plan, std::vector<case_result>& results, std::string& failures) {
    std::cerr << "starting " << plan.name << '\n';
    try {
        running_case running(plan);
        pause_for(settling_time);
        for (int window = 0; window < windows; ++window) {
            running.begin();
            pause_for(window_time);
            running.end();
        }
        running.finish();
        results.push_back(running.result);
    } catch (const std::exception& fault) {
        failures +=
            "- " + plan.name + ": no figures, since " + fault.what() + " (load average " + load_average_text() + ")\n";
    }
}

void add_rows(table& rows, const case_result& result) {
    const auto add = [&](const std::string& role, const cost& costs, const std::string& calls) {
        rows.add({result.plan.name + ", " + role, spread_text(costs.processor_percent, 2),
                  spread_text(costs.resident_megabytes, 1), spread_text(costs.bytes_sent, 0),
                  spread_text(costs.bytes_received, 0), calls});
    };
    add("controllers", result.controllers, spread_text(result.store_calls, 1));
    add("others", result.others, "");
}

/// A dependent figure of the cases over one varied number.
struct variation {
    std::string name;
    int case_plan::*varied = nullptr;
    std::vector<std::string> cases;
};

struct figure {
    std::string name;
    samples cost::*values = nullptr;
};

const std::vector<variation>& variations() {
    static const std::vector<variation> list{
        {"instances", &case_plan::instances, {"9 instances", "20 instances", "40 instances"}},
        {"backend_servers_per_data_centre",
         &case_plan::servers,
         {"4 backend servers per data centre", "9 instances", "24 backend servers per data centre"}},
        {"ranges", &case_plan::ranges, {"64 ranges", "9 instances", "1,024 ranges"}}};
    return list;
}

const std::vector<figure>& figures() {
    static const std::vector<figure> list{{"processor_percent", &cost::processor_percent},
                                          {"resident_megabytes", &cost::resident_megabytes},
                                          {"peer_bytes_sent_per_second", &cost::bytes_sent},
                                          {"peer_bytes_received_per_second", &cost::bytes_received}};
    return list;
}

const case_result* find_case(const std::vector<case_result>& results, const std::string& name) {
    for (const auto& result : results) {
        if (result.plan.name == name) {
            return &result;
        }
    }
    return nullptr;
}

std::vector<std::pair<double, double>> points_of(const std::vector<case_result>& results, const variation& varied,
                                                 const cost case_result::*role, const figure& wanted) {
    std::vector<std::pair<double, double>> points;
    for (const auto& name : varied.cases) {
        const auto* result = find_case(results, name);
        if (result != nullptr && !(result->*role.*(wanted.values)).empty()) {
            points.emplace_back(result->plan.*(varied.varied), median(result->*role.*(wanted.values)));
        }
    }
    return points;
}

std::string write_slopes(const std::vector<case_result>& results) {
    table rows({"figure, role, per one more of", "slope", "intercept"});
    QJsonArray list;
    const std::vector<std::pair<std::string, cost case_result::*>> roles{{"controller", &case_result::controllers},
                                                                         {"other", &case_result::others}};
    for (const auto& varied : variations()) {
        for (const auto& [role, member] : roles) {
            for (const auto& wanted : figures()) {
                const auto points = points_of(results, varied, member, wanted);
                if (points.size() < 2) {
                    continue;
                }
                const auto fitted = fit_line(points);
                rows.add({wanted.name + ", " + role + ", " + varied.name, number_text(fitted.slope, 4),
                          number_text(fitted.intercept, 2)});
                list.append(QJsonObject{{"figure", QString::fromStdString(wanted.name)},
                                        {"role", QString::fromStdString(role)},
                                        {"per", QString::fromStdString(varied.name)},
                                        {"slope", fitted.slope},
                                        {"intercept", fitted.intercept}});
            }
        }
    }
    std::vector<std::pair<double, double>> calls;
    for (const auto& name : variations().front().cases) {
        if (const auto* result = find_case(results, name)) {
            calls.emplace_back(result->plan.instances, median(result->store_calls));
        }
    }
    if (calls.size() < 2) {
        write_plot("slopes.json", QJsonDocument(list).toJson().toStdString());
        return rows.text();
    }
    const auto fitted = fit_line(calls);
    rows.add({"store_calls_per_second, all instances, instances", number_text(fitted.slope, 4),
              number_text(fitted.intercept, 2)});
    list.append(QJsonObject{{"figure", "store_calls_per_second"},
                            {"role", "all"},
                            {"per", "instances"},
                            {"slope", fitted.slope},
                            {"intercept", fitted.intercept}});
    write_plot("slopes.json", QJsonDocument(list).toJson().toStdString());
    return rows.text();
}

void write_plot_of(const std::vector<case_result>& results, const std::string& file, const figure& wanted,
                   const std::string& title, const std::string& unit, double target, const std::string& label) {
    const auto& varied = variations().front();
    plot drawn;
    drawn.title = title;
    drawn.x_label = "instances (3 data centres, 12 backend servers each, no callers)";
    drawn.y_label = unit;
    drawn.lines = {{"controllers", points_of(results, varied, &case_result::controllers, wanted)},
                   {"other instances", points_of(results, varied, &case_result::others, wanted)}};
    drawn.target = target;
    drawn.target_label = label;
    write_plot(file, drawn.svg());
}

void write_page(const std::vector<case_result>& results, const std::string& failures) {
    table rows({"case", "processor, % of a core", "resident, MB", "peer bytes sent, B/s", "peer bytes received, B/s",
                "store calls of all instances, 1/s"});
    std::string notes;
    for (const auto& result : results) {
        add_rows(rows, result);
        notes += "- " + result.plan.name + ": " + std::to_string(result.real_ranges) + " ranges, " +
                 std::to_string(result.controller_changes) + " changes of controller seen between readings\n";
    }
    write_plot_of(results, "control-processor.svg", figures()[0], "Processor time of control per instance",
                  "% of a core", target_processor_percent, "target 2.5%");
    write_plot_of(results, "control-memory.svg", figures()[1], "Resident memory per instance", "MB", target_memory,
                  "target 32 MB");
    write_plot_of(results, "control-bytes.svg", figures()[2], "Peer bytes sent per instance", "bytes per second",
                  target_bytes, "target 2 KB/s");
    const auto slopes = write_slopes(results);
    write_section("control-cost", "Control cost of an instance",
                  "From `/metrics` over 3 windows of 20 s after 8 s of settling; a figure is the median over instances "
                  "and windows. 3 data centres, 12 backend servers per data centre and 256 initial ranges, unless the "
                  "case says otherwise; \"with load\" is 900 requests/s in all. Cases ran one after the other.\n\n" +
                      rows.text() + "\n" + notes + failures +
                      "\nLines fitted to the medians (also in [plots/slopes.json](plots/slopes.json)):\n\n" + slopes +
                      "\n![processor time](plots/control-processor.svg)\n![memory](plots/control-memory.svg)\n"
                      "![peer bytes](plots/control-bytes.svg)\n");
}

} // namespace

void measure_control_cost() {
    // One after the other: several at once take all cores and disturb each other's time limits.
    const std::vector<case_plan> plans{{"9 instances"},
                                       {"64 ranges", 9, 12, 64},
                                       {"9 instances with load", 9, 12, 256, true},
                                       {"20 instances", 20},
                                       {"4 backend servers per data centre", 9, 4},
                                       {"24 backend servers per data centre", 9, 24},
                                       {"1,024 ranges", 9, 12, 1024},
                                       {"40 instances", 40}};
    std::vector<case_result> results;
    std::string failures;
    for (const auto& plan : plans) {
        run_case(plan, results, failures);
        write_page(results, failures);
    }
}

} // namespace lovagetack::measure
