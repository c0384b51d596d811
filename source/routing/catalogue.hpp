#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "accounts/directory.hpp"
#include "model/address.hpp"
#include "model/ids.hpp"

namespace lovagetack::routing {

/// Whether a route's requests may be run more than once.
enum class request_kind : std::uint8_t {
    /// May run any number of times.
    idempotent,
    /// May run at most once.
    non_idempotent,
};

/// One of the services that a route sends to, with its weight in the traffic split.
struct route_target {
    model::service_id service;
    std::uint32_t weight = 1;
};

/// One route of the configuration.
struct route {
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string path_prefix;
    request_kind kind = request_kind::non_idempotent;
    /// Longest time until a caller is answered.
    std::chrono::milliseconds timeout{0};
    std::chrono::milliseconds latency_objective{0};
    /// 0 is the highest priority.
    std::int32_t priority = 0;
    /// Maximum number of backend servers to which one request is sent.
    std::int32_t most_attempts = 1;
    std::vector<route_target> targets;
    /// Requests need no key of a client account.
    bool anonymous = false;
};

/// Settings of one service.
struct service_settings {
    model::service_id name;
    std::string health_path;
    /// Maximum number of connections that a backend server accepts from all instances together.
    std::int32_t most_connections = 0;
    /// Requests per second that a cold backend server can handle.
    double cold_rate = 0;
    std::chrono::milliseconds cold_period{0};
    bool divided_by_key = false;
};

/// Limits on the requests and connections of callers.
struct caller_limits {
    std::uint64_t header_bytes = 16384;
    std::uint64_t body_bytes = std::uint64_t(64) * 1024 * 1024;
    std::chrono::milliseconds header_time{3000};
    std::chrono::milliseconds idle_time{15000};
};

/// One version of the operators' configuration.
struct configuration {
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::map<model::service_id, service_settings> services;
    caller_limits limits;
    /// Empty if requests are not told apart by client accounts.
    accounts::directory accounts;
};

/// A backend server's entry in the registry.
struct backend_server {
    model::backend_server_id id;
    model::service_id service;
    model::address address;
    model::data_centre_id data_centre;
    /// Start of the process in Unix milliseconds; 0 if not given. A changed value means that the server has restarted.
    std::uint64_t born = 0;
    std::int32_t slots = 1;
    bool draining = false;
    /// Remaining time during which the server can handle only the service's cold rate.
    std::chrono::milliseconds cold_time_left{0};
    /// Grows with each report of the server in one run; 0 if not given.
    std::uint64_t sequence = 0;

    bool operator==(const backend_server&) const = default;
};

/// The route of the host with the longest path prefix that matches; null if there is none.
[[nodiscard]] const route* find_route(const configuration& configuration, std::string_view host, std::string_view path);

} // namespace lovagetack::routing
