#include <algorithm>
#include <iostream>

#include <QJsonArray>
#include <QJsonDocument>

#include "cli/command.hpp"
#include "load/load_runner.hpp"
#include "settings/scalar.hpp"

namespace lovagetack::cli {
namespace {

void add_load_options(cxxopts::Options& options) {
    options.add_options()("to", "address to send to; may be repeated", cxxopts::value<std::vector<std::string>>(),
                          "IP:PORT")("service", "service", cxxopts::value<std::string>(), "SERVICE")(
        "keys", "number of keys; 0 for services not divided by key",
        cxxopts::value<std::uint32_t>()->default_value("1000"),
        "COUNT")("skew", "exponent of the Zipf distribution of keys", cxxopts::value<double>()->default_value("0"),
                 "S")("hot-keys-change-after", "time after which other keys become the hot ones",
                      cxxopts::value<std::string>()->default_value(""),
                      "DURATION")("rate", "requests per second at planned times; 0 sends when the last one is answered",
                                  cxxopts::value<double>()->default_value("0"), "RATE")(
        "connections", "connections per address", cxxopts::value<std::uint32_t>()->default_value("16"),
        "COUNT")("duration", "measured time of a run", cxxopts::value<std::string>()->default_value("5s"), "DURATION")(
        "warm-up", "time before the measured time", cxxopts::value<std::string>()->default_value("500ms"),
        "DURATION")("deadline", "deadline of a request", cxxopts::value<std::string>()->default_value("2s"),
                    "DURATION")("method", "HTTP method", cxxopts::value<std::string>()->default_value("GET"), "METHOD")(
        "path-end", "rest of the path after service and key", cxxopts::value<std::string>()->default_value(""),
        "PATH")("body-bytes", "size of the body", cxxopts::value<std::uint64_t>()->default_value("0"),
                "BYTES")("seed", "seed of the key choice", cxxopts::value<std::uint64_t>()->default_value("1"),
                         "SEED")("runs", "number of runs; the medians of all are printed last",
                                 cxxopts::value<std::uint32_t>()->default_value("1"), "COUNT")("json", "print JSON");
}

base::result<std::chrono::milliseconds> duration_option(const cxxopts::ParseResult& values, const std::string& name) {
    const auto text = values[name].as<std::string>();
    if (text.empty()) {
        return std::chrono::milliseconds(0);
    }
    const auto duration = settings::read_duration(text);
    if (!duration) {
        return base::failure(base::result_code::usage, "--" + name + " takes a duration such as 250ms or 2s");
    }
    return *duration;
}

base::result<load::load_plan> plan_of(const cxxopts::ParseResult& values) {
    if (values.count("to") == 0 || values.count("service") == 0) {
        return base::failure(base::result_code::usage, "--to and --service are needed");
    }
    load::load_plan plan;
    for (const auto& text : values["to"].as<std::vector<std::string>>()) {
        BOOST_OUTCOME_TRY(address, address_argument(text));
        plan.targets.push_back(address);
    }
    BOOST_OUTCOME_TRY(duration, duration_option(values, "duration"));
    BOOST_OUTCOME_TRY(warm_up, duration_option(values, "warm-up"));
    BOOST_OUTCOME_TRY(deadline, duration_option(values, "deadline"));
    BOOST_OUTCOME_TRY(change, duration_option(values, "hot-keys-change-after"));
    plan.duration = duration;
    plan.warm_up = warm_up;
    plan.deadline = deadline;
    plan.hot_keys_change_after = change;
    plan.service = values["service"].as<std::string>();
    plan.key_count = values["keys"].as<std::uint32_t>();
    plan.skew = values["skew"].as<double>();
    plan.rate = values["rate"].as<double>();
    plan.connections = values["connections"].as<std::uint32_t>();
    plan.method = values["method"].as<std::string>();
    plan.path_end = values["path-end"].as<std::string>();
    plan.body_bytes = values["body-bytes"].as<std::uint64_t>();
    plan.seed = values["seed"].as<std::uint64_t>();
    return plan;
}

double median_of(const std::vector<QJsonObject>& runs, const QString& name) {
    std::vector<double> values;
    for (const auto& run : runs) {
        values.push_back(run.value(name).toDouble());
    }
    std::sort(values.begin(), values.end());
    const auto middle = values.size() / 2;
    return values.size() % 2 == 1 ? values[middle] : (values[middle - 1] + values[middle]) / 2;
}

QJsonObject medians(const std::vector<QJsonObject>& runs) {
    QJsonObject result;
    for (const char* name :
         {"throughput", "p50_ms", "p90_ms", "p99_ms", "p999_ms", "max_ms", "longest_gap_ms", "imbalance"}) {
        result.insert(name, median_of(runs, name));
    }
    return result;
}

} // namespace

exit_code run_load(const arguments& words) {
    cxxopts::Options options("lovagetack load", "Generates load and measures latencies from the planned send times.");
    add_load_options(options);
    const parsed_options parsed(options, words);
    if (parsed.exit()) {
        return *parsed.exit();
    }
    const auto& values = parsed.values();
    auto plan = plan_of(values);
    if (!plan) {
        return report(plan.error());
    }
    const bool as_json = values.count("json") > 0;
    std::vector<QJsonObject> runs;
    std::uint64_t succeeded = 0;
    for (std::uint32_t run = 0; run < std::max(1U, values["runs"].as<std::uint32_t>()); ++run) {
        load::load_runner runner(plan.value());
        const auto measured = runner.run();
        succeeded += measured.succeeded();
        runs.push_back(measured.json());
        if (!as_json) {
            std::cout << measured.text();
        }
    }
    const auto summary = medians(runs);
    if (as_json) {
        QJsonArray list;
        for (const auto& run : runs) {
            list.append(run);
        }
        std::cout << QJsonDocument(QJsonObject{{"runs", list}, {"medians", summary}}).toJson().toStdString();
    } else if (runs.size() > 1) {
        std::cout << "medians " << QJsonDocument(summary).toJson(QJsonDocument::Compact).toStdString() << '\n';
    }
    if (succeeded == 0) {
        return report({base::result_code::load_failed, "no request succeeded"});
    }
    return exit_code::done;
}

} // namespace lovagetack::cli
