#include <catch2/catch.hpp>

#include <algorithm>
#include <map>

#include "routing/plan.hpp"

namespace lovagetack::routing::testing {
namespace {

std::vector<candidate> equal_candidates(int count) {
    std::vector<candidate> candidates;
    for (int number = 0; number < count; ++number) {
        candidates.push_back({model::backend_server_id("server-" + std::to_string(number)), 1, 1});
    }
    return candidates;
}

plan_inputs inputs_with(const std::vector<candidate>& candidates, std::vector<std::uint32_t> keys) {
    return {candidates, [](const key_range&) { return false; }, [](const key_range&) { return move_stage::granted; },
            load_estimate(std::move(keys))};
}

/// Marks all moves as finished.
void finish_moves(assignment& assignment) {
    for (auto& range : assignment.ranges) {
        range.leaving = {};
        range.leaving_born = 0;
        range.leaving_fence = 0;
    }
}

void require_whole(const assignment& assignment) {
    std::uint32_t next = 0;
    for (const auto& range : assignment.ranges) {
        REQUIRE(range.first == next);
        REQUIRE(range.last >= range.first);
        next = range.last + 1;
    }
    REQUIRE(next == key_count);
}

/// Requests per owner, without those for the key `except`.
std::map<std::string, int> loads_of(const assignment& assignment, const std::vector<std::uint32_t>& keys,
                                    std::uint32_t except) {
    std::map<std::string, int> loads;
    for (const auto key : keys) {
        if (key != except) {
            ++loads[find_range(assignment, key)->owner.value()];
        }
    }
    return loads;
}

} // namespace

// Load: one key with more requests than a server can serve, and a busy range elsewhere. The key cannot be divided, but
// the other keys of its owner can move, and the load of the other owners still has to be balanced.
TEST_CASE("one key that is too busy does not stop the balance of the others") {
    constexpr std::uint32_t hot = 19994;
    std::vector<std::uint32_t> keys(4000, hot);
    for (std::uint32_t number = 0; number < 4000; ++number) {
        keys.push_back(number % 2 == 0 ? 40000 + number % 1000 : number * 16 % key_count);
    }
    const auto candidates = equal_candidates(20);
    auto assignment = first_assignment(candidates);
    const auto inputs = inputs_with(candidates, keys);
    for (int round = 0; round < 12; ++round) {
        (void)balance(assignment, inputs);
        finish_moves(assignment);
        require_whole(assignment);
    }
    const auto* const range = find_range(assignment, hot);
    REQUIRE(range->width() == 1);
    const auto loads = loads_of(assignment, keys, hot);
    // Its owner has almost no other load.
    const auto beside = loads.find(range->owner.value());
    REQUIRE((beside == loads.end() || beside->second < 60));
    // 4000 requests on 19 others: no owner has more than twice the fair share.
    for (const auto& [owner, load] : loads) {
        INFO(owner);
        REQUIRE(load < 2 * 4000 / 19);
    }
}

// Load: few requests, as just after the start of a deployment. Their uneven spread over the servers is random.
TEST_CASE("a few samples move no keys") {
    const auto candidates = equal_candidates(100);
    auto assignment = first_assignment(candidates);
    std::vector<std::uint32_t> keys;
    for (std::uint32_t number = 0; number < 120; ++number) {
        keys.push_back(number * 7919 % key_count);
    }
    REQUIRE_FALSE(balance(assignment, inputs_with(candidates, keys)));
}

// Guards against a new server that gets no keys while no owner is overloaded.
TEST_CASE("a server without keys gets some") {
    const auto candidates = equal_candidates(5);
    auto assignment = first_assignment({candidates.begin(), candidates.end() - 1});
    std::vector<std::uint32_t> keys;
    for (std::uint32_t number = 0; number < 500; ++number) {
        keys.push_back(number * 131 % key_count);
    }
    REQUIRE(balance(assignment, inputs_with(candidates, keys)));
    require_whole(assignment);
    REQUIRE(std::any_of(assignment.ranges.begin(), assignment.ranges.end(),
                        [](const key_range& range) { return range.owner.value() == "server-4"; }));
}

} // namespace lovagetack::routing::testing
