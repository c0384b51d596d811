#pragma once

#include "requests/context.hpp"

namespace lovagetack::requests {

void on_deployment_changed(context& ctx, const model::deployment_changed& received);
void on_members_changed(context& ctx, const model::members_changed& received);
void on_service_states_changed(context& ctx, const model::service_states_changed& received);
void on_routes_changed(context& ctx, const model::routes_changed& received);
void on_home_leases_changed(context& ctx, const model::home_leases_changed& received);
void on_backend_server_observed(context& ctx, const backend_server_observed& received);

/// Raises the limits of connections and slots to their full values once this instance has been home for new_home_time.
void end_new_home_periods(context& ctx);

} // namespace lovagetack::requests
