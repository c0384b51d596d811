#include "routing/assignment.hpp"

#include <algorithm>
#include <iterator>

namespace lovagetack::routing {

const key_range* find_range(const assignment& assignment, std::uint32_t key) {
    const auto after =
        std::upper_bound(assignment.ranges.begin(), assignment.ranges.end(), key,
                         [](std::uint32_t value, const key_range& range) { return value < range.first; });
    return after == assignment.ranges.begin() ? nullptr : &*std::prev(after);
}

std::vector<key_range> new_ranges(const assignment& from, const assignment& to) {
    std::vector<key_range> found;
    std::copy_if(to.ranges.begin(), to.ranges.end(), std::back_inserter(found), [&from](const key_range& range) {
        const auto* const before = find_range(from, range.first);
        return before == nullptr || *before != range;
    });
    return found;
}

std::optional<std::vector<key_range>> replace_ranges(const std::vector<key_range>& ranges,
                                                     const std::vector<key_range>& replacements) {
    std::vector<key_range> result;
    auto next = replacements.begin();
    std::uint32_t covered = 0;
    const auto append = [&result, &covered](const key_range& range) {
        if (range.first != covered || range.last < range.first) {
            return false;
        }
        covered = range.last + 1;
        result.push_back(range);
        return true;
    };
    for (const auto& range : ranges) {
        for (; next != replacements.end() && next->first <= range.last; ++next) {
            if (!append(*next)) {
                return std::nullopt;
            }
        }
        if (range.last < covered) {
            continue;
        }
        if (!append(range)) {
            return std::nullopt;
        }
    }
    if (next != replacements.end() || covered != key_count) {
        return std::nullopt;
    }
    return result;
}

} // namespace lovagetack::routing
