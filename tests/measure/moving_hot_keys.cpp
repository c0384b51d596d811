#include <algorithm>
#include <chrono>
#include <iostream>
#include <map>
#include <memory>
#include <tuple>
#include <utility>

#include <QJsonArray>
#include <QJsonObject>

#include "base/key_hash.hpp"
#include "measure/deployment.hpp"
#include "measure/experiments.hpp"
#include "measure/page.hpp"
#include "measure/plot.hpp"
#include "measure/statistics.hpp"

namespace lovagetack::measure {

namespace {

using namespace std::chrono_literals;

/// All runs at the same time, each with its own deployment and seed.
constexpr int runs = 3;
constexpr int load_seconds = 40;
constexpr int bin_seconds = 2;
constexpr int rate = 400;
constexpr int points_per_server = 100;

/// Consistent hashing: the server of the first point at or after the key's hash.
class hash_ring {
public:
    explicit hash_ring(const std::vector<running_server>& servers) {
        for (const auto& server : servers) {
            for (int point = 0; point < points_per_server; ++point) {
                points_[base::key_hash(server.name + '#' + std::to_string(point))] = server.name;
            }
        }
    }

    [[nodiscard]] const std::string& server_of(const std::string& key) const {
        const auto found = points_.lower_bound(base::key_hash(key));
        return found == points_.end() ? points_.begin()->second : found->second;
    }

private:
    std::map<std::uint64_t, std::string> points_;
};

/// Executions per backend server.
using counts = std::map<std::string, double>;

double imbalance(const counts& executions, std::size_t servers) {
    double sum = 0;
    double most = 0;
    for (const auto& [name, count] : executions) {
        sum += count;
        most = std::max(most, count);
    }
    return sum > 0 ? most * static_cast<double>(servers) / sum : 0;
}

/// Ranges of /status by their bounds.
using owner_map = std::map<std::pair<std::string, std::string>, std::string>;

struct hot_run {
    explicit hot_run(int number) {
        deployment_plan plan;
        plan.name = "hot-" + std::to_string(number);
        plan.instances = 9;
        plan.backend_servers = 4;
        plan.servers_per_process = 4;
        plan.initial_ranges = 96;
        deployed = std::make_unique<deployment>(plan);
        std::vector<std::string> command{LOVAGETACK_PROGRAM,
                                         "load",
                                         "--service",
                                         "board",
                                         "--keys",
                                         "2000",
                                         "--skew",
                                         "1.0",
                                         "--hot-keys-change-after",
                                         "10s",
                                         "--rate",
                                         std::to_string(rate),
                                         "--seed",
                                         std::to_string(number),
                                         "--warm-up",
                                         "1ms",
                                         "--duration",
                                         std::to_string(load_seconds) + "s"};
        for (const auto& instance : deployed->instances()) {
            command.insert(command.end(), {"--to", instance.callers});
        }
        load = std::make_unique<harness::process>("load", command, deployed->folder());
    }

    /// Counts ranges whose owner differs from the last reading, of those that existed then.
    void note_moves() {
        owner_map now;
        for (const auto& entry : deployment::status(deployed->instances().front()).value("ranges").toArray()) {
            const auto range = entry.toObject();
            now[{range.value("first").toString().toStdString(), range.value("last").toString().toStdString()}] =
                range.value("owner").toString().toStdString();
        }
        for (const auto& [bounds, owner] : now) {
            const auto before = owners.find(bounds);
            moves += before != owners.end() && before->second != owner ? 1 : 0;
            new_ranges += before == owners.end() && !owners.empty() ? 1 : 0;
        }
        owners = std::move(now);
    }

