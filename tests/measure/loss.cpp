#include <chrono>
#include <functional>
#include <iostream>
#include <set>
#include <stdexcept>
#include <utility>

#include "measure/deployment.hpp"
#include "measure/experiments.hpp"
#include "measure/page.hpp"
#include "measure/plot.hpp"
#include "measure/recorded_load.hpp"
#include "measure/statistics.hpp"

namespace lovagetack::measure {

namespace {

using namespace std::chrono_literals;

constexpr int runs = 5;
constexpr double rate = 200;
constexpr auto before_loss = 700ms;
constexpr auto settling_time = 1500ms;
constexpr auto load_time = 3700ms;
constexpr double target_seconds = 1.0;

/// The processes that a run involves.
struct scene {
    std::string key;
    running_server* owner = nullptr;
    running_instance* home = nullptr;
    running_instance* controller = nullptr;
    /// An instance of the same data centre that is neither home nor controller.
    running_instance* entry = nullptr;
};

struct loss_case {
    std::string name;
    /// Ends or stops a process.
    std::function<void(deployment&, const scene&)> lose;
    /// Makes the deployment whole again, when it can.
    std::function<void(deployment&, const scene&)> restore;
};

bool is_running(const running_instance& instance) {
    return !instance.process->status().has_value();
}

running_instance* entry_of(deployment& deployed, const scene& found) {
    for (auto& instance : deployed.instances()) {
        if (is_running(instance) && instance.data_centre == found.owner->data_centre && &instance != found.home &&
            &instance != found.controller) {
            return &instance;
        }
    }
    return nullptr;
}

/// The first unused key whose owner, home and controller are three different running processes.
scene find_scene(deployment& deployed, std::set<std::string>& used_servers) {
    running_instance* const asked = [&] {
        for (auto& instance : deployed.instances()) {
            if (is_running(instance)) {
                return &instance;
            }
        }
        throw std::runtime_error("no instance runs");
    }();
    for (int number = 0; number < 2000; ++number) {
        scene found;
        found.key = "key-" + std::to_string(number);
        const auto explained = deployed.explain(*asked, found.key);
        const auto owner = explained.value("active_owner").toString().toStdString();
        const auto home = explained.value("home").toString().toStdString();
        if (owner.empty() || home.empty() || used_servers.contains(owner)) {
            continue;
        }
        found.owner = &deployed.server(owner);
        found.home = &deployed.instance(home);
        found.controller = deployed.controller(found.owner->data_centre);
        found.entry = entry_of(deployed, found);
        if (is_running(*found.home) && found.controller != nullptr && found.home != found.controller &&
            found.entry != nullptr) {
            used_servers.insert(owner);
            return found;
        }
    }
    throw std::runtime_error("no key with different owner, home and controller");
}

std::vector<loss_case> loss_cases() {
    const auto nothing = [](deployment&, const scene&) {};
    return {
        {"owner killed", [](deployment& all, const scene& at) { all.backends()[at.owner->process].kill(); }, nothing},
        {"owner paused", [](deployment& all, const scene& at) { all.backends()[at.owner->process].pause(); },
         [](deployment& all, const scene& at) { all.backends()[at.owner->process].resume(); }},
        {"controller killed", [](deployment&, const scene& at) { at.controller->process->kill(); }, nothing},
        {"home instance killed", [](deployment&, const scene& at) { at.home->process->kill(); }, nothing}};
}

deployment_plan plan_of_losses() {
    deployment_plan plan;
    plan.name = "loss";
    plan.instances = 15;
    plan.backend_servers = 8;
    plan.initial_ranges = 96;
    plan.servers_per_process = 1;
    return plan;
}

struct gap_result {
    samples gaps;
    samples failed;
};

void run_once(deployment& deployed, const loss_case& lost, std::set<std::string>& used, gap_result& result) {
    pause_for(settling_time);
    const auto found = find_scene(deployed, used);
    const auto path = "/" + deployed.plan().service + "/" + found.key;
    recorded_load load({{found.entry->callers}, [path](std::uint64_t) { return path; }, rate, load_time});
    double lost_at = 0;
    const auto answers = load.run([&] {
        pause_for(before_loss);
        lost_at = load.now();
        lost.lose(deployed, found);
    });
    const double end = std::chrono::duration<double>(load_time).count();
    result.gaps.push_back(longest_gap(answers, lost_at, end));
    double failed = 0;
    for (const auto& answer : answers) {
        failed += answer.succeeded() ? 0 : 1;
    }
    result.failed.push_back(failed);
    std::cerr << lost.name << ": " << result.gaps.back() << " s, " << failed << " failed of " << answers.size() << '\n';
    lost.restore(deployed, found);
}

} // namespace

void measure_loss() {
    table rows(
        {"loss", "longest gap, s", "runs above 1 s", "requests failed per run, of " + number_text(rate * 3.7, 0)});
    plot drawn;
    drawn.title = "Longest time without a successful answer for a key after a loss";
    drawn.y_label = "seconds";
    drawn.x_label = "what was lost (5 runs each, 200 requests/s for the key)";
    drawn.target = target_seconds;
    drawn.target_label = "target 1 s";
    drawn.lines = {{"run", {}, false, true}};
    for (const auto& lost : loss_cases()) {
        deployment deployed(plan_of_losses());
        std::set<std::string> used;
        gap_result result;
        for (int run = 0; run < runs; ++run) {
            run_once(deployed, lost, used, result);
        }
        int above = 0;
        for (const double gap : result.gaps) {
            above += gap > target_seconds ? 1 : 0;
            drawn.lines.front().points.emplace_back(static_cast<double>(drawn.categories.size()), gap);
        }
        drawn.categories.push_back(lost.name);
        rows.add({lost.name, spread_text(result.gaps, 2), std::to_string(above) + " of " + std::to_string(runs),
                  spread_text(result.failed, 0)});
    }
    write_plot("loss.svg", drawn.svg());
    write_section("loss", "Unavailable time after a loss",
                  "200 requests/s (GET) for one key at an instance of the key's data centre that is neither the home "
                  "instance nor the controller; 15 instances, 24 backend servers, each one a process. The gap is the "
                  "longest time between two successful answers in the 3 s after the loss; target 1 s.\n\n" +
                      rows.text() + "\n![gaps](plots/loss.svg)\n");
}

} // namespace lovagetack::measure
