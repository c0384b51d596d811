#pragma once

#include <cstdint>
#include <vector>

#include "model/assignment.hpp"

namespace lovagetack::ownership {

/// Whether two ranges with inclusive bounds share a hash.
[[nodiscard]] inline bool overlap(std::uint64_t first, std::uint64_t last, std::uint64_t other_first,
                                  std::uint64_t other_last) {
    return first <= other_last && other_first <= last;
}

/// Puts a range into a sorted list without overlaps; where ranges overlap the greater fence stays.
void overlay(std::vector<model::active_range>& ranges, const model::active_range& added);

/// Joins neighbours that have the same owner and fence.
void join_neighbours(std::vector<model::active_range>& ranges);

} // namespace lovagetack::ownership
