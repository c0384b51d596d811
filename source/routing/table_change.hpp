#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace lovagetack::routing {

/// Tables of the store that the instances of a large deployment pass on to each other.
enum class followed_table : std::uint8_t { operators, registry, instances };
inline constexpr std::size_t followed_table_count = 3;
inline constexpr std::array<followed_table, followed_table_count> followed_tables = {
    followed_table::operators, followed_table::registry, followed_table::instances};

/// One row as it stands in the store. The value is in the platform's form.
struct table_row {
    std::string key;
    std::uint64_t version = 0;
    bool removed = false;
    std::string value;

    bool operator==(const table_row&) const = default;
};

/// The changes of a table from one state to the next. The version of a state is that of the newest change in it, so
/// equal versions mean equal tables, and a change whose `base` is not the version of the own copy tells of a gap.
struct table_change {
    followed_table table = followed_table::operators;
    std::uint64_t base = 0;
    std::uint64_t version = 0;
    std::vector<table_row> rows;

    bool operator==(const table_change&) const = default;
};

} // namespace lovagetack::routing
