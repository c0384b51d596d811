#include <catch2/catch.hpp>

#include <random>

#include "base/json.hpp"
#include "routing/assignment_rows.hpp"
#include "routing/lease_row.hpp"

namespace lovagetack::routing::testing {
namespace {

/// The value of a row of 65,536 bytes in base64.
constexpr std::size_t largest_value = 49152;

/// Equal ranges, `ranges_each` for each owner; each tenth one moves.
assignment assignment_of(std::uint32_t owners, std::uint32_t ranges_each) {
    assignment assignment;
    assignment.keeper = model::instance_id("front-north-1");
    const auto count = owners * ranges_each;
    for (std::uint32_t at = 0; at < count; ++at) {
        key_range range;
        range.first = static_cast<std::uint32_t>(std::uint64_t(key_count) * at / count);
        range.last = static_cast<std::uint32_t>(std::uint64_t(key_count) * (at + 1) / count - 1);
        range.owner = model::backend_server_id("i-" + std::to_string(10000000 + at % owners));
        range.owner_born = 1764864000000 + at % owners;
        range.fence = assignment.next_fence++;
        if (at % 10 == 9) {
            range.leaving = model::backend_server_id("i-" + std::to_string(20000000 + at));
            range.leaving_born = 1764864000000;
            range.leaving_fence = at;
        }
        assignment.ranges.push_back(range);
    }
    return assignment;
}

void write(assignment_rows& rows, const assignment& assignment, std::uint64_t version) {
    for (const auto& row : rows.rows_to_write(assignment)) {
        REQUIRE(row.value.size() <= largest_value);
        rows.learn(row, version);
    }
}

} // namespace

TEST_CASE("an assignment of any size is stored in rows of bounded size") {
    const auto [owners, ranges_each] =
        GENERATE(table<std::uint32_t, std::uint32_t>({{1, 1}, {16, 4}, {577, 1}, {577, 4}, {5000, 1}, {5000, 4}}));
    const auto assignment = assignment_of(owners, ranges_each);
    assignment_rows rows(largest_value);
    write(rows, assignment, 7);
    REQUIRE(rows.joined() == assignment);
    REQUIRE(rows.version() == 7);
}

TEST_CASE("a small assignment is one row in the form without parts") {
    const auto assignment = assignment_of(16, 4);
    assignment_rows rows(largest_value);
    const auto written = rows.rows_to_write(assignment);
    REQUIRE(written.size() == 1);
    REQUIRE_FALSE(written.front().part);
    REQUIRE(written.front().value == base::to_json_text(assignment));
}

TEST_CASE("a change of a divided assignment writes the parts that it touches") {
    auto assignment = assignment_of(5000, 1);
    assignment_rows rows(largest_value);
    write(rows, assignment, 7);
    assignment.ranges[2500].owner = model::backend_server_id("i-other");
    assignment.ranges[2500].fence = assignment.next_fence++;
    REQUIRE(rows.rows_to_write(assignment).size() == 2);
    write(rows, assignment, 8);
    REQUIRE(rows.joined() == assignment);
}

TEST_CASE("rows of different writes are not mixed") {
    auto assignment = assignment_of(2000, 1);
    assignment_rows keeper(largest_value);
    assignment_rows reader(largest_value);
    const auto first = keeper.rows_to_write(assignment);
    for (const auto& row : first) {
        keeper.learn(row, 7);
        reader.learn(row, 7);
    }
    for (auto& range : assignment.ranges) {
        range.fence = assignment.next_fence++;
    }
    const auto second = keeper.rows_to_write(assignment);
    // The reader gets the new head first and the parts one by one.
    reader.learn(second.back(), 8);
    for (std::size_t part = 0; part + 1 < second.size(); ++part) {
        REQUIRE_FALSE(reader.joined());
        reader.learn(second[part], 8);
    }
    REQUIRE(reader.joined() == assignment);
    // A late copy of an old row changes nothing.
    for (const auto& row : first) {
        reader.learn(row, 7);
    }
    REQUIRE(reader.joined() == assignment);
}

TEST_CASE("an assignment that shrinks returns to one row, and the parts are removed") {
    assignment_rows rows(largest_value);
    write(rows, assignment_of(2000, 1), 7);
    REQUIRE(rows.divided());
    const auto small = assignment_of(10, 1);
    const auto written = rows.rows_to_write(small);
    REQUIRE(written.size() > 2);
    for (const auto& row : written) {
        REQUIRE(row.value.empty() == row.part.has_value());
        rows.learn(row, 8);
    }
    REQUIRE(rows.joined() == small);
    REQUIRE_FALSE(rows.divided());
}

TEST_CASE("random changes of a divided assignment are read as written") {
    const auto seed = GENERATE(range(1, 9));
    std::mt19937 random(static_cast<std::uint32_t>(seed));
    auto assignment = assignment_of(800, 2);
    assignment_rows keeper(largest_value);
    assignment_rows reader(largest_value);
    for (std::uint64_t version = 1; version < 40; ++version) {
        for (int change = 0; change < 20; ++change) {
            auto& range = assignment.ranges[random() % assignment.ranges.size()];
            range.owner = model::backend_server_id("i-" + std::to_string(random() % 900));
            range.fence = assignment.next_fence++;
        }
        auto rows = keeper.rows_to_write(assignment);
        // The write may have no effect.
        if (random() % 4 == 0) {
            continue;
        }
        std::shuffle(rows.begin(), rows.end(), random);
        for (const auto& row : rows) {
            keeper.learn(row, version);
            reader.learn(row, version);
        }
        REQUIRE(reader.joined() == assignment);
    }
}

TEST_CASE("builds that cannot read parts never take the lease while an assignment is divided") {
    keeper_lease lease;
    lease.holder = model::instance_id("front-north-1");
    lease.until = 12345;
    lease.renewals_until = 21345;
    lease.earlier_renewals_until = 17345;
    keeper_lease as_before;
    REQUIRE(base::from_json_text(lease_text(lease, true), as_before));
    REQUIRE(as_before.until > 1000000000000);
    for (const bool divided : {false, true}) {
        const auto read = read_lease_text(lease_text(lease, divided));
        REQUIRE(read);
        REQUIRE(read->holder == lease.holder);
        REQUIRE(read->until == 12345);
        REQUIRE(read->renewals_until == 21345);
        REQUIRE(read->earlier_renewals_until == 17345);
    }
    REQUIRE(lease_text(lease, false) == base::to_json_text(lease));
}

TEST_CASE("the renewals of a lease without a time for earlier holders may all be theirs") {
    const auto read = read_lease_text(R"({"holder":"front-north-1","until":12345,"renewals_until":21345})");
    REQUIRE(read);
    REQUIRE(read->earlier_renewals_until == 21345);
}

} // namespace lovagetack::routing::testing
