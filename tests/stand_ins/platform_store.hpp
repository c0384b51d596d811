#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/boot_time.hpp"
#include "base/fields.hpp"
#include "model/store.hpp"

namespace lovagetack::stand_ins {

/// One transaction that the table service received.
struct transaction_record {
    std::int64_t sequence = 0;
    base::boot_time time;
    bool applied = false;
    bool answer_lost = false;
    std::vector<model::row_condition> conditions;
    std::vector<model::row_write> writes;
    /// New versions of the written rows, in the order of writes; 0 for a deleted row. Empty when not applied.
    std::vector<std::uint64_t> versions;
};

struct transaction_outcome {
    bool applied = false;
    std::vector<std::uint64_t> versions;
    /// Conditions that did not hold, with the current versions.
    std::vector<model::row_condition> conflicts;
};

/// Rows of the table service. Versions come from one counter, so that a row that is deleted and written again has a
/// higher version than before.
class platform_store {
public:
    [[nodiscard]] std::optional<model::row> read(const std::string& table, const std::string& key) const;
    [[nodiscard]] std::vector<model::row> list(const std::string& table) const;

    /// Writes all rows if all conditions hold, else none; records the transaction in both cases.
    transaction_outcome execute_transaction(base::boot_time now, std::vector<model::row_condition> conditions,
                                            std::vector<model::row_write> writes);
    /// Marks the latest transaction as not answered.
    void mark_answer_lost();

    [[nodiscard]] const std::vector<transaction_record>& history() const { return history_; }

private:
    [[nodiscard]] std::uint64_t version_of(const std::string& table, const std::string& key) const;
    std::uint64_t write(const model::row_write& write);

    std::map<std::string, std::map<std::string, model::row>> tables_;
    std::vector<transaction_record> history_;
    std::uint64_t latest_version_ = 0;
};

} // namespace lovagetack::stand_ins

template <>
struct lovagetack::base::fields_of<lovagetack::stand_ins::transaction_record> {
    static constexpr std::string_view name = "transaction_record";
    static constexpr auto list = std::make_tuple(make_field("sequence", &stand_ins::transaction_record::sequence),
                                                 make_field("time", &stand_ins::transaction_record::time),
                                                 make_field("applied", &stand_ins::transaction_record::applied),
                                                 make_field("answer_lost", &stand_ins::transaction_record::answer_lost),
                                                 make_field("conditions", &stand_ins::transaction_record::conditions),
                                                 make_field("writes", &stand_ins::transaction_record::writes),
                                                 make_field("versions", &stand_ins::transaction_record::versions));
};
