#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "routing/table_change.hpp"

namespace lovagetack::routing {

/// Versions of the rows of one table, and its last changes. No row ever returns to an older version, whatever the order
/// in which answers of the store and messages of other instances arrive.
class table_copy {
public:
    explicit table_copy(followed_table table) : table_(table) {}

    /// Takes over changed rows from the store, which follow the known state without a gap. Returns the rows that are
    /// news, as a change; it has no rows if there are none.
    table_change apply_changes(const std::vector<table_row>& rows);

    /// Takes over a whole read of the table; `version` is the store's version when it began. Rows that were not read
    /// are removed unless they are newer than the read. Returns the news as a change.
    table_change apply_whole(const std::vector<table_row>& rows, std::uint64_t version);

    /// Takes over a change that another instance has sent. Rows are taken over even if changes before them are missing,
    /// but the version of the table grows only without a gap. Changes of another era of the store are not taken over:
    /// it is entered by a whole read, since a change tells only of rows that its sender knew.
    table_change apply_message(const table_change& change);

    [[nodiscard]] std::uint64_t version() const { return version_; }
    [[nodiscard]] bool contains(const std::string& key) const { return versions_.contains(key); }

    /// The changes after a version, oldest first; nothing if they are no longer known.
    [[nodiscard]] std::optional<std::vector<table_change>> changes_after(std::uint64_t version) const;

    /// Rows in the remembered changes; older ones are dropped.
    static constexpr std::size_t most_remembered_rows = 2048;

private:
    [[nodiscard]] bool is_news(const table_row& row) const;
    void take_over(const table_row& row);
    /// Takes over the rows that are news and appends them to `news`.
    void take_over_news(const std::vector<table_row>& rows, std::vector<table_row>& news);
    void remember(const table_change& change);

    followed_table table_;
    std::uint64_t version_ = 0;
    std::map<std::string, std::uint64_t> versions_;
    /// Versions in which rows were removed, so that late copies of them are recognised.
    std::map<std::string, std::uint64_t> removed_versions_;
    std::deque<table_change> changes_;
    std::size_t remembered_rows_ = 0;
};

/// Joins changes that follow each other into one, with each row as the last of them has it. At least one is required.
[[nodiscard]] table_change join(const std::vector<table_change>& changes);

/// Divides a change into changes of at most `most_rows` rows that follow each other.
[[nodiscard]] std::vector<table_change> divide(const table_change& change, std::size_t most_rows);

} // namespace lovagetack::routing
