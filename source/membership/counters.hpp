#pragma once

#include <cstdint>

namespace lovagetack::membership {

/// Totals since the start, for the status page.
struct counters {
    std::uint64_t facts_stored = 0;
    /// Not stored because a bound of the fact store was reached or the fact is invalid.
    std::uint64_t facts_refused = 0;
    /// From an earlier incarnation than the known one, or from this instance itself.
    std::uint64_t messages_ignored = 0;
    std::uint64_t messages_sent = 0;
    std::uint64_t syncs_sent = 0;
    std::uint64_t suspicions = 0;
    std::uint64_t member_reports = 0;
    std::uint64_t refutations = 0;
    std::uint64_t pauses = 0;
};

} // namespace lovagetack::membership
