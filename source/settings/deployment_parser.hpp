#pragma once

#include <cstdint>
#include <string>

#include "base/result.hpp"
#include "model/deployment.hpp"
#include "settings/problem.hpp"

namespace lovagetack::settings {

/// A settings file: its name for messages, and its text.
struct source_file {
    std::string name;
    std::string text;
};

/// A deployment with the problems found; it is valid only when there are none.
struct checked_deployment {
    model::deployment deployment;
    problem_list problems;
};

/// Reads the base file and, when its text is not empty, the overlay of one data centre. An overlay may change
/// deadlines, queue lengths and body sizes of a service, and addresses, slots and connections of backend servers in its
/// own data centre. Settings that must be equal in all data centres (services, the list of backend servers, how keys
/// are divided) are allowed in the base file only.
[[nodiscard]] checked_deployment check_deployment(const source_file& base, const source_file& overlay);

/// The deployment of one data centre; settings_invalid lists every problem, one a line.
[[nodiscard]] base::result<model::deployment> parse_deployment(const std::string& base_text,
                                                               const std::string& overlay_text, std::uint64_t version);

} // namespace lovagetack::settings
