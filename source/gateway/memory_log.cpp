#include "gateway/memory_log.hpp"

namespace lovagetack::gateway {

std::vector<memory_log::line> memory_log::due(const memory_counters& counters, base::boot_time now) {
    std::vector<line> lines;
    for (std::size_t number = 0; number < memory_causes.size(); ++number) {
        const auto& [cause, member] = memory_causes[number];
        const auto count = counters.*member - logged_.*member;
        auto& last = last_line_[number];
        if (count == 0 || (last && now - *last < log_period)) {
            continue;
        }
        last = now;
        logged_.*member = counters.*member;
        lines.push_back({cause, count});
    }
    return lines;
}

} // namespace lovagetack::gateway
