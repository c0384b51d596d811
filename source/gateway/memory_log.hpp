#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/boot_time.hpp"
#include "gateway/memory_counters.hpp"

namespace lovagetack::gateway {

/// Decides when refusals for lack of memory are logged: the first of a cause at the next call, those after it as a
/// count at most once per log_period. The load it answers: refusals by the thousand, whose log would cost more than
/// they do.
class memory_log {
public:
    struct line {
        std::string_view cause;
        /// Refusals since the line before.
        std::uint64_t count = 0;
    };

    [[nodiscard]] std::vector<line> due(const memory_counters& counters, base::boot_time now);

    static constexpr auto log_period = std::chrono::seconds(1);

private:
    memory_counters logged_;
    std::array<std::optional<base::boot_time>, memory_causes.size()> last_line_;
};

} // namespace lovagetack::gateway
