#include "measure/deployment.hpp"

#include <algorithm>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <thread>

#include <QJsonArray>
#include <QJsonDocument>

#include "integration/http_call.hpp"

namespace lovagetack::measure {

namespace {

/// Above the router's bound of 30 s.
constexpr std::chrono::seconds warm_uptime(31);

std::string data_centre_name(int index) {
    return "dc-" + std::to_string(index + 1);
}

std::string joined(const std::vector<std::string>& parts) {
    std::string text;
    for (const auto& part : parts) {
        text += (text.empty() ? "" : ",") + part;
    }
    return text;
}

void write_file(const std::filesystem::path& path, const std::string& text) {
    std::ofstream file(path);
    file << text;
}

} // namespace

void pause_for(std::chrono::milliseconds time) {
    std::this_thread::sleep_for(time);
}

QJsonObject get_json(const std::string& address, const std::string& target) {
    const auto answer = harness::http_get(address, target);
    return QJsonDocument::fromJson(QByteArray::fromStdString(answer.body)).object();
}

std::string run_lovagetack(const std::vector<std::string>& arguments, const std::filesystem::path& folder) {
    static int count = 0;
    std::vector<std::string> command{LOVAGETACK_PROGRAM};
    command.insert(command.end(), arguments.begin(), arguments.end());
    harness::process run("command-" + std::to_string(++count), command, folder);
    run.wait();
    return run.log();
}

std::map<std::string, double> read_metrics(const running_instance& instance) {
    std::map<std::string, double> values;
    std::istringstream lines(harness::http_get(instance.operators, "/metrics").body);
    std::string line;
    while (std::getline(lines, line)) {
        const auto space = line.rfind(' ');
        if (!line.empty() && line.front() != '#' && space != std::string::npos) {
            values[line.substr(0, space)] = std::stod(line.substr(space + 1));
        }
    }
    return values;
}

deployment::deployment(deployment_plan plan) : plan_(std::move(plan)) {
    start_platform();
    start_backends();
    if (plan_.instances == 0) {
        return;
    }
    if (plan_.starts_warm) {
        pause_for(warm_uptime);
    }
    push_configuration();
    start_instances();
    wait_until_served();
}

void deployment::start_platform() {
    platform_.emplace_back(
        "platform", std::vector<std::string>{STAND_INS_PROGRAM, "platform", "--listen", "127.0.0.1:0"}, folder_.path());
    platform_address_ = platform_.back().listening(1).at("platform");
}

void deployment::start_backends() {
    const int total = plan_.backend_servers * std::min(plan_.data_centres, plan_.data_centres_with_servers);
    for (int first = 0; first < total; first += plan_.servers_per_process) {
        std::vector<std::string> names;
        std::vector<std::string> addresses;
        for (int index = first; index < std::min(total, first + plan_.servers_per_process); ++index) {
            names.push_back(plan_.service + '-' + std::to_string(index + 1));
            addresses.emplace_back("127.0.0.1:0");
            servers_.push_back({names.back(), data_centre_name(index / plan_.backend_servers), "", backends_.size()});
        }
        std::vector<std::string> command{STAND_INS_PROGRAM, "backend",         "--name",     joined(names),
                                         "--listen",        joined(addresses), "--settings", plan_.backend_settings};
        if (plan_.checks_grants) {
            command.emplace_back("--checks-grants");
        }
        backends_.emplace_back("backend-" + std::to_string(first), command, folder_.path());
        const auto listening = backends_.back().listening(names.size());
        for (const auto& name : names) {
            server(name).address = listening.at(name);
        }
    }
}

std::string deployment::base_file() const {
    std::ostringstream text;
    std::vector<std::string> data_centres;
    for (int index = 0; index < plan_.data_centres; ++index) {
        data_centres.push_back(data_centre_name(index));
    }
    text << "data_centres: [" << joined(data_centres) << "]\nservices:\n  " << plan_.service << ":\n";
    if (plan_.divided_by_key) {
        text << "    divided_by_key: true\n    initial_ranges: " << plan_.initial_ranges << '\n';
    }
    text << "    checks_grants: true\n    default_deadline: 2s\n    slots: " << plan_.slots
         << "\n    connections: " << plan_.connections << "\n    backend_servers:\n";
    data_centres.resize(static_cast<std::size_t>(std::min(plan_.data_centres, plan_.data_centres_with_servers)));
    for (const auto& centre : data_centres) {
        text << "      " << centre << ":\n";
        for (const auto& server : servers_) {
            if (server.data_centre == centre) {
                text << "        " << server.name << ": " << server.address << '\n';
            }
        }
    }
    return text.str();
}

void deployment::push_configuration() {
    const auto file = folder_.path() / "base.yaml";
    write_file(file, base_file());
    harness::process push(
        "push", {LOVAGETACK_PROGRAM, "config", "push", "--platform", platform_address_, "--base", file.string()},
        folder_.path());
    if (push.wait() != 0) {
        throw std::runtime_error("config push: " + push.log());
    }
}

void deployment::start_instances() {
    std::vector<std::string> seeds;
    for (int index = 0; index < plan_.instances; ++index) {
        for (int kind = 0; kind < 3; ++kind) {
            ports_.emplace_back();
        }
        if (index < plan_.data_centres) {
            seeds.push_back('"' + ports_.back().address() + '"');
        }
    }
    for (int index = 0; index < plan_.instances; ++index) {
        const auto first = static_cast<std::size_t>(index) * 3;
        running_instance started;
        started.data_centre = data_centre_name(index % plan_.data_centres);
        started.name = started.data_centre + '-' + std::to_string(index / plan_.data_centres + 1);
        started.callers = ports_[first].address();
        started.operators = ports_[first + 1].address();
        std::ostringstream text;
        text << "name: " << started.name << "\ndata_centre: " << started.data_centre
             << "\nlisten:\n  callers: " << started.callers << "\n  operators: " << started.operators
             << "\n  peers: " << ports_[first + 2].address() << "\nplatform: " << platform_address_ << "\nseeds: ["
             << joined(seeds) << "]\n";
        const auto file = folder_.path() / (started.name + ".yaml");
        write_file(file, text.str());
        started.process = std::make_unique<harness::process>(
            started.name, std::vector<std::string>{LOVAGETACK_PROGRAM, "serve", "--settings", file.string()},
            folder_.path());
        instances_.push_back(std::move(started));
    }
}

void deployment::wait_until_served() {
    constexpr int probed_keys = 200;
    for (const auto& started : instances_) {
        harness::wait_for([&] { return harness::http_get(started.operators, "/health").status == 200; },
                          started.name + " ready");
    }
    for (int key = 0; key < probed_keys; ++key) {
        const auto path = "/" + plan_.service + (plan_.divided_by_key ? "/key-" + std::to_string(key) : "");
        harness::wait_for([&] { return harness::http_get(instances_.front().callers, path).status == 200; }, path);
    }
}

running_instance& deployment::instance(const std::string& name) {
    for (auto& candidate : instances_) {
        if (candidate.name == name) {
            return candidate;
        }
    }
    throw std::runtime_error("no instance " + name);
}

running_server& deployment::server(const std::string& name) {
    for (auto& candidate : servers_) {
        if (candidate.name == name) {
            return candidate;
        }
    }
    throw std::runtime_error("no backend server " + name);
}

running_instance* deployment::controller(const std::string& data_centre) {
    for (auto& candidate : instances_) {
        if (candidate.data_centre == data_centre && !candidate.process->status() &&
            status(candidate).value("controller").toBool()) {
            return &candidate;
        }
    }
    return nullptr;
}

QJsonObject deployment::status(const running_instance& instance) {
    return get_json(instance.operators, "/status");
}

QJsonObject deployment::explain(const running_instance& instance, const std::string& key) const {
    return get_json(instance.operators, "/explain?service=" + plan_.service + "&key=" + key);
}

void deployment::control(const running_server& server, const std::string& json) {
    if (harness::http_post(server.address, "/control", json).status != 200) {
        throw std::runtime_error("control of " + server.name + " failed");
    }
}

} // namespace lovagetack::measure
