#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/boot_time.hpp"
#include "model/deployment.hpp"
#include "model/grant.hpp"

namespace lovagetack::ownership {

/// A poll without an answer so far.
struct pending_poll {
    base::boot_time sent_at;
    model::epoch epoch;
};

/// A range left out of the polls from this grant version on; older polls may still arrive at the server.
struct revocation {
    model::granted_range range;
    std::uint64_t grant_version = 0;
};

/// The lease of the home instance of a server that does not check grants.
struct granted_home_lease {
    model::instance_id instance;
    base::boot_time ends_at;
};

/// What this instance, as controller, knows of one backend server of its data centre.
struct server_view {
    model::backend_server server;
    bool checks_grants = true;
    bool divided_by_key = false;
    std::chrono::milliseconds maximum_deadline = std::chrono::milliseconds(0);

    base::boot_time next_poll_at;
    std::map<std::uint64_t, pending_poll> pending;

    /// Clock, boot id, draining flag and activity are those of the last answer.
    bool answered = false;
    base::boot_time last_answer_at;
    std::uint64_t last_answered_poll = 0;
    std::chrono::microseconds clock = std::chrono::microseconds(0);
    std::string boot_id;
    std::chrono::microseconds uptime = std::chrono::microseconds(0);
    bool draining = false;
    std::vector<model::range_activity> activity;

    /// Until when a lease that this instance sent may be valid; later than any such lease really ends.
    base::boot_time lease_bound;
    /// Sending time of the latest poll that was accepted under the claimed epoch.
    std::optional<base::boot_time> accepted_at;
    /// A witness refused the claimed epoch.
    bool refused = false;

    /// Whether an accepted answer arrived in this term; the fields below hold only then.
    bool reached = false;
    std::uint64_t answered_version = 0;
    /// Ranges of the last accepted answer.
    std::vector<model::granted_range> reported_ranges;
    /// Ranges of the last poll that replaced them.
    std::vector<model::granted_range> sent_ranges;
    std::vector<revocation> revoked;

    std::optional<granted_home_lease> home_lease;
};

} // namespace lovagetack::ownership
