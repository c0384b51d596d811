#include "stand_ins/platform_store.hpp"

#include <utility>

namespace lovagetack::stand_ins {

std::optional<model::row> platform_store::read(const std::string& table, const std::string& key) const {
    const auto rows = tables_.find(table);
    if (rows == tables_.end()) {
        return std::nullopt;
    }
    const auto found = rows->second.find(key);
    if (found == rows->second.end()) {
        return std::nullopt;
    }
    return found->second;
}

std::vector<model::row> platform_store::list(const std::string& table) const {
    std::vector<model::row> rows;
    const auto found = tables_.find(table);
    if (found == tables_.end()) {
        return rows;
    }
    for (const auto& [key, row] : found->second) {
        rows.push_back(row);
    }
    return rows;
}

transaction_outcome platform_store::execute_transaction(base::boot_time now,
                                                        std::vector<model::row_condition> conditions,
                                                        std::vector<model::row_write> writes) {
    transaction_outcome outcome;
    for (const auto& condition : conditions) {
        const auto present = version_of(condition.table, condition.key);
        if (present != condition.version) {
            outcome.conflicts.push_back({condition.table, condition.key, present});
        }
    }
    outcome.applied = outcome.conflicts.empty();
    if (outcome.applied) {
        for (const auto& row : writes) {
            outcome.versions.push_back(write(row));
        }
    }
    transaction_record record;
    record.sequence = static_cast<std::int64_t>(history_.size());
    record.time = now;
    record.applied = outcome.applied;
    record.conditions = std::move(conditions);
    record.writes = std::move(writes);
    record.versions = outcome.versions;
    history_.push_back(std::move(record));
    return outcome;
}

void platform_store::mark_answer_lost() {
    history_.back().answer_lost = true;
}

std::uint64_t platform_store::version_of(const std::string& table, const std::string& key) const {
    const auto row = read(table, key);
    return row ? row->version : 0;
}

std::uint64_t platform_store::write(const model::row_write& write) {
    ++latest_version_;
    if (!write.value) {
        tables_[write.table].erase(write.key);
        return 0;
    }
    tables_[write.table][write.key] = model::row{write.table, write.key, latest_version_, *write.value};
    return latest_version_;
}

} // namespace lovagetack::stand_ins
