#pragma once

#include "ownership/step.hpp"

/// Views of the backend servers of the own data centre, and their condition by operators' orders and health.
namespace lovagetack::ownership {

/// Adds and removes views so that they match the deployment.
void update_servers(step& step);

/// Whether an operator took the server or its data centre out of service.
[[nodiscard]] bool is_out_of_service(const state& state, const model::backend_server& server);

/// Order of an operator about a data centre.
[[nodiscard]] model::availability availability_of(const state& state, const model::data_centre_id& data_centre);

/// Whether the ranges of the server should go to others: by an operator's order, by its own draining flag, or because
/// it is not configured any more.
[[nodiscard]] bool should_release_ranges(const state& state, const model::backend_server_id& id);

/// Whether the server has given no answer for answer_timeout.
[[nodiscard]] bool is_silent(const state& state, const server_view& view, base::boot_time now);

/// Whether no lease of the server can be valid any more, unless this instance renews it.
[[nodiscard]] bool is_expired(const state& state, const server_view& view, base::boot_time now);

/// Whether the server is silent and expired, so that its ranges may go to their successors.
[[nodiscard]] bool is_down(const state& state, const server_view& view, base::boot_time now);

/// Whether the server can be given ranges.
[[nodiscard]] bool is_usable(const state& state, const model::backend_server_id& id, base::boot_time now);

} // namespace lovagetack::ownership
