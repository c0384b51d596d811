#include "routing/plan.hpp"

#include <algorithm>
#include <cmath>
#include <limits>
#include <optional>
#include <set>
#include <utility>

#include "routing/limits.hpp"

namespace lovagetack::routing {
namespace {

/// Parts below this share of a candidate's fair load are not moved on their own.
constexpr double smallest_part_share = 0.2;

/// Load of each candidate, relative to its capacity.
class loads {
public:
    loads(const assignment& assignment, const plan_inputs& inputs) : inputs_(inputs) {
        for (const auto& item : inputs.candidates) {
            load_[item.id] = 0;
            capacity_sum_ += item.capacity;
        }
        for (const auto& range : assignment.ranges) {
            add(range.owner, inputs.load.of(range.first, range.last));
        }
    }

    void add(const model::backend_server_id& id, double load) {
        const auto found = load_.find(id);
        if (found != load_.end()) {
            found->second += load;
        }
    }

    /// Load of the candidate if load were shared in proportion to capacity.
    [[nodiscard]] double fair(const candidate& item) const {
        return inputs_.load.total() * item.capacity / capacity_sum_;
    }
    [[nodiscard]] double relative(const candidate& item) const { return load_.at(item.id) / fair(item); }
    [[nodiscard]] bool owns_keys(const candidate& item) const { return load_.at(item.id) > 0; }
    [[nodiscard]] double room(const candidate& item) const { return fair(item) - load_.at(item.id); }

