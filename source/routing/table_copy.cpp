#include "routing/table_copy.hpp"

#include <algorithm>
#include <set>
#include <string_view>

#include "routing/store_version.hpp"

namespace lovagetack::routing {

bool table_copy::is_news(const table_row& row) const {
    const auto known = versions_.find(row.key);
    const auto removed = removed_versions_.find(row.key);
    if (removed != removed_versions_.end() && removed->second >= row.version) {
        return false;
    }
    if (row.removed) {
        return known != versions_.end() && known->second <= row.version;
    }
    return known == versions_.end() || known->second < row.version;
}

void table_copy::take_over(const table_row& row) {
    if (row.removed) {
        versions_.erase(row.key);
        removed_versions_[row.key] = row.version;
        return;
    }
    removed_versions_.erase(row.key);
    versions_[row.key] = row.version;
}

void table_copy::take_over_news(const std::vector<table_row>& rows, std::vector<table_row>& news) {
    for (const auto& row : rows) {
        if (is_news(row)) {
            take_over(row);
            news.push_back(row);
        } else if (row.removed && !versions_.contains(row.key)) {
            // The message of the row's addition may still come.
            auto& removed = removed_versions_[row.key];
            removed = std::max(removed, row.version);
        }
    }
}

void table_copy::remember(const table_change& change) {
    changes_.push_back(change);
    remembered_rows_ += change.rows.size();
    while (remembered_rows_ > most_remembered_rows && changes_.size() > 1) {
        remembered_rows_ -= changes_.front().rows.size();
        changes_.pop_front();
    }
}

table_change table_copy::apply_changes(const std::vector<table_row>& rows) {
    table_change news{table_, version_, version_, {}};
    for (const auto& row : rows) {
        news.version = std::max(news.version, row.version);
    }
    take_over_news(rows, news.rows);
    if (news.version > version_) {
        version_ = news.version;
        remember(news);
    }
    return news;
}

table_change table_copy::apply_whole(const std::vector<table_row>& rows, std::uint64_t version) {
    table_change news{table_, version_, version_, {}};
    std::set<std::string> read;
    for (const auto& row : rows) {
        read.insert(row.key);
        news.version = std::max(news.version, row.version);
    }
    take_over_news(rows, news.rows);
    std::vector<table_row> removed;
    for (const auto& [key, known] : versions_) {
        if (!read.contains(key) && known <= version) {
            removed.push_back({key, version, true, {}});
        }
    }
    for (const auto& row : removed) {
        take_over(row);
        news.rows.push_back(row);
        news.version = std::max(news.version, version);
    }
    std::stable_sort(news.rows.begin(), news.rows.end(),
                     [](const table_row& left, const table_row& right) { return left.version < right.version; });
    if (news.version > version_) {
        version_ = news.version;
        remember(news);
    }
    return news;
}

table_change table_copy::apply_message(const table_change& change) {
    table_change news = change;
    news.rows.clear();
    if (era_of(change.version) != era_of(version_) || era_of(change.base) != era_of(version_)) {
        return news;
    }
    take_over_news(change.rows, news.rows);
    if (change.base <= version_ && change.version > version_) {
        version_ = change.version;
        remember(change);
    }
    return news;
}

std::optional<std::vector<table_change>> table_copy::changes_after(std::uint64_t version) const {
    std::vector<table_change> found;
    if (era_of(version) != era_of(version_)) {
        return std::nullopt;
    }
    bool complete = version >= version_;
    for (const auto& change : changes_) {
        if (change.version <= version) {
            continue;
        }
        complete = complete || change.base <= version;
        found.push_back(change);
    }
    if (!complete) {
        return std::nullopt;
    }
    return found;
}

table_change join(const std::vector<table_change>& changes) {
    std::map<std::string_view, const table_row*> newest;
    for (const auto& change : changes) {
        for (const auto& row : change.rows) {
            auto& known = newest[row.key];
            if (known == nullptr || known->version <= row.version) {
                known = &row;
            }
        }
    }
    table_change joined{changes.front().table, changes.front().base, changes.back().version, {}};
    for (const auto& [key, row] : newest) {
        joined.rows.push_back(*row);
    }
    std::stable_sort(joined.rows.begin(), joined.rows.end(),
                     [](const table_row& left, const table_row& right) { return left.version < right.version; });
    return joined;
}

std::vector<table_change> divide(const table_change& change, std::size_t most_rows) {
    std::vector<table_change> parts;
    auto begin = change.rows.begin();
    auto base = change.base;
    while (change.rows.end() - begin > static_cast<std::ptrdiff_t>(most_rows)) {
        // Rows of one version are removals that a whole read found; a part must not end among them.
        auto end = begin + static_cast<std::ptrdiff_t>(most_rows);
        while (end != change.rows.end() && end->version == std::prev(end)->version) {
            ++end;
        }
        if (end == change.rows.end()) {
            break;
        }
        const auto version = std::max(base, std::prev(end)->version);
        parts.push_back({change.table, base, version, {begin, end}});
        base = version;
        begin = end;
    }
    parts.push_back({change.table, base, change.version, {begin, change.rows.end()}});
    return parts;
}

} // namespace lovagetack::routing
