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

/// First operation id of this module, so that replies to calls of other modules are not taken for its own.
inline constexpr std::uint64_t first_operation = 1ULL << 62U;

/// An idempotency claim that the store has not confirmed yet.
struct claim {
    exchange_id exchange;
    std::string row;
    std::string value;
    std::string id;
    /// Version that the row must have: 0 when absent, else that of a released claim of this instance.
    std::uint64_t expected_version = 0;
    std::int32_t tries = 0;
};

/// A change of a row that this instance claimed: the outcome to store, or its deletion.
struct claim_change {
    std::string row;
    std::uint64_t version = 0;
    std::optional<std::string> value;
};

/// Waiting and running calls to the table `idempotency`.
struct claim_ledger {
    std::deque<claim> waiting;
    std::deque<claim_change> changes;
    std::map<model::operation_id, std::vector<claim>> transactions;
    std::map<model::operation_id, claim> reads;
    std::map<model::operation_id, std::vector<std::string>> deletions;
    /// Rows of claims whose requests certainly did not run, with their versions, until the deletion is confirmed. A
    /// repeat can claim such a row at once.
    std::map<std::string, std::uint64_t> released;
    /// Rows claimed by unfinished requests of this instance.
    std::unordered_map<std::string, exchange_id> rows;
    base::boot_time last_batch;
    std::uint64_t last_operation = 0;
};

} // namespace lovagetack::requests