    void collect() {
        const hash_ring ring(deployed->servers());
        std::vector<std::tuple<qint64, std::string, std::string>> all;
        for (const auto& server : deployed->servers()) {
            const auto records = get_json(server.address, "/control/executions").value("executions").toArray();
            for (const auto& entry : records) {
                const auto record = entry.toObject();
                all.emplace_back(record.value("start").toInteger(), server.name,
                                 record.value("key").toString().toStdString());
            }
        }
        std::sort(all.begin(), all.end());
        const auto last = all.empty() ? 0 : std::get<0>(all.back());
        for (const auto& [time, server, key] : all) {
            const auto since = static_cast<double>(time - last) / 1e6 + load_seconds;
            if (since < 0) {
                continue;
            }
            // The last record of all would else stand alone in a period of its own.
            const int bin = std::min(static_cast<int>(since / bin_seconds), load_seconds / bin_seconds - 1);
            ++measured[bin][server];
            ++baseline[bin][ring.server_of(key)];
        }
    }

    std::unique_ptr<deployment> deployed;
    std::unique_ptr<harness::process> load;
    owner_map owners;
    int moves = 0;
    int new_ranges = 0;
    std::map<int, counts> measured;
    std::map<int, counts> baseline;
};

/// The median over runs of the imbalance in each bin.
series course(const std::string& label, const std::vector<std::unique_ptr<hot_run>>& all,
              std::map<int, counts> hot_run::*member) {
    series line{label, {}, true, false};
    for (int bin = 0; bin < load_seconds / bin_seconds; ++bin) {
        samples values;
        for (const auto& run : all) {
            values.push_back(imbalance((run.get()->*member)[bin], run->deployed->servers().size()));
        }
        line.points.emplace_back(bin * bin_seconds, median(values));
    }
    return line;
}

samples mean_imbalances(const std::vector<std::unique_ptr<hot_run>>& all, std::map<int, counts> hot_run::*member) {
    samples means;
    for (const auto& run : all) {
        double sum = 0;
        int bins = 0;
        for (const auto& [bin, executions] : run.get()->*member) {
            sum += imbalance(executions, run->deployed->servers().size());
            ++bins;
        }
        means.push_back(bins > 0 ? sum / bins : 0);
    }
    return means;
}

} // namespace

void measure_moving_hot_keys() {
    std::vector<std::unique_ptr<hot_run>> all;
    for (int run = 0; run < runs; ++run) {
        all.push_back(std::make_unique<hot_run>(run + 1));
    }
    for (bool any = true; any;) {
        any = false;
        for (auto& run : all) {
            run->note_moves();
            any = any || !run->load->status();
        }
        pause_for(500ms);
    }
    samples moves;
    samples new_ranges;
    for (auto& run : all) {
        run->collect();
        moves.push_back(run->moves);
        new_ranges.push_back(run->new_ranges);
    }
    table rows({"way", "mean over 2 s periods of maximum / mean", "moves of ranges in 40 s", "new ranges in 40 s"});
    rows.add({"lovagetack", spread_text(mean_imbalances(all, &hot_run::measured), 2), spread_text(moves, 0),
              spread_text(new_ranges, 0)});
    rows.add({"consistent hashing, 100 points", spread_text(mean_imbalances(all, &hot_run::baseline), 2), "0", "0"});
    plot drawn;
    drawn.title = "Imbalance of executions while hot keys change every 10 s";
    drawn.x_label = "seconds (median of 3 runs, 400 requests/s, Zipf 1.0 over 2,000 keys)";
    drawn.y_label = "maximum / mean over 12 backend servers in 2 s";
    drawn.lines = {course("lovagetack", all, &hot_run::measured),
                   course("consistent hashing, 100 points", all, &hot_run::baseline)};
    write_plot("moving-hot-keys.svg", drawn.svg());
    write_section("moving-hot-keys", "Imbalance and churn with moving hot keys",
                  "Zipf load (skew 1.0, 2,000 keys, 400 requests/s, 40 s) whose hot keys change every 10 s; 9 "
                  "instances, 12 backend servers in 3 data centres, 96 initial ranges; 3 deployments at the same time. "
                  "Executions per backend server are from the stand-ins' records, and consistent hashing is computed "
                  "on the keys of the same records. Moves are changes of owner seen in `/status` every 0.5 s.\n\n" +
                      rows.text() + "\n![imbalance](plots/moving-hot-keys.svg)\n");
}

} // namespace lovagetack::measure
