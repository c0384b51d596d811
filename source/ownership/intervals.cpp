#include "ownership/intervals.hpp"

#include <algorithm>
#include <iterator>

namespace lovagetack::ownership {
namespace {

model::active_range part_of(const model::active_range& range, std::uint64_t first, std::uint64_t last) {
    return {first, last, range.owner, range.fence};
}

bool before(const model::active_range& left, const model::active_range& right) {
    return left.first < right.first;
}

void join(std::vector<model::active_range>& ranges) {
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

void overlay_all(std::vector<model::active_range>& ranges, const model::active_range& added) {
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
    join(result);
    ranges = std::move(result);
}

/// Whether the list has no gap in the range and no lower fence, so that the range changes nothing.
bool is_covered(std::vector<model::active_range>::const_iterator known,
                std::vector<model::active_range>::const_iterator end, const model::active_range& added) {
    auto from = added.first;
    for (; known != end; ++known) {
        if (known->first > from || known->fence < added.fence) {
            return false;
        }
        if (known->last >= added.last) {
            return true;
        }
        from = known->last + 1;
    }
    return false;
}

} // namespace

void overlay(std::vector<model::active_range>& ranges, const model::active_range& added) {
    auto begin = std::partition_point(ranges.begin(), ranges.end(),
                                      [&](const model::active_range& known) { return known.last < added.first; });
    if (is_covered(begin, ranges.end(), added)) {
        return;
    }
    auto end = std::partition_point(begin, ranges.end(),
                                    [&](const model::active_range& known) { return known.first <= added.last; });
    // The neighbours are included, since the added range may continue them.
    begin -= begin == ranges.begin() ? 0 : 1;
    end += end == ranges.end() ? 0 : 1;
    std::vector<model::active_range> part(std::make_move_iterator(begin), std::make_move_iterator(end));
    overlay_all(part, added);
    const auto place = ranges.erase(begin, end);
    ranges.insert(place, std::make_move_iterator(part.begin()), std::make_move_iterator(part.end()));
}

void join_neighbours(std::vector<model::active_range>& ranges) {
    join(ranges);
}

} // namespace lovagetack::ownership
