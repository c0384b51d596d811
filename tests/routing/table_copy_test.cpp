#include <catch2/catch.hpp>

#include <algorithm>
#include <random>

#include "routing/store_version.hpp"
#include "routing/table_copy.hpp"

namespace lovagetack::routing::testing {
namespace {

table_row row(const std::string& key, std::uint64_t version) {
    return {key, version, false, key + '@' + std::to_string(version)};
}

table_row removal(const std::string& key, std::uint64_t version) {
    return {key, version, true, {}};
}

table_copy copy_of(const std::vector<table_row>& rows, std::uint64_t version) {
    table_copy copy(followed_table::registry);
    copy.apply_whole(rows, version);
    return copy;
}

} // namespace

TEST_CASE("a copy that gets all changes in order has the version of the table") {
    auto reader = copy_of({row("a", 3), row("b", 5)}, 9);
    auto follower = copy_of({row("a", 3), row("b", 5)}, 7);
    REQUIRE(reader.version() == 5);
    const auto change = reader.apply_changes({row("a", 11), removal("b", 12)});
    REQUIRE(change.base == 5);
    REQUIRE(change.version == 12);
    REQUIRE(follower.apply_message(change).rows.size() == 2);
    REQUIRE(follower.version() == 12);
    REQUIRE_FALSE(follower.contains("b"));
    REQUIRE(follower.apply_message(change).rows.empty());
}

TEST_CASE("a copy with a gap keeps its version until the missing changes arrive") {
    auto reader = copy_of({row("a", 3)}, 3);
    auto follower = copy_of({row("a", 3)}, 3);
    (void)reader.apply_changes({row("b", 4)});
    const auto later = reader.apply_changes({row("a", 6)});
    REQUIRE(follower.apply_message(later).rows.size() == 1);
    REQUIRE(follower.version() == 3);
    const auto missing = reader.changes_after(follower.version());
    REQUIRE(missing);
    for (const auto& change : *missing) {
        (void)follower.apply_message(change);
    }
    REQUIRE(follower.version() == reader.version());
    REQUIRE(follower.contains("b"));
}

TEST_CASE("a row that was removed does not return with a late message") {
    auto follower = copy_of({row("a", 3)}, 3);
    (void)follower.apply_message({followed_table::registry, 3, 8, {removal("a", 8)}});
    REQUIRE(follower.apply_message({followed_table::registry, 3, 5, {row("a", 5)}}).rows.empty());
    REQUIRE_FALSE(follower.contains("a"));
    // A server that registers again under the same id has a newer version.
    REQUIRE(follower.apply_message({followed_table::registry, 8, 9, {row("a", 9)}}).rows.size() == 1);
}

TEST_CASE("a whole read tells which rows are gone, and keeps what is newer than the read") {
    auto copy = copy_of({row("a", 3), row("b", 5)}, 5);
    (void)copy.apply_changes({row("c", 20)});
    const auto news = copy.apply_whole({row("b", 5)}, 15);
    REQUIRE(news.rows == std::vector<table_row>{removal("a", 15)});
    REQUIRE(copy.contains("c"));
    REQUIRE(copy.version() == 20);
}

TEST_CASE("changes that are no longer remembered are not passed on in part") {
    auto copy = copy_of({}, 1);
    for (std::uint64_t version = 2; version < 2 + table_copy::most_remembered_rows + 100; ++version) {
        (void)copy.apply_changes({row("a", version)});
    }
    REQUIRE_FALSE(copy.changes_after(5));
    REQUIRE(copy.changes_after(copy.version() - 10)->size() == 10);
    REQUIRE(copy.changes_after(copy.version())->empty());
}

TEST_CASE("a long change is divided into changes that follow each other") {
    table_change change{followed_table::registry, 4, 0, {}};
    for (std::uint64_t version = 5; version < 105; ++version) {
        change.rows.push_back(row("r" + std::to_string(version), version));
    }
    change.version = 104;
    const auto parts = divide(change, 40);
    REQUIRE(parts.size() == 3);
    auto follower = copy_of({}, 4);
    (void)follower.apply_message({followed_table::registry, 0, 4, {}});
    for (const auto& part : parts) {
        REQUIRE(part.rows.size() <= 40);
        (void)follower.apply_message(part);
    }
    REQUIRE(follower.version() == 104);
}

// Messages get lost, arrive twice and out of order; gaps are closed as the readers do it. No row ever goes back.
TEST_CASE("copies agree with the store through lost and late messages") {
    const auto seed = GENERATE(range(1, 41));
    const bool joined = GENERATE(false, true);
    INFO("seed " << seed << " joined " << joined);
    std::mt19937 random(static_cast<std::uint32_t>(seed));
    std::map<std::string, std::uint64_t> store;
    table_copy reader(followed_table::registry);
    table_copy follower(followed_table::registry);
    std::map<std::string, std::uint64_t> seen;
    std::vector<table_change> on_the_way;
    std::uint64_t version = 0;
    const auto deliver = [&](const table_change& change) {
        for (const auto& item : follower.apply_message(change).rows) {
            REQUIRE(item.version > seen[item.key]);
            seen[item.key] = item.version;
        }
    };
    for (int step = 0; step < 300; ++step) {
        const auto key = std::string(1, static_cast<char>('a' + random() % 12));
        ++version;
        if (random() % 4 == 0 && store.contains(key)) {
            store.erase(key);
            on_the_way.push_back(reader.apply_changes({removal(key, version)}));
        } else if (random() % 10 == 0) {
            // The reader has lost the history of changes and reads the table whole.
            store[key] = version;
            std::vector<table_row> rows;
            for (const auto& [name, at] : store) {
                rows.push_back(row(name, at));
            }
            on_the_way.push_back(reader.apply_whole(rows, version));
        } else {
            store[key] = version;
            on_the_way.push_back(reader.apply_changes({row(key, version)}));
        }
        while (!on_the_way.empty() && random() % 2 == 0) {
            const auto at = static_cast<std::ptrdiff_t>(random() % on_the_way.size());
            if (random() % 5 != 0) {
                deliver(on_the_way[static_cast<std::size_t>(at)]);
            }
            if (random() % 5 != 0) {
                on_the_way.erase(on_the_way.begin() + at);
            }
        }
        if (random() % 20 == 0) {
            const auto missing = reader.changes_after(follower.version());
            REQUIRE(missing);
            if (joined && !missing->empty()) {
                for (const auto& part : divide(join(*missing), 3)) {
                    deliver(part);
                }
            } else {
                std::for_each(missing->begin(), missing->end(), deliver);
            }
            REQUIRE(follower.version() == reader.version());
            for (char name = 'a'; name < 'a' + 12; ++name) {
                REQUIRE(follower.contains(std::string(1, name)) == store.contains(std::string(1, name)));
            }
        }
    }
}

// Guards against an instance that never catches up: of a hundred messages one is lost, and the version stays before it.
TEST_CASE("many changes are passed on in few messages") {
    auto reader = copy_of({}, 1);
    table_copy follower = reader;
    for (std::uint64_t version = 2; version < 102; ++version) {
        const auto key = "server-" + std::to_string(version % 30);
        (void)reader.apply_changes({version % 7 == 0 ? removal(key, version) : row(key, version)});
    }
    const auto messages = divide(join(*reader.changes_after(follower.version())), 40);
    REQUIRE(messages.size() == 1);
    (void)follower.apply_message(messages.front());
    REQUIRE(follower.version() == reader.version());
    for (int server = 0; server < 30; ++server) {
        const auto key = "server-" + std::to_string(server);
        REQUIRE(follower.contains(key) == reader.contains(key));
    }
}

// Guards against a backend server in use again after its removal, when the message of its addition arrives last.
TEST_CASE("a row whose removal came before its addition stays removed") {
    auto copy = copy_of({row("a", 3)}, 3);
    REQUIRE(copy.apply_message({followed_table::registry, 7, 9, {removal("b", 9)}}).rows.empty());
    REQUIRE(copy.apply_message({followed_table::registry, 3, 7, {row("b", 7)}}).rows.empty());
    REQUIRE_FALSE(copy.contains("b"));
    REQUIRE(copy.apply_message({followed_table::registry, 9, 12, {row("b", 12)}}).rows.size() == 1);
}

// A change tells only of the rows that its sender knew, and a part of one not of the removals that follow.
TEST_CASE("a copy enters a new era of the store only by a whole read") {
    const auto in_new_era = [](std::uint64_t number) { return store_version(1, number).ordered(); };
    auto reader = copy_of({row("a", 3), row("b", 7)}, 7);
    auto other = copy_of({row("a", 3), row("b", 7), row("c", 9)}, 9);
    const auto change = reader.apply_whole({row("a", in_new_era(3))}, in_new_era(5));
    REQUIRE(reader.version() == in_new_era(5));
    REQUIRE_FALSE(reader.contains("b"));
    REQUIRE(other.apply_message(change).rows.empty());
    REQUIRE(other.version() == 9);
    REQUIRE_FALSE(reader.changes_after(9));
    REQUIRE_FALSE(reader.changes_after(7));
    other.apply_whole({row("a", in_new_era(3))}, in_new_era(5));
    REQUIRE_FALSE(other.contains("c"));
    // A late message of the former era changes nothing.
    REQUIRE(reader.apply_message({followed_table::registry, 7, 9, {row("b", 8), row("c", 9)}}).rows.empty());
    REQUIRE_FALSE(reader.contains("c"));
}

} // namespace lovagetack::routing::testing
