#include "requests/topology.hpp"

#include <algorithm>

#include "base/key_hash.hpp"
#include "requests/placement.hpp"
#include "requests/queue.hpp"
#include "requests/silence.hpp"

namespace lovagetack::requests {

namespace {

using model::subject_kind;

void set_connection_limit(context& ctx, server_record& server, std::int32_t connections) {
    if (server.connection_limit == connections) {
        return;
    }
    server.connection_limit = connections;
    ctx.emit(limit_connections{server.configuration.id, server.configuration.address, connections});
}

bool is_out(const state& state, subject_kind kind, const std::string& name) {
    return state.out_of_service.contains({kind, name});
}

model::instance_id best_home(const state& state, const model::backend_server& server) {
    const auto live = state.live.find(server.data_centre);
    if (live == state.live.end()) {
        return {};
    }
    const auto score = [&](const model::instance_id& id) {
        return base::rendezvous_score(server.id.value(), id.value());
    };
    model::instance_id best;
    std::uint64_t best_score = 0;
    for (const auto& candidate : live->second) {
        const auto candidate_score = score(candidate);
        if (best.empty() || candidate_score > best_score) {
            best = candidate;
            best_score = candidate_score;
        }
    }
    return best;
}

void become_home(context& ctx, server_record& server) {
    server.home_since = ctx.now;
    ctx.emit(model::timeline_entry{"home_gained", {{"backend_server", server.configuration.id.value()}}});
    ctx.state.new_homes.insert(server.configuration.id);
    set_connection_limit(ctx, server, std::max(1, server.configuration.connections / 2));
    // The knowledge of this instance may be outdated, since the former home instance sent the requests until now.
    if (ctx.now - server.observed_at > maximum_observation_age) {
        server.boot_id.clear();
        server.cold_seen = false;
        server.ramp.reset(ctx.now);
    }
}

void lose_home(context& ctx, server_record& server) {
    ctx.state.new_homes.erase(server.configuration.id);
    ctx.emit(model::timeline_entry{
        "home_lost", {{"backend_server", server.configuration.id.value()}, {"home", server.home.value()}}});
    set_connection_limit(ctx, server, 0);
    schedule_queue(ctx, server);
}

void refresh_home(context& ctx, server_record& server) {
    const auto home = server.configured ? best_home(ctx.state, server.configuration) : model::instance_id();
    if (home == server.home) {
        return;
    }
    const auto& self = ctx.state.self.instance;
    const bool was_home = server.home == self;
    server.home = home;
    if (home == self) {
        become_home(ctx, server);
    } else if (was_home) {
        lose_home(ctx, server);
    }
}

void refresh_candidates(context& ctx, service_record& service) {
    service.candidates.clear();
    for (const auto& id : service.servers) {
        const auto* server = ctx.server(id);
        if (server != nullptr && server->takes_new_work() && !server->home.empty()) {
            service.candidates.push_back(id);
        }
    }
}

/// Updates the state that is derived from deployment, members and service states.
void refresh_derived_state(context& ctx) {
    auto& state = ctx.state;
    for (auto& [id, server] : state.servers) {
        const auto& configuration = server.configuration;
        const bool was_out = server.ordered_out;
        server.ordered_out = is_out(state, subject_kind::backend_server, id.value()) ||
                             is_out(state, subject_kind::data_centre, configuration.data_centre.value());
        if (server.ordered_out != was_out) {
            schedule_queue(ctx, server);
        }
        // A server that was out of service has been idle and may be cold, so it is ramped.
        if (was_out && !server.ordered_out) {
            server.ramp.reset(ctx.now);
        }
        refresh_home(ctx, server);
    }
    for (auto& [id, service] : state.services) {
        refresh_candidates(ctx, service);
    }
    for (auto& [id, service] : state.services) {
        recheck_waiting(ctx, service);
    }
}

void refresh_live(state& state) {
    state.live.clear();
    for (const auto& [id, member] : state.members) {
        const bool can_be_home =
            member.state == model::member_state::live && !is_out(state, subject_kind::instance, id.value());
        if (can_be_home) {
            state.live[member.data_centre].push_back(id);
        }
    }
}

void configure_service(context& ctx, const model::service& configuration) {
    auto& service = ctx.state.services[configuration.id];
    service.configuration = configuration;
    service.configured = true;
    service.servers.clear();
    const auto routes = ctx.state.routes.find(configuration.id);
    if (routes != ctx.state.routes.end()) {
        service.routes = routes->second;
    }
}

void configure_server(context& ctx, const model::backend_server& configuration) {
    auto& server = ctx.state.servers[configuration.id];
    const bool connections_changed = server.configuration.address != configuration.address ||
                                     server.configuration.connections != configuration.connections;
    // refresh_home() then makes this instance home again, which sets the limit for the new address.
    if (connections_changed && server.connection_limit > 0) {
        set_connection_limit(ctx, server, 0);
        server.home = {};
    }
    server.configuration = configuration;
    server.configured = true;
    ctx.state.services[configuration.service].servers.push_back(configuration.id);
}

void remove_idle_servers(state& state) {
    std::erase_if(state.servers, [](const auto& entry) {
        const server_record& server = entry.second;
        const bool idle =
            server.outstanding == 0 && server.relayed == 0 && server.held_slots == 0 && server.queue.empty();
        return !server.configured && idle;
    });
}

} // namespace

void on_deployment_changed(context& ctx, const model::deployment_changed& received) {
    auto& state = ctx.state;
    for (auto& [id, service] : state.services) {
        service.configured = false;
        service.servers.clear();
    }
    for (auto& [id, server] : state.servers) {
        server.configured = false;
    }
    for (const auto& service : received.deployment.services) {
        configure_service(ctx, service);
    }
    for (const auto& server : received.deployment.backend_servers) {
        configure_server(ctx, server);
    }
    for (auto& [id, service] : state.services) {
        std::sort(service.servers.begin(), service.servers.end());
    }
    for (auto& [id, server] : state.servers) {
        schedule_queue(ctx, server);
    }
    refresh_derived_state(ctx);
    run_scheduled_queues(ctx);
    remove_idle_servers(state);
}

void on_members_changed(context& ctx, const model::members_changed& received) {
    auto& state = ctx.state;
    state.members.clear();
    for (const auto& member : received.members) {
        state.members.emplace(member.id, member);
    }
    const auto live_before = std::move(state.live);
    refresh_live(state);
    if (state.live != live_before) {
        refresh_derived_state(ctx);
    }
}

void on_service_states_changed(context& ctx, const model::service_states_changed& received) {
    auto& state = ctx.state;
    state.out_of_service.clear();
    for (const auto& order : received.states) {
        if (order.availability != model::availability::in_service) {
            state.out_of_service.insert({order.kind, order.name});
        }
    }
    refresh_live(state);
    refresh_derived_state(ctx);
}

void on_routes_changed(context& ctx, const model::routes_changed& received) {
    auto& state = ctx.state;
    state.routes.clear();
    for (const auto& routes : received.services) {
        state.routes[routes.service] = routes;
    }
    for (auto& [id, service] : state.services) {
        const auto routes = state.routes.find(id);
        service.routes = routes == state.routes.end() ? model::service_routes() : routes->second;
        recheck_waiting(ctx, service);
        move_silent_requests(ctx, service);
    }
    recheck_queues(ctx);
}

void on_home_leases_changed(context& ctx, const model::home_leases_changed& received) {
    ctx.state.leases.clear();
    for (const auto& lease : received.leases) {
        ctx.state.leases[lease.backend_server] = base::boot_time(lease.ends_at);
        if (const auto* server = ctx.server(lease.backend_server)) {
            schedule_queue(ctx, *server);
        }
    }
}

void on_backend_server_observed(context& ctx, const backend_server_observed& received) {
    auto* server = ctx.server(received.backend_server);
    if (server == nullptr) {
        return;
    }
    server->observed_at = ctx.now;
    if (!received.boot_id.empty() && received.boot_id != server->boot_id) {
        const bool restarted = !server->boot_id.empty();
        server->boot_id = received.boot_id;
        if (restarted) {
            server->ramp.reset(ctx.now);
            server->latency.clear();
            server->errors = 0;
            server->cold_seen = true;
        } else if (received.uptime >= warm_uptime && !server->cold_seen) {
            server->ramp.remove_limit();
            schedule_queue(ctx, *server);
        }
    }
    if (server->draining == received.draining) {
        return;
    }
    server->draining = received.draining;
    schedule_queue(ctx, *server);
    if (auto* service = ctx.service(server->configuration.service)) {
        refresh_candidates(ctx, *service);
        recheck_waiting(ctx, *service);
    }
}

void end_new_home_periods(context& ctx) {
    auto& homes = ctx.state.new_homes;
    for (auto home = homes.begin(); home != homes.end();) {
        auto* server = ctx.server(*home);
        const bool settled = server == nullptr || ctx.now - server->home_since >= new_home_time;
        if (!settled) {
            ++home;
            continue;
        }
        if (server != nullptr) {
            set_connection_limit(ctx, *server, server->configuration.connections);
            schedule_queue(ctx, *server);
        }
        home = homes.erase(home);
    }
}

} // namespace lovagetack::requests
