#include <exception>
#include <iostream>
#include <string>
#include <utility>
#include <vector>

#include <QCoreApplication>

#include "measure/experiments.hpp"

namespace {

using experiment = std::pair<std::string, void (*)()>;

const std::vector<experiment>& experiments() {
    using namespace lovagetack::measure;
    static const std::vector<experiment> list{
        {"control-cost", measure_control_cost},
        {"request-path", measure_request_path},
        {"loss", measure_loss},
        {"stragglers", measure_stragglers},
        {"data-centre-drain", measure_data_centre_drain},
        {"moving-hot-keys", measure_moving_hot_keys},
        {"cold-restart", measure_cold_restart},
    };
    return list;
}

} // namespace

// Usage: lovagetack-measure [EXPERIMENT...]; all of them without arguments.
int main(int count, char** arguments) {
    const QCoreApplication application(count, arguments);
    const std::vector<std::string> wanted(arguments + 1, arguments + count);
    bool has_failed = false;
    bool has_run = false;
    for (const auto& [name, run] : experiments()) {
        bool is_wanted = wanted.empty();
        for (const auto& word : wanted) {
            is_wanted = is_wanted || word == name;
        }
        if (!is_wanted) {
            continue;
        }
        has_run = true;
        std::cerr << "experiment " << name << '\n';
        try {
            run();
        } catch (const std::exception& fault) {
            std::cerr << "experiment " << name << " failed: " << fault.what() << '\n';
            has_failed = true;
        }
    }
    if (!has_run) {
        std::cerr << "experiments:\n";
        for (const auto& [name, run] : experiments()) {
            std::cerr << "  " << name << '\n';
        }
    }
    return has_failed || !has_run ? 1 : 0;
}
