#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <utility>

#include "base/boot_time.hpp"
#include "model/deployment.hpp"
#include "model/ids.hpp"
#include "requests/event.hpp"
#include "requests/latency_window.hpp"
#include "requests/limits.hpp"
#include "requests/ramp.hpp"

namespace lovagetack::requests {

/// Knowledge of this instance about one backend server.
struct server_record {
    model::backend_server configuration;
    /// False once a newer configuration no longer lists it. The record is kept until its last attempt is over.
    bool configured = true;

    /// Empty while its data centre has no live instance.
    model::instance_id home;
    base::boot_time home_since;
    /// Connection limit last sent to the shell; 0 while another instance is home.
    std::int32_t connection_limit = 0;

    std::string boot_id;
    bool draining = false;
    /// An operator took it or its data centre out of service.
    bool ordered_out = false;
    base::boot_time avoid_until;

    /// Attempts sent by this instance to the backend server itself.
    std::int32_t outstanding = 0;
    /// Slots of cancelled attempts that the backend server may still execute.
    std::int32_t held_slots = 0;
    /// Attempts relayed to its home instance.
    std::int32_t relayed = 0;
    /// Queued requests by arrival.
    std::set<std::pair<base::boot_time, exchange_id>> queue;

    requests::ramp ramp;
    /// Time to the header of the answer, as seen from this instance.
    latency_window latency = latency_window(straggler_window, 1);
    /// Time that a request takes a slot, to estimate the wait in the queue.
    latency_window slot_time = latency_window(straggler_window, 1);
    /// Start and request of each attempt whose answer has no header yet.
    std::set<std::pair<base::boot_time, exchange_id>> unanswered;
    /// One bit per answer, the newest lowest; set for errors.
    std::uint32_t errors = 0;

    std::int32_t reported_queue = 0;
    base::boot_time reported_at;
    /// A probe is running until this time; a probe without an outcome ends then.
    base::boot_time probing_until;
    /// A restart or errors of a cold server were seen, so that uptime alone does not end the ramp.
    bool cold_seen = false;
    base::boot_time observed_at;
    std::uint64_t requests_since_report = 0;

    [[nodiscard]] bool takes_new_work() const { return configured && !ordered_out && !draining; }
};

} // namespace lovagetack::requests
