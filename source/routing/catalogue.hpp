#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "model/address.hpp"
#include "model/ids.hpp"

namespace lovagetack::routing {

/// What may be repeated of a route's requests.
enum class request_kind : std::uint8_t {
    /// May run any number of times.
    idempotent,
    /// May run once at most.
    non_idempotent,
};

/// One of the services that a route sends to, with its share of the requests.
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
    /// The longest time that a caller is kept waiting.
    std::chrono::milliseconds timeout{0};
    std::chrono::milliseconds latency_objective{0};
    /// 0 is the most urgent.
    std::int32_t priority = 0;
    /// Backend servers to which one request may be sent.
    std::int32_t most_attempts = 1;
    std::vector<route_target> targets;
};

/// Settings of one service.
struct service_settings {
    model::service_id name;
    std::string health_path;
    /// Connections that a backend server accepts from all instances together.
    std::int32_t most_connections = 0;
    /// Requests per second that a cold backend server bears.
    double cold_rate = 0;
    std::chrono::milliseconds cold_period{0};
    bool divided_by_key = false;
};

/// Bounds on what callers may send.
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
};

/// What a backend server says of itself in the registry.
struct backend_server {
    model::backend_server_id id;
    model::service_id service;
    model::address address;
    model::data_centre_id data_centre;
    /// Start of the process in Unix milliseconds; 0 if not told. Another value is another life of the server.
    std::uint64_t born = 0;
    std::int32_t slots = 1;
    bool draining = false;
    /// How much longer the server bears only the service's cold rate.
    std::chrono::milliseconds cold_left{0};

    bool operator==(const backend_server&) const = default;
};

/// The route for a request: the longest prefix of the host; null if there is none.
[[nodiscard]] const route* find_route(const configuration& configuration, std::string_view host, std::string_view path);

} // namespace lovagetack::routing
