#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/boot_time.hpp"
#include "model/ids.hpp"
#include "routing/accounts/counter_role.hpp"
#include "routing/accounts/token_bucket.hpp"

namespace lovagetack::routing {

/// The keeper's record of one run of a counter.
struct counter_record {
    base::boot_time heard_at;
    /// The counter's clock in its newest report.
    base::boot_time reported_at;
    /// By this keeper's permits it may count until this time of the keeper's clock.
    base::boot_time permitted_until;
    /// It has told that it issues no more tokens.
    bool ended = false;
};

/// The keeper's part: who is to count.
struct counter_plan {
    /// The roles as they are to be; the row of the lease may still show others.
    std::vector<counter_role> wanted;
    /// The roles that all instances are told: those that the row shows and that are still wanted.
    std::vector<counter_role> told;
    std::uint64_t sequence = 0;
    /// The store has confirmed a write of this term, so that no write of an earlier one can be done any more.
    bool confirmed = false;
    /// By instance and incarnation.
    std::map<std::pair<model::instance_id, std::uint64_t>, counter_record> counters;
    /// The runs of instances that were told of the roles.
    std::map<model::instance_id, std::uint64_t> told_runs;
    base::boot_time told_at;
    base::boot_time next_run;
};

/// What an instance knows of one slice of an account's allowance.
struct slice_view {
    /// No token is expected before this time.
    base::boot_time dry_until;
    /// The newest request for tokens that is not answered; 0 if there is none.
    std::uint64_t ask = 0;
    base::boot_time asked_at;
};

/// Tokens of one account at this instance, and the requests that wait for some.
struct token_stock {
    /// Ends of life and numbers of tokens, in the order of the ends.
    std::deque<std::pair<base::boot_time, std::uint32_t>> tokens;
    std::deque<std::uint64_t> waiting;
    std::map<std::uint32_t, slice_view> slices;
    /// Requests lately, each with a weight that falls with its age.
    double demand = 0;
    base::boot_time demand_at;
    /// Requests refused since the start.
    std::uint64_t refused = 0;
};

struct pending_ask {
    model::client_account_id account;
    std::uint32_t slice = 0;
    base::boot_time sent_at;
};

/// This instance as a counter, and as one that asks counters.
struct allowance_state {
    model::instance_id keeper;
    std::uint64_t term = 0;
    std::uint64_t sequence = 0;
    std::uint32_t slices = 1;
    /// The slice of the own data centre, which is asked first.
    std::uint32_t first_slice = 0;
    std::vector<counter_role> roles;

    /// This instance may count until this time.
    base::boot_time permitted_until;
    base::boot_time next_report;
    /// Its own roles, by slice and group, and since when it has counted for them without a break.
    std::map<std::pair<std::uint32_t, std::uint32_t>, base::boot_time> counting;
    std::map<std::pair<std::uint32_t, model::client_account_id>, token_bucket> buckets;

    std::map<model::client_account_id, token_stock> stocks;
    std::uint64_t last_ask = 0;
    std::unordered_map<std::uint64_t, pending_ask> asks;
    /// Counters that did not answer, and until when they are passed over.
    std::map<model::instance_id, base::boot_time> suspects;
    /// Accounts with a metric of their own: the first that were refused requests.
    std::set<model::client_account_id> shown;
    /// When refusals may be logged next, and those since the last line.
    base::boot_time next_log;
    std::uint64_t unlogged = 0;
};

} // namespace lovagetack::routing
