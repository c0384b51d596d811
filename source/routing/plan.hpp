#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <utility>
#include <vector>

#include "base/boot_time.hpp"
#include "model/ids.hpp"
#include "routing/assignment.hpp"

namespace lovagetack::routing {

/// A backend server that can own keys.
struct candidate {
    model::backend_server_id id;
    std::uint64_t born = 0;
    /// Requests that it serves per unit of time, relative to the other candidates.
    double capacity = 1;
};

/// Estimates the load of ranges from recently requested keys, in samples.
class load_estimate {
public:
    /// `keys` need not be sorted.
    explicit load_estimate(std::vector<std::uint32_t> keys);

    /// Load of the keys from first to last, both inclusive.
    [[nodiscard]] double of(std::uint32_t first, std::uint32_t last) const;
    [[nodiscard]] double total() const;
    [[nodiscard]] std::size_t samples() const { return keys_.size(); }

    /// The last key of the shortest part from `first` on that carries the load, at most `last`.
    [[nodiscard]] std::uint32_t end_of(std::uint32_t first, std::uint32_t last, double load) const;

private:
    std::vector<std::uint32_t> keys_;
};

/// Progress of the move of a range.
enum class move_stage : std::uint8_t {
    unknown,
    /// The new owner has not been sent a grant yet.
    begun,
    /// The new owner may hold the keys, and the leaving one no longer does.
    granted,
};

/// Inputs of a plan for one service.
struct plan_inputs {
    std::vector<candidate> candidates;
    /// The owner's grant must end: the server is leaving, is lost, or has restarted.
    std::function<bool(const key_range&)> must_move;
    std::function<move_stage(const key_range&)> stage;
    load_estimate load;
};

/// The first assignment: equal shares for all candidates. Empty without candidates.
[[nodiscard]] assignment first_assignment(const std::vector<candidate>& candidates, std::uint64_t first_fence = 1);

/// Moves the ranges that must move to the least loaded candidates; false if nothing changed.
[[nodiscard]] bool move_lost_ranges(assignment& assignment, const plan_inputs& inputs);

/// Moves the busiest parts of overloaded owners to the least loaded ones; false if nothing changed. Handles load
/// on a few neighbouring keys and servers that have no keys yet.
[[nodiscard]] bool balance(assignment& assignment, const plan_inputs& inputs);

/// Merges neighbouring ranges of one owner if there are more than `most_ranges`; false if nothing changed.
[[nodiscard]] bool merge_ranges(assignment& assignment, std::size_t most_ranges);

} // namespace lovagetack::routing
