#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>

#include "routing/catalogue.hpp"

// Backend servers and routes for tests of the routing decisions.
namespace lovagetack::routing::testing {

inline backend_server server_of(const std::string& id, const model::service_id& service) {
    backend_server server;
    server.id = model::backend_server_id(id);
    server.service = service;
    server.address = {"10.0.0.1", static_cast<std::uint16_t>(1000 + std::hash<std::string>{}(id) % 5000)};
    server.data_centre = model::data_centre_id("north");
    server.born = 7;
    server.slots = 2;
    return server;
}

inline route route_to(const std::string& prefix, request_kind kind, const model::service_id& service) {
    route route;
    route.name = prefix;
    route.host = "host";
    route.path_prefix = prefix;
    route.kind = kind;
    route.timeout = std::chrono::milliseconds(1000);
    route.latency_objective = std::chrono::milliseconds(300);
    route.most_attempts = 2;
    route.targets = {{service, 1}};
    return route;
}

} // namespace lovagetack::routing::testing
