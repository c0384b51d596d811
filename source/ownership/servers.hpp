#pragma once

#include "ownership/step.hpp"

/// Views of the backend servers of the own data centre, and what operators and health say about them.
namespace lovagetack::ownership {

/// Follows the deployment: adds and removes views.
void update_servers(step& step);

/// An operator took the server or its data centre out of service.
[[nodiscard]] bool is_out_of_service(const state& state, const model::backend_server& server);

/// Order of an operator about a data centre.
[[nodiscard]] model::availability availability_of(const state& state, const model::data_centre_id& data_centre);

/// Its ranges should leave the server: operator's order, its own draining flag, or it is not configured any more.
[[nodiscard]] bool should_release_ranges(const state& state, const model::backend_server_id& id);

/// It has given no answer for answer_timeout.
[[nodiscard]] bool is_silent(const state& state, const server_view& view, base::boot_time now);

/// No lease of it can be valid any more, unless this instance renews it.
[[nodiscard]] bool is_expired(const state& state, const server_view& view, base::boot_time now);

/// Silent and expired: its ranges may go to their successors.
[[nodiscard]] bool is_down(const state& state, const server_view& view, base::boot_time now);

/// Can be given ranges.
[[nodiscard]] bool is_usable(const state& state, const model::backend_server_id& id, base::boot_time now);

} // namespace lovagetack::ownership
