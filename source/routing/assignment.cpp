#include "routing/assignment.hpp"

#include <algorithm>

namespace lovagetack::routing {

const key_range* find_range(const assignment& assignment, std::uint32_t key) {
    const auto after =
        std::upper_bound(assignment.ranges.begin(), assignment.ranges.end(), key,
                         [](std::uint32_t value, const key_range& range) { return value < range.first; });
    return after == assignment.ranges.begin() ? nullptr : &*std::prev(after);
}

} // namespace lovagetack::routing
