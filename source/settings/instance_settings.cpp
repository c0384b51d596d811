#include "settings/instance_settings.hpp"

#include <algorithm>
#include <array>
#include <limits>

#include "settings/scalar.hpp"
#include "settings/section.hpp"

namespace lovagetack::settings {
namespace {

constexpr auto expected_name = "a name of 1 to 63 lower-case letters, digits and '-'";
constexpr auto expected_address = "an IP address and port such as 127.0.0.1:9000";
constexpr auto expected_duration = "a duration such as 250ms, 2s or 1min";
constexpr auto log_levels = std::to_array<std::string_view>({"debug", "info", "warn", "error"});

std::optional<std::string> read_name(const std::string& text) {
    return is_name(text) ? std::optional(text) : std::nullopt;
}

template <class Id>
void read_id(section& section, const std::string& key, Id& id) {
    std::string text;
    section.require(key, expected_name);
    section.read(key, text, read_name, expected_name);
    id = Id(text);
}

void read_required_address(section& section, const std::string& key, model::address& address) {
    section.require(key, expected_address);
    section.read(key, address, read_address, expected_address);
}

void read_listen(section& top, instance_settings& settings) {
    top.require("listen", "a mapping of callers, operators and peers");
    if (auto listen = top.subsection("listen")) {
        read_required_address(*listen, "callers", settings.callers);
        read_required_address(*listen, "operators", settings.operators);
        read_required_address(*listen, "peers", settings.peers);
        listen->report_unknown_keys();
    }
    settings.advertised_callers = settings.callers;
    settings.advertised_peers = settings.peers;
    if (auto advertise = top.subsection("advertise")) {
        advertise->read("callers", settings.advertised_callers, read_address, expected_address);
        advertise->read("peers", settings.advertised_peers, read_address, expected_address);
        advertise->report_unknown_keys();
    }
}

void read_seeds(section& top, instance_settings& settings) {
    for (const auto& text : top.list("seeds", expected_address)) {
        if (const auto address = read_address(text)) {
            settings.seeds.push_back(*address);
        } else {
            top.report("seeds", text, expected_address);
        }
    }
}

void read_limits(section& top, instance_limits& limits) {
    auto body = top.subsection("limits");
    if (!body) {
        return;
    }
    constexpr std::int32_t maximum_connections = 1'000'000;
    const auto read_connections = [](const std::string& text) { return read_number(text, 1, maximum_connections); };
    body->read("connections", limits.connections, read_connections, "a whole number from 1 to 1000000");
    body->read("header_time", limits.header_time, read_duration, expected_duration);
    body->read("idle_time", limits.idle_time, read_duration, expected_duration);
    body->read("shutdown_time", limits.shutdown_time, read_duration, expected_duration);
    body->report_unknown_keys();
}

void read_log(section& top, instance_settings& settings) {
    auto body = top.subsection("log");
    if (!body) {
        return;
    }
    const auto read_level = [](const std::string& text) {
        const bool known = std::find(log_levels.begin(), log_levels.end(), text) != log_levels.end();
        return known ? std::optional(text) : std::nullopt;
    };
    const auto read_text = [](const std::string& text) { return std::optional(text); };
    body->read("level", settings.log_level, read_level, "debug, info, warn or error");
    body->read("file", settings.log_file, read_text, "a file name");
    body->report_unknown_keys();
}

} // namespace

base::result<instance_settings> parse_instance_settings(const std::string& file, const std::string& text) {
    problem_list problems;
    instance_settings settings;
    if (auto top = section::parse(file, text, problems)) {
        read_id(*top, "name", settings.name);
        read_id(*top, "data_centre", settings.data_centre);
        read_listen(*top, settings);
        read_required_address(*top, "platform", settings.platform);
        read_seeds(*top, settings);
        read_limits(*top, settings.limits);
        read_log(*top, settings);
        const auto read_text = [](const std::string& value) { return std::optional(value); };
        top->read("record", settings.record_file, read_text, "a file name");
        top->report_unknown_keys();
    }
    if (!problems.empty()) {
        return base::failure(base::result_code::settings_invalid, describe(problems));
    }
    return settings;
}

} // namespace lovagetack::settings
