#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "routing/assignment.hpp"

namespace lovagetack::routing {

/// A row that holds an assignment, or a part of one.
struct assignment_row {
    /// First key of the ranges in the row; no value for the head, which holds the whole assignment if that is small.
    std::optional<std::uint32_t> part;
    /// Empty for a part that is to be removed.
    std::string value;

    bool operator==(const assignment_row&) const = default;
};

/// Divides the assignment of one service into rows of bounded size, and joins them again.
///
/// A small assignment is one row, the head, in the form that builds before the division read. For a larger one the head
/// lists the parts with the revision of each, and joining fails until a part with each listed revision is known, so
/// that rows of different writes are never mixed.
class assignment_rows {
public:
    /// The largest value of a row, in bytes.
    explicit assignment_rows(std::size_t largest_value) : largest_value_(largest_value) {}

    /// Takes over a row of the store, unless it is known in this or a newer version.
    void learn(const assignment_row& row, std::uint64_t version);

    /// The assignment; nothing while rows are missing or cannot be read.
    [[nodiscard]] std::optional<assignment> joined() const;
    /// Version of the head.
    [[nodiscard]] std::uint64_t version() const { return head_.version; }
    /// Whether the head lists parts.
    [[nodiscard]] bool divided() const { return !listed_parts().empty(); }

    /// The rows to write so that the store holds the assignment: the head, and the parts that differ from the known
    /// ones.
    [[nodiscard]] std::vector<assignment_row> rows_to_write(const assignment& assignment) const;

    /// Parts are kept below this size, in bytes, since each change writes the parts that it touches.
    static constexpr std::size_t usual_part_bytes = 12288;

private:
    struct known_row {
        std::uint64_t version = 0;
        std::string value;
    };
    /// First key of each part, with its revision.
    using part_list = std::map<std::uint32_t, std::uint64_t>;

    [[nodiscard]] part_list listed_parts() const;
    [[nodiscard]] std::size_t part_bytes() const { return std::min(usual_part_bytes, largest_value_); }

    std::size_t largest_value_;
    known_row head_;
    std::map<std::uint32_t, known_row> parts_;
};

} // namespace lovagetack::routing
