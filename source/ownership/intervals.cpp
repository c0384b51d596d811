#include "ownership/intervals.hpp"

#include <algorithm>

namespace lovagetack::ownership {
namespace {

model::active_range part_of(const model::active_range& range, std::uint64_t first, std::uint64_t last) {
    return {first, last, range.owner, range.fence};
}

bool before(const model::active_range& left, const model::active_range& right) {
    return left.first < right.first;
}

} // namespace

void overlay(std::vector<model::active_range>& ranges, const model::active_range& added) {
    std::vector<model::active_range> result;
    std::vector<model::active_range> rest = {added};
    for (const auto& known : ranges) {
        if (!overlap(known.first, known.last, added.first, added.last)) {
            result.push_back(known);
            continue;
        }
        if (known.fence < added.fence) {
            if (known.first < added.first) {
                result.push_back(part_of(known, known.first, added.first - 1));
            }
            if (known.last > added.last) {
                result.push_back(part_of(known, added.last + 1, known.last));
            }
            continue;
        }
        result.push_back(known);
        const auto tail = rest.back();
        rest.pop_back();
        if (tail.first < known.first) {
            rest.push_back(part_of(tail, tail.first, known.first - 1));
        }
        if (known.last >= tail.last) {
            rest.push_back(part_of(tail, 1, 0));
            continue;
        }
        rest.push_back(part_of(tail, known.last + 1, tail.last));
    }
    for (const auto& piece : rest) {
        if (piece.first <= piece.last) {
            result.push_back(piece);
        }
    }
    std::sort(result.begin(), result.end(), before);
    join_neighbours(result);
    ranges = std::move(result);
}

void join_neighbours(std::vector<model::active_range>& ranges) {
    std::vector<model::active_range> joined;
    for (const auto& range : ranges) {
        const bool continues = !joined.empty() && joined.back().last + 1 == range.first && range.first != 0 &&
                               joined.back().owner == range.owner && joined.back().fence == range.fence;
        if (continues) {
            joined.back().last = range.last;
            continue;
        }
        joined.push_back(range);
    }
    ranges = std::move(joined);
}

} // namespace lovagetack::ownership
