#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

/// Constants of the allowances of client accounts; reasons that need more than a line are in
/// docs/design/client-accounts.md.
namespace lovagetack::routing {

using namespace std::chrono_literals;

/// Client accounts are hashed into this many groups, each with counters of its own, so that the work of counting and
/// the loss of a counter concern a part of the accounts. All instances have to agree on it.
inline constexpr std::uint32_t account_groups = 8;
/// How long a counter goes on after its last report that the keeper has heard: longer than it takes to replace a lost
/// keeper. The slice of a lost counter is not used for this long.
inline constexpr std::chrono::milliseconds counter_permit = 6000ms;
inline constexpr std::chrono::microseconds counter_report_period = 1s;
/// Period of the search for counters to replace; it reads each role.
inline constexpr std::chrono::microseconds counter_plan_period = 100ms;
/// Period in which the keeper tells all instances of unchanged roles, in case the message of a change got lost.
inline constexpr std::chrono::microseconds counter_roles_period = 2s;

/// Tokens can be used for this long after they were asked for. The bound of an allowance is exceeded by what is issued
/// in this time.
inline constexpr std::chrono::microseconds token_life = 400ms;
/// Share of the requests expected within the life of a token that are asked for in advance. Unused tokens are lost.
inline constexpr double expected_use_share = 0.75;
/// Time in which the memory of an account's former requests falls to a part of 1/e.
inline constexpr std::chrono::microseconds demand_memory = 1s;
/// A counter that has not answered for this long is passed over for the second time.
inline constexpr std::chrono::microseconds counter_silence = 60ms;
inline constexpr std::chrono::microseconds counter_suspicion = 500ms;
/// A request is refused when no counter has answered for it within this time.
inline constexpr std::chrono::microseconds longest_allowance_wait = 300ms;
/// Callers over the allowance return within this time after a token is expected, not all at once.
inline constexpr std::chrono::milliseconds over_allowance_spread = 200ms;
/// Most client accounts with a metric of their own.
inline constexpr std::size_t shown_accounts = 20;
/// Shortest time between two log lines about requests over an allowance, of which a caller can send any number.
inline constexpr std::chrono::microseconds allowance_log_period = 1s;

} // namespace lovagetack::routing
