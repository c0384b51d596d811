#include "routing/plan.hpp"

#include <algorithm>
#include <cmath>
#include <limits>

#include "routing/limits.hpp"

namespace lovagetack::routing {
namespace {

/// Parts of this share of the mean load are not worth a move of their own.
constexpr double least_part = 0.2;

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

    /// Load of a candidate with an equal share.
    [[nodiscard]] double fair(const candidate& item) const {
        return inputs_.load.total() * item.capacity / capacity_sum_;
    }
    [[nodiscard]] double relative(const candidate& item) const { return load_.at(item.id) / fair(item); }
    [[nodiscard]] double room(const candidate& item) const { return fair(item) - load_.at(item.id); }

    [[nodiscard]] const candidate& least() const {
        return *std::min_element(
            inputs_.candidates.begin(), inputs_.candidates.end(),
            [this](const candidate& left, const candidate& right) { return relative(left) < relative(right); });
    }
    [[nodiscard]] const candidate& most() const {
        return *std::max_element(
            inputs_.candidates.begin(), inputs_.candidates.end(),
            [this](const candidate& left, const candidate& right) { return relative(left) < relative(right); });
    }

private:
    const plan_inputs& inputs_;
    std::map<model::backend_server_id, double> load_;
    double capacity_sum_ = 0;
};

key_range moved(const key_range& from, std::uint32_t first, std::uint32_t last, const candidate& owner,
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

assignment first_assignment(const std::vector<candidate>& candidates) {
    assignment result;
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
            auto again = moved(range, range.first, range.last, loads.least(), assignment);
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
            const double least = loads.fair(target) * least_part;
            const double room = std::max(loads.room(target), least);
            // A rest that is hardly worth a move of its own goes along.
            const auto last = rest <= room + least ? range.last : inputs.load.end_of(first, range.last, room);
            ranges.push_back(moved(range, first, last, target, assignment));
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
    const auto most_moves = std::max(moves_per_plan, inputs.candidates.size() / owners_per_move);
    for (std::size_t moves = 0; moves < most_moves; ++moves) {
        const auto& most = loads.most();
        const auto& least = loads.least();
        // A server without any keys joins even when nothing is overloaded.
        const bool joins = loads.relative(least) < least_part / 2;
        const double fair = loads.fair(most);
        const bool overloaded =
            loads.relative(most) > tolerated_imbalance && -loads.room(most) > certain_excess * std::sqrt(fair + 1);
        if (!overloaded && !joins) {
            return changed;
        }
        const double excess = std::min(-loads.room(most), loads.room(least));
        const double part = joins ? std::max(excess, loads.fair(least) * least_part * 2) : excess;
        if (part < loads.fair(least) * least_part) {
            return changed;
        }
        // The densest range: the fewest keys change hands for the same load.
        auto best = assignment.ranges.end();
        double best_density = 0;
        for (auto at = assignment.ranges.begin(); at != assignment.ranges.end(); ++at) {
            const double density = inputs.load.of(at->first, at->last) / at->width();
            if (at->owner == most.id && !at->moving() && density > best_density) {
                best = at;
                best_density = density;
            }
        }
        if (best == assignment.ranges.end()) {
            return changed;
        }
        const auto range = *best;
        const double load = inputs.load.of(range.first, range.last);
        if (load <= part) {
            *best = moved(range, range.first, range.last, least, assignment);
            loads.add(most.id, -load);
            loads.add(least.id, load);
            changed = true;
            continue;
        }
        const auto last = inputs.load.end_of(range.first, range.last, part);
        const double taken = inputs.load.of(range.first, last);
        if (last == range.last || taken > 2 * part + loads.fair(least)) {
            // One key carries the load: it cannot be divided.
            return changed;
        }
        best->first = last + 1;
        assignment.ranges.insert(best, moved(range, range.first, last, least, assignment));
        loads.add(most.id, -taken);
        loads.add(least.id, taken);
        changed = true;
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
