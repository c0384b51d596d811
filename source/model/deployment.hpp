#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "base/fields.hpp"
#include "model/address.hpp"
#include "model/ids.hpp"

namespace lovagetack::model {

/// One backend server of a service as the configuration describes it.
struct backend_server {
    backend_server_id id;
    service_id service;
    data_centre_id data_centre;
    model::address address;
    /// Requests that it executes concurrently.
    std::int32_t slots = 2;
    /// Connections that it accepts in total, from all instances together.
    std::int32_t connections = 110;

    bool operator==(const backend_server&) const = default;
};

/// The settings of one service, which apply to all its backend servers.
struct service {
    service_id id;
    /// Each key has one owning backend server.
    bool divided_by_key = false;
    /// Its backend servers refuse requests without a valid lease, range and fence.
    bool checks_grants = true;
    /// Deadline of a request that states none.
    std::chrono::milliseconds default_deadline = std::chrono::milliseconds(5000);
    std::chrono::milliseconds maximum_deadline = std::chrono::milliseconds(60000);
    /// Requests that may wait for the slots of one backend server.
    std::int32_t queue_per_backend_server = 64;
    std::uint64_t maximum_body_bytes = 64ULL * 1024 * 1024;
    /// Number of ranges that the hash space is initially divided into.
    std::int32_t initial_ranges = 64;

    bool operator==(const service&) const = default;
};

/// The contents of a configuration in force: data centres, services and backend servers.
struct deployment {
    /// Version of the row configuration/version; 0 while no configuration is known.
    std::uint64_t version = 0;
    std::vector<data_centre_id> data_centres;
    std::vector<service> services;
    std::vector<backend_server> backend_servers;

    bool operator==(const deployment&) const = default;
};

/// The service with this id, or null.
[[nodiscard]] const service* find_service(const deployment& deployment, const service_id& id);

/// The backend server with this id, or null.
[[nodiscard]] const backend_server* find_backend_server(const deployment& deployment, const backend_server_id& id);

} // namespace lovagetack::model

template <>
struct lovagetack::base::fields_of<lovagetack::model::backend_server> {
    static constexpr std::string_view name = "backend_server";
    static constexpr auto list = std::make_tuple(
        make_field("id", &model::backend_server::id), make_field("service", &model::backend_server::service),
        make_field("data_centre", &model::backend_server::data_centre),
        make_field("address", &model::backend_server::address), make_field("slots", &model::backend_server::slots),
        make_field("connections", &model::backend_server::connections));
};

template <>
struct lovagetack::base::fields_of<lovagetack::model::service> {
    static constexpr std::string_view name = "service";
    static constexpr auto list = std::make_tuple(
        make_field("id", &model::service::id), make_field("divided_by_key", &model::service::divided_by_key),
        make_field("checks_grants", &model::service::checks_grants),
        make_field("default_deadline", &model::service::default_deadline),
        make_field("maximum_deadline", &model::service::maximum_deadline),
        make_field("queue_per_backend_server", &model::service::queue_per_backend_server),
        make_field("maximum_body_bytes", &model::service::maximum_body_bytes),
        make_field("initial_ranges", &model::service::initial_ranges));
};

template <>
struct lovagetack::base::fields_of<lovagetack::model::deployment> {
    static constexpr std::string_view name = "deployment";
    static constexpr auto list = std::make_tuple(make_field("version", &model::deployment::version),
                                                 make_field("data_centres", &model::deployment::data_centres),
                                                 make_field("services", &model::deployment::services),
                                                 make_field("backend_servers", &model::deployment::backend_servers));
};
