#pragma once

#include <cstddef>
#include <vector>

#include "model/ids.hpp"
#include "ownership/departure.hpp"

namespace lovagetack::ownership {

/// What decisions depend on of one backend server, besides its ranges.
struct server_condition {
    bool reached = false;
    bool releases_ranges = false;
    bool silent = false;
    bool expired = false;
    bool lease_over = false;

    bool operator==(const server_condition&) const = default;
};

/// The time-dependent inputs of the decisions about ranges, in a form that can be compared.
struct decision_inputs {
    model::epoch epoch;
    bool controls = false;
    bool may_write = false;
    /// activation_wait and adoption_grace since the start of the term are over.
    bool activation_wait_over = false;
    bool adoption_grace_over = false;
    std::vector<server_condition> servers;
    std::vector<departure> departures;
    std::size_t withdrawn = 0;

    bool operator==(const decision_inputs&) const = default;
};

} // namespace lovagetack::ownership
