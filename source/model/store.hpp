#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/fields.hpp"
#include "model/ids.hpp"

namespace lovagetack::model {

/// One row of the table service. Version 0 means that the row is absent.
struct row {
    std::string table;
    std::string key;
    std::uint64_t version = 0;
    std::string value;

    bool operator==(const row&) const = default;
};

/// A transaction takes effect only if the row has this version (0: absent).
struct row_condition {
    std::string table;
    std::string key;
    std::uint64_t version = 0;

    bool operator==(const row_condition&) const = default;
};

/// A new value of a row; the row is deleted when value is empty (std::nullopt).
struct row_write {
    std::string table;
    std::string key;
    std::optional<std::string> value;

    bool operator==(const row_write&) const = default;
};

/// Effect: read a row, or all rows of the table when key is empty.
struct store_read {
    operation_id operation;
    std::string table;
    std::string key;

    bool operator==(const store_read&) const = default;
};

/// Effect: write all rows if all conditions hold, else none.
struct store_transaction {
    operation_id operation;
    std::vector<row_condition> conditions;
    std::vector<row_write> writes;

    bool operator==(const store_transaction&) const = default;
};

enum class store_status : std::uint8_t {
    done = 0,
    /// At least one condition did not hold; nothing was written.
    conflict = 1,
    /// No answer: a read failed, a transaction may or may not have taken effect.
    unknown = 2,
};

/// Event: the answer to a read (rows) or a transaction (versions of the written rows, in their order).
struct store_reply {
    operation_id operation;
    store_status status = store_status::unknown;
    std::vector<row> rows;
    std::vector<std::uint64_t> versions;

    bool operator==(const store_reply&) const = default;
};

} // namespace lovagetack::model

template <>
struct lovagetack::base::fields_of<lovagetack::model::row> {
    static constexpr std::string_view name = "row";
    static constexpr auto list =
        std::make_tuple(make_field("table", &model::row::table), make_field("key", &model::row::key),
                        make_field("version", &model::row::version), make_field("value", &model::row::value));
};

template <>
struct lovagetack::base::fields_of<lovagetack::model::row_condition> {
    static constexpr std::string_view name = "row_condition";
    static constexpr auto list = std::make_tuple(make_field("table", &model::row_condition::table),
                                                 make_field("key", &model::row_condition::key),
                                                 make_field("version", &model::row_condition::version));
};

template <>
struct lovagetack::base::fields_of<lovagetack::model::row_write> {
    static constexpr std::string_view name = "row_write";
    static constexpr auto list =
        std::make_tuple(make_field("table", &model::row_write::table), make_field("key", &model::row_write::key),
                        make_field("value", &model::row_write::value));
};

template <>
struct lovagetack::base::fields_of<lovagetack::model::store_read> {
    static constexpr std::string_view name = "store_read";
    static constexpr auto list =
        std::make_tuple(make_field("operation", &model::store_read::operation),
                        make_field("table", &model::store_read::table), make_field("key", &model::store_read::key));
};

template <>
struct lovagetack::base::fields_of<lovagetack::model::store_transaction> {
    static constexpr std::string_view name = "store_transaction";
    static constexpr auto list = std::make_tuple(make_field("operation", &model::store_transaction::operation),
                                                 make_field("conditions", &model::store_transaction::conditions),
                                                 make_field("writes", &model::store_transaction::writes));
};

template <>
struct lovagetack::base::fields_of<lovagetack::model::store_reply> {
    static constexpr std::string_view name = "store_reply";
    static constexpr auto list = std::make_tuple(
        make_field("operation", &model::store_reply::operation), make_field("status", &model::store_reply::status),
        make_field("rows", &model::store_reply::rows), make_field("versions", &model::store_reply::versions));
};
