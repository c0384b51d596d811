#pragma once

#include <chrono>
#include <cstdint>
#include <variant>
#include <vector>

#include "base/boot_time.hpp"
#include "model/ids.hpp"
#include "routing/accounts/counter_role.hpp"

namespace lovagetack::routing {

// Messages between instances about the allowances of client accounts. Each may get lost or come late.

/// The keeper tells who counts. To a counter it is also the permit to act.
struct counter_roles {
    model::instance_id keeper;
    /// Version of the lease's row when the keeper took it over. The roles of a higher term win.
    std::uint64_t term = 0;
    /// Grows with each change of the roles in a term.
    std::uint64_t sequence = 0;
    /// Number of equal slices of each allowance.
    std::uint32_t slices = 1;
    std::vector<counter_role> roles;
    /// The run of the receiver that sent the report below; 0 if the message is no permit.
    std::uint64_t receiver_incarnation = 0;
    /// The receiver's clock in its last report. It may count until `valid_for` after this time, however long the
    /// message was on its way.
    base::boot_time reported_at;
    std::chrono::milliseconds valid_for{0};
};

/// A counter asks the keeper for the next permit.
struct counter_report {
    model::instance_id counter;
    std::uint64_t incarnation = 0;
    /// The counter's clock.
    base::boot_time reported_at;
    /// This run issues no more tokens.
    bool ended = false;
};

/// Asks a counter for tokens, each of which admits one request.
struct token_request {
    model::instance_id sender;
    std::uint64_t incarnation = 0;
    /// Unique within the run of the sender.
    std::uint64_t ask = 0;
    std::uint32_t slice = 0;
    model::client_account_id account;
    std::uint32_t count = 0;
};

struct token_answer {
    std::uint64_t ask = 0;
    std::uint64_t incarnation = 0;
    /// False if the asked instance does not count the account's slice, or may not do so now.
    bool counts = true;
    std::uint32_t granted = 0;
    /// Time until there is a token, if none was granted.
    std::chrono::milliseconds wait{0};
};

using allowance_message = std::variant<counter_roles, counter_report, token_request, token_answer>;

/// Event: a message of another instance.
struct allowance_message_received {
    allowance_message message;
};

/// Effect.
struct send_allowance_message {
    std::vector<model::instance_id> receivers;
    allowance_message message;
};

} // namespace lovagetack::routing
