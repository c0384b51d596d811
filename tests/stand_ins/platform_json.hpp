#pragma once

#include <optional>
#include <string>
#include <vector>

#include "model/store.hpp"
#include "stand_ins/platform_store.hpp"

namespace lovagetack::stand_ins {

struct transaction_request {
    std::vector<model::row_condition> conditions;
    std::vector<model::row_write> writes;
};

/// Parses the body of POST /v1/transactions; nullopt when it is malformed. Versions may be numbers or decimal strings.
[[nodiscard]] std::optional<transaction_request> read_transaction(const std::string& body);

/// JSON bodies of the table service's answers, with versions as numbers.
[[nodiscard]] std::string row_json(const model::row& row);
[[nodiscard]] std::string rows_json(const std::vector<model::row>& rows);
[[nodiscard]] std::string versions_json(const std::vector<std::uint64_t>& versions);
[[nodiscard]] std::string conflicts_json(const std::vector<model::row_condition>& conflicts);

} // namespace lovagetack::stand_ins
