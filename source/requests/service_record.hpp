#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "base/boot_time.hpp"
#include "model/deployment.hpp"
#include "model/route.hpp"
#include "requests/event.hpp"
#include "requests/latency_window.hpp"
#include "requests/limits.hpp"
#include "requests/retry_budget.hpp"
#include "requests/space_saving.hpp"

namespace lovagetack::requests {

/// Configuration, routes and measurements of one service.
struct service_record {
    model::service configuration;
    /// False once a newer configuration no longer lists it.
    bool configured = true;
    /// All configured backend servers, sorted.
    std::vector<model::backend_server_id> servers;
    /// Backend servers that can be chosen at present: they take new work and have a home instance.
    std::vector<model::backend_server_id> candidates;
    model::service_routes routes;
    /// Requests that wait for an owner, a home instance or a pause, by arrival.
    std::set<std::pair<base::boot_time, exchange_id>> waiting;
    retry_budget retries;
    latency_window latency = latency_window(service_latency_window, 32);
    latency_window relay_latency = latency_window(service_latency_window, 32);
    /// Median over the backend servers of their median latencies; 0 while unknown.
    std::chrono::microseconds median_of_servers = std::chrono::microseconds(0);
    /// Requests sent to backend servers per range (first, last) since the last report.
    std::map<std::pair<std::uint64_t, std::uint64_t>, std::uint64_t> range_counts;
    space_saving hot_keys = space_saving(hot_key_counters);
};

} // namespace lovagetack::requests
