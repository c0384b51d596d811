#include "model/route.hpp"

#include <algorithm>

namespace lovagetack::model {

const active_range* find_range(const service_routes& routes, std::uint64_t hash) {
    const auto after =
        std::upper_bound(routes.ranges.begin(), routes.ranges.end(), hash,
                         [](std::uint64_t value, const active_range& range) { return value < range.first; });
    if (after == routes.ranges.begin()) {
        return nullptr;
    }
    const auto& candidate = *std::prev(after);
    return hash <= candidate.last ? &candidate : nullptr;
}

} // namespace lovagetack::model
