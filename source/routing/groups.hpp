#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "routing/state.hpp"

namespace lovagetack::routing {

// Groups of backend servers, and which instance is the dispatcher of each. All instances find the same, as far as they
// know the same servers and instances.

/// Forgets the groups after a server has been added or removed.
void forget_groups(state& state);

/// Number of groups of a service in a data centre.
[[nodiscard]] std::uint32_t count_groups(state& state, const model::service_id& service,
                                         const model::data_centre_id& data_centre);

/// The registered servers of a group.
[[nodiscard]] const std::vector<model::backend_server_id>& servers_of(state& state, const server_group& group);

/// The group of a server.
[[nodiscard]] server_group group_of(state& state, const backend_server& server);

/// The data centres that have servers of the service.
[[nodiscard]] std::vector<model::data_centre_id> data_centres_of(state& state, const model::service_id& service);

/// The instance that gives out the slots of the group: of its data centre, the first by hash that is not suspected.
[[nodiscard]] std::optional<model::instance_id> dispatcher_of(const state& state, const server_group& group,
                                                              base::boot_time now);

} // namespace lovagetack::routing
