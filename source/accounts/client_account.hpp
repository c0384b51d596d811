#pragma once

#include <cstdint>
#include <optional>

#include "model/ids.hpp"

namespace lovagetack::accounts {

/// Requests that a client account may have run, over all instances together.
struct allowance {
    /// Requests per second; 0 for no limit.
    double rate = 0;
    /// Requests that may come at once after a time without any.
    double burst = 0;

    [[nodiscard]] bool is_limited() const { return rate > 0; }
    bool operator==(const allowance&) const = default;
};

/// One customer of the operators, on whose behalf callers send requests.
struct client_account {
    model::client_account_id name;
    /// Goes before the priority of the route; 0 is the highest.
    std::optional<std::int32_t> priority;
    accounts::allowance allowance;

    bool operator==(const client_account&) const = default;
};

} // namespace lovagetack::accounts
