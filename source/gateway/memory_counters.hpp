#pragma once

#include <array>
#include <cstdint>
#include <string_view>
#include <utility>

namespace lovagetack::gateway {

/// Totals of what was refused or ended for lack of memory since the process started.
struct memory_counters {
    /// Requests whose announced body, or whose header, did not fit.
    std::uint64_t refused_at_header = 0;
    /// Requests whose body grew beyond what was left.
    std::uint64_t refused_in_body = 0;
    /// Requests whose body arrived too slowly while memory was scarce.
    std::uint64_t refused_slow = 0;
    /// Connections whose buffers nothing drained while memory was scarce.
    std::uint64_t connections_shed = 0;

    bool operator==(const memory_counters&) const = default;
};

/// Names of the causes in metrics and log lines.
constexpr std::array<std::pair<std::string_view, std::uint64_t memory_counters::*>, 4> memory_causes = {
    {{"header", &memory_counters::refused_at_header},
     {"body", &memory_counters::refused_in_body},
     {"slow", &memory_counters::refused_slow},
     {"connection", &memory_counters::connections_shed}}};

} // namespace lovagetack::gateway
