#include "integration/cluster.hpp"

#include <algorithm>
#include <array>
#include <fstream>
#include <stdexcept>

#include <QJsonArray>

#include "integration/http_call.hpp"
#include "integration/json_page.hpp"
#include "integration/wait_for.hpp"

namespace lovagetack::harness {

namespace {

std::string joined(const std::vector<std::string>& words) {
    std::string text;
    for (const auto& word : words) {
        text += (text.empty() ? "" : ",") + word;
    }
    return text;
}

} // namespace

cluster::cluster(const cluster_plan& plan) : plan_(plan) {
    for (const auto& data_centre : data_centre_names()) {
        if (!plan_.separate_servers) {
            groups_.emplace_back();
        }
        place_servers(data_centre, "board", plan_.board_servers);
        place_servers(data_centre, "files", plan_.file_servers);
        place_instances(data_centre);
        if (plan_.proxy_platform) {
            (void)add_link("platform-" + data_centre, platform_port_.address());
        }
    }
}

void cluster::place_servers(const std::string& data_centre, const std::string& service, std::int32_t count) {
    for (std::int32_t number = 1; number <= count; ++number) {
        const auto name = service + '-' + data_centre + '-' + std::to_string(number);
        if (plan_.separate_servers) {
            groups_.emplace_back();
        }
        groups_.back().names.push_back(name);
        auto& place = servers_[name];
        place.data_centre = data_centre;
        place.service = service;
        place.group = groups_.size() - 1;
        place.address = plan_.proxy_backends ? add_link(name, place.port.address()) : place.port.address();
    }
}

void cluster::place_instances(const std::string& data_centre) {
    for (std::int32_t number = 1; number <= plan_.instances; ++number) {
        const auto name = data_centre + '-' + std::to_string(number);
        auto& place = instances_[name];
        place.data_centre = data_centre;
        place.advertised_callers = place.callers.address();
        place.advertised_peers = place.peers.address();
        if (plan_.proxy_peers) {
            place.advertised_callers = add_link("callers-" + name, place.callers.address());
            place.advertised_peers = add_link("peers-" + name, place.peers.address());
        }
    }
}

std::string cluster::add_link(const std::string& name, const std::string& to) {
    auto& link = links_[name];
    link.to = to;
    return link.port.address();
}

void cluster::start() {
    platform_.emplace("platform",
                      std::vector<std::string>{STAND_INS_PROGRAM, "platform", "--listen", platform_port_.address()},
                      folder_.path());
    (void)platform_->listening(1);
    for (auto& group : groups_) {
        start_group(group);
    }
    start_proxy();
    for (const auto& name : instance_names()) {
        start_instance(name);
    }
}

void cluster::start_group(server_group& group) {
    std::vector<std::string> addresses;
    for (const auto& name : group.names) {
        addresses.push_back(servers_.at(name).port.address());
    }
    std::vector<std::string> command{STAND_INS_PROGRAM, "backend",
                                     "--name",          joined(group.names),
                                     "--listen",        joined(addresses),
                                     "--control",       group.control.address(),
                                     "--settings",      plan_.backend_settings,
                                     "--records",       folder_.path().string()};
    if (plan_.servers_check_grants) {
        command.emplace_back("--checks-grants");
    }
    group.running.emplace(group.names.front() + '-' + std::to_string(files_++), command, folder_.path());
    (void)group.running->listening(group.names.size() + 1);
}

void cluster::start_proxy() {
    if (links_.empty()) {
        return;
    }
    std::vector<std::string> names;
    std::vector<std::string> addresses;
    std::vector<std::string> targets;
    for (const auto& [name, link] : links_) {
        names.push_back(name);
        addresses.push_back(link.port.address());
        targets.push_back(link.to);
    }
    const std::vector<std::string> command{
        STAND_INS_PROGRAM, "proxy", "--name",        joined(names), "--listen",
        joined(addresses), "--to",  joined(targets), "--control",   proxy_control_.address()};
    proxy_.emplace("proxy", command, folder_.path());
    (void)proxy_->listening(names.size() + 1);
}

void cluster::start_instance(const std::string& name) {
    const auto file = new_file(name + ".yaml", settings_text(name));
    instances_.at(name).running.emplace(
        name, std::vector<std::string>{LOVAGETACK_PROGRAM, "serve", "--settings", file.string()}, folder_.path());
}

std::string cluster::platform_for(const std::string& data_centre) const {
    const auto link = links_.find("platform-" + data_centre);
    return link == links_.end() ? platform_port_.address() : link->second.port.address();
}

std::string cluster::settings_text(const std::string& instance) const {
    const auto& place = instances_.at(instance);
    std::string seeds;
    for (const auto& [name, other] : instances_) {
        seeds += (seeds.empty() ? "\"" : ", \"") + other.advertised_peers + '"';
    }
    return "name: " + instance + "\ndata_centre: " + place.data_centre +
           "\nlisten:\n  callers: " + place.callers.address() + "\n  operators: " + place.operators.address() +
           "\n  peers: " + place.peers.address() + "\nadvertise:\n  callers: " + place.advertised_callers +
           "\n  peers: " + place.advertised_peers + "\nplatform: " + platform_for(place.data_centre) + "\nseeds: [" +
           seeds + "]\n";
}

std::string cluster::base_file() const {
    std::string text = "data_centres: [";
    const auto data_centres = data_centre_names();
    text += joined(data_centres) + "]\nservices:\n";
    for (const std::string service : {"board", "files"}) {
        if (service == "files" && plan_.file_servers == 0) {
            continue;
        }
        text += "  " + service + ":\n    checks_grants: true\n    default_deadline: " + plan_.default_deadline + '\n';
        if (service == "board") {
            text += "    divided_by_key: true\n    initial_ranges: " + std::to_string(plan_.ranges) + '\n';
        }
        text += "    slots: 2\n    connections: 110\n    backend_servers:\n";
        for (const auto& data_centre : data_centres) {
            text += "      " + data_centre + ":\n";
            for (const auto& [name, place] : servers_) {
                if (place.service == service && place.data_centre == data_centre) {
                    text += "        " + name + ": " + place.address + '\n';
                }
            }
        }
    }
    return text;
}

process& cluster::server(const std::string& name) {
    return groups_.at(servers_.at(name).group).running.value();
}

void cluster::start_server(const std::string& name) {
    start_group(groups_.at(servers_.at(name).group));
}

std::filesystem::path cluster::new_file(const std::string& name, const std::string& text) const {
    const auto path = folder_.path() / (std::to_string(files_++) + '-' + name);
    std::ofstream(path) << text;
    return path;
}

command_result cluster::run(const std::vector<std::string>& words) const {
    std::vector<std::string> command{LOVAGETACK_PROGRAM};
    command.insert(command.end(), words.begin(), words.end());
    process running("command-" + std::to_string(files_++), command, folder_.path());
    const auto status = running.wait();
    return {status, running.log()};
}

command_result cluster::push(const std::string& base_text, const std::vector<std::string>& options) const {
    auto running = start_push(base_text, options);
    const auto status = running.wait();
    return {status, running.log()};
}

process cluster::start_push(const std::string& base_text, const std::vector<std::string>& options) const {
    const auto file = new_file("base.yaml", base_text);
    std::vector<std::string> command{LOVAGETACK_PROGRAM,       "config", "push",       "--platform",
                                     platform_port_.address(), "--base", file.string()};
    command.insert(command.end(), options.begin(), options.end());
    return {"push-" + std::to_string(files_++), command, folder_.path()};
}

} // namespace lovagetack::harness
