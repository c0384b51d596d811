#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/boot_time.hpp"
#include "model/ids.hpp"
#include "model/store.hpp"
#include "requests/event.hpp"

namespace lovagetack::requests {

/// Operation ids of this module start here, so that replies to other modules' calls are not taken for its own.
inline constexpr std::uint64_t first_operation = 1ULL << 62U;

/// One idempotency claim on its way to the store.
struct claim {
    exchange_id exchange;
    std::string row;
    std::string value;
    std::string id;
    /// Version that the row must have: 0 when absent, else that of a released claim of this instance.
    std::uint64_t expected_version = 0;
    std::int32_t tries = 0;
};

/// A later change of an own row: the stored outcome, or its deletion.
struct claim_change {
    std::string row;
    std::uint64_t version = 0;
    std::optional<std::string> value;
};

/// All calls to the table `idempotency` that are waiting or under way.
struct claim_ledger {
    std::deque<claim> waiting;
    std::deque<claim_change> changes;
    std::map<model::operation_id, std::vector<claim>> transactions;
    std::map<model::operation_id, claim> reads;
    std::map<model::operation_id, std::vector<std::string>> deletions;
    /// Rows of claims whose requests surely did not run, with their versions, until they are deleted. A repeat takes
    /// such a row over at once.
    std::map<std::string, std::uint64_t> released;
    /// Rows claimed by requests that are under way here.
    std::unordered_map<std::string, exchange_id> rows;
    base::boot_time last_batch;
    std::uint64_t last_operation = 0;
};

} // namespace lovagetack::requests