    [[nodiscard]] const candidate& least() const {
        return *std::min_element(
            inputs_.candidates.begin(), inputs_.candidates.end(),
            [this](const candidate& left, const candidate& right) { return relative(left) < relative(right); });
    }
    /// The most loaded candidate that is not excluded; null if there is none.
    [[nodiscard]] const candidate* most_loaded_except(const std::set<model::backend_server_id>& excluded) const {
        const candidate* most = nullptr;
        for (const auto& item : inputs_.candidates) {
            if (!excluded.contains(item.id) && (most == nullptr || relative(*most) < relative(item))) {
                most = &item;
            }
        }
        return most;
    }

private:
    const plan_inputs& inputs_;
    std::map<model::backend_server_id, double> load_;
    double capacity_sum_ = 0;
};

key_range moved_range(const key_range& from, std::uint32_t first, std::uint32_t last, const candidate& owner,
                      assignment& assignment) {
    key_range part = from;
    part.first = first;
    part.last = last;
    part.owner = owner.id;
    part.owner_born = owner.born;
    part.fence = assignment.next_fence++;
    part.leaving = from.owner;
    part.leaving_born = from.owner_born;
    part.leaving_fence = from.fence;
    return part;
}

/// A part of a range that an overloaded owner can give to another one.
struct part_to_move {
    std::vector<key_range>::iterator range;
    std::uint32_t first = 0;
    std::uint32_t last = 0;
    double load = 0;
};

/// The part of the range that carries about `load`. If one key carries far more, the keys before or after it; nothing
/// if there are none.
std::optional<part_to_move> choose_part_of_range(std::vector<key_range>::iterator range, double load, double most,
                                                 const load_estimate& estimate) {
    const double whole = estimate.of(range->first, range->last);
    if (whole <= load) {
        return part_to_move{range, range->first, range->last, whole};
    }
    auto last = estimate.end_of(range->first, range->last, load);
    double taken = estimate.of(range->first, last);
    if (taken <= most && last < range->last) {
        return part_to_move{range, range->first, last, taken};
    }
    if (last > range->first) {
        --last;
        return part_to_move{range, range->first, last, estimate.of(range->first, last)};
    }
    if (range->first < range->last) {
        return part_to_move{range, range->first + 1, range->last, estimate.of(range->first + 1, range->last)};
    }
    return std::nullopt;
}

/// A part of the owner's range with the highest load per key, so that the fewest keys move for the same load. If that
/// range cannot be divided, a part of the next one; nothing if none can.
std::optional<part_to_move> choose_part_of_owner(assignment& assignment, const model::backend_server_id& owner,
                                                 double load, double most, const load_estimate& estimate) {
    std::vector<std::pair<double, std::vector<key_range>::iterator>> owned;
    for (auto at = assignment.ranges.begin(); at != assignment.ranges.end(); ++at) {
        if (at->owner == owner && !at->moving()) {
            owned.emplace_back(estimate.of(at->first, at->last) / at->width(), at);
        }
    }
    std::sort(owned.begin(), owned.end(), [](const auto& left, const auto& right) { return left.first > right.first; });
    for (const auto& [density, range] : owned) {
        if (const auto part = choose_part_of_range(range, load, most, estimate); part) {
            return part;
        }
    }
    return std::nullopt;
}

/// Splits the part off its range and assigns it to the candidate.
void reassign_part(assignment& assignment, const part_to_move& part, const candidate& owner) {
    const auto whole = *part.range;
    const auto given = moved_range(whole, part.first, part.last, owner, assignment);
    std::vector<key_range> pieces;
    if (part.first > whole.first) {
        pieces.push_back(whole);
        pieces.back().last = part.first - 1;
    }
    pieces.push_back(given);
    if (part.last < whole.last) {
        pieces.push_back(whole);
        pieces.back().first = part.last + 1;
    }
    const auto at = assignment.ranges.erase(part.range);
    assignment.ranges.insert(at, pieces.begin(), pieces.end());
}

} // namespace

load_estimate::load_estimate(std::vector<std::uint32_t> keys) : keys_(std::move(keys)) {
    std::sort(keys_.begin(), keys_.end());
}

double load_estimate::of(std::uint32_t first, std::uint32_t last) const {
    const auto begin = std::lower_bound(keys_.begin(), keys_.end(), first);
    const auto end = std::upper_bound(begin, keys_.end(), last);
    return static_cast<double>(end - begin) + prior_samples * static_cast<double>(last - first + 1) / key_count;
}

double load_estimate::total() const {
    return static_cast<double>(keys_.size()) + prior_samples;
}

std::uint32_t load_estimate::end_of(std::uint32_t first, std::uint32_t last, double load) const {
    std::uint32_t low = first;
    std::uint32_t high = last;
    while (low < high) {
        const auto middle = low + (high - low) / 2;
        if (of(first, middle) >= load) {
            high = middle;
        } else {
            low = middle + 1;
        }
    }
    return low;
}

assignment first_assignment(const std::vector<candidate>& candidates, std::uint64_t first_fence) {
    assignment result;
    result.next_fence = first_fence;
    const auto count = static_cast<std::uint32_t>(std::min<std::size_t>(candidates.size(), key_count));
    for (std::uint32_t at = 0; at < count; ++at) {
        key_range range;
        range.first = static_cast<std::uint32_t>(std::uint64_t(key_count) * at / count);
        range.last = static_cast<std::uint32_t>(std::uint64_t(key_count) * (at + 1) / count - 1);
        range.owner = candidates[at].id;
        range.owner_born = candidates[at].born;
        range.fence = result.next_fence++;
        result.ranges.push_back(range);
    }
    return result;
}

bool move_lost_ranges(assignment& assignment, const plan_inputs& inputs) {
    if (inputs.candidates.empty()) {
        return false;
    }
    loads loads(assignment, inputs);
    std::vector<key_range> ranges;
    bool changed = false;
    for (const auto& range : assignment.ranges) {
        const auto stage = range.moving() ? inputs.stage(range) : move_stage::granted;
        if (!inputs.must_move(range) || stage == move_stage::unknown) {
            ranges.push_back(range);
            continue;
        }
        changed = true;
        if (stage == move_stage::begun) {
            // The new owner was lost before it got the keys; the leaving one stays the same.
            auto again = moved_range(range, range.first, range.last, loads.least(), assignment);
            again.leaving = range.leaving;
            again.leaving_born = range.leaving_born;
            again.leaving_fence = range.leaving_fence;
            ranges.push_back(again);
            continue;
        }
        std::uint32_t first = range.first;
        while (true) {
            const auto& target = loads.least();
            const double rest = inputs.load.of(first, range.last);
            const double least = loads.fair(target) * smallest_part_share;
            const double room = std::max(loads.room(target), least);
            // A remainder that is too small for a move of its own is included.
            const auto last = rest <= room + least ? range.last : inputs.load.end_of(first, range.last, room);
            ranges.push_back(moved_range(range, first, last, target, assignment));
            loads.add(target.id, inputs.load.of(first, last));
            if (last == range.last) {
                break;
            }
            first = last + 1;
        }
    }
    assignment.ranges = std::move(ranges);
    return changed;
}

bool balance(assignment& assignment, const plan_inputs& inputs) {
    if (inputs.candidates.size() < 2) {
        return false;
    }
    loads loads(assignment, inputs);
    bool changed = false;
    // Owners whose load cannot be divided further.
    std::set<model::backend_server_id> indivisible;
    const auto most_moves = std::max(moves_per_plan, inputs.candidates.size() / owners_per_move);
    for (std::size_t moves = 0; moves < most_moves;) {
        const auto* const most = loads.most_loaded_except(indivisible);
        const auto& least = loads.least();
        if (most == nullptr || most->id == least.id) {
            return changed;
        }
        // A server without keys gets some even when no owner is overloaded.
        const bool joins = !loads.owns_keys(least);
        const double fair = loads.fair(*most);
        const bool overloaded = loads.relative(*most) > tolerated_imbalance &&
                                -loads.room(*most) > significant_excess * std::sqrt(fair + 1);
        if (!overloaded && !joins) {
            return changed;
        }
        const double excess = std::min(-loads.room(*most), loads.room(least));
        const double wanted = joins ? std::max(excess, loads.fair(least) * smallest_part_share * 2) : excess;
        const auto part =
            wanted < loads.fair(least) * smallest_part_share
                ? std::nullopt
                : choose_part_of_owner(assignment, most->id, wanted, 2 * wanted + loads.fair(least), inputs.load);
        if (!part) {
            indivisible.insert(most->id);
            continue;
        }
        loads.add(most->id, -part->load);
        loads.add(least.id, part->load);
        reassign_part(assignment, *part, least);
        changed = true;
        ++moves;
    }
    return changed;
}

bool merge_ranges(assignment& assignment, std::size_t most_ranges) {
    if (assignment.ranges.size() <= most_ranges) {
        return false;
    }
    std::vector<key_range> merged;
    for (const auto& range : assignment.ranges) {
        if (!merged.empty() && !merged.back().moving() && !range.moving() && merged.back().owner == range.owner &&
            merged.back().owner_born == range.owner_born) {
            merged.back().last = range.last;
            merged.back().fence = std::max(merged.back().fence, range.fence);
            continue;
        }
        merged.push_back(range);
    }
    const bool changed = merged.size() != assignment.ranges.size();
    assignment.ranges = std::move(merged);
    return changed;
}

} // namespace lovagetack::routing
