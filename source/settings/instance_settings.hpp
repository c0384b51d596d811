#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/result.hpp"
#include "model/address.hpp"
#include "model/ids.hpp"
#include "settings/problem.hpp"

namespace lovagetack::settings {

/// Limits of one instance towards callers and backend servers.
struct instance_limits {
    std::int32_t connections = 4096;
    /// Time for a caller to send the whole header.
    std::chrono::milliseconds header_time{5000};
    std::chrono::milliseconds idle_time{30000};
    /// Time after which a shutdown ends everything still in flight.
    std::chrono::milliseconds shutdown_time{30000};
};

/// Settings that an instance reads from its own file at start.
struct instance_settings {
    model::instance_id name;
    model::data_centre_id data_centre;
    model::address callers;
    model::address operators;
    model::address peers;
    /// Addresses that other instances use, when they differ from those listened on.
    model::address advertised_callers;
    model::address advertised_peers;
    model::address platform;
    std::vector<model::address> seeds;
    instance_limits limits;
    std::string log_level = "info";
    /// Empty: standard output.
    std::string log_file;
    /// File that receives every event for replay; empty: none.
    std::string record_file;
};

/// Reads an instance file; settings_invalid lists every problem, one a line.
[[nodiscard]] base::result<instance_settings> parse_instance_settings(const std::string& file, const std::string& text);

} // namespace lovagetack::settings
