#include "requests/state.hpp"

#include "requests/choice.hpp"
#include "requests/queue.hpp"

namespace lovagetack::requests {

namespace {

bool straggles(const state& state, const server_record& server, base::boot_time now) {
    const auto service = state.services.find(server.configuration.service);
    return service != state.services.end() && is_straggler(server, service->second, now);
}

server_view view_of(const state& state, const server_record& server, base::boot_time now) {
    server_view view;
    view.id = server.configuration.id;
    view.service = server.configuration.service;
    view.home = server.home;
    view.outstanding = server.outstanding;
    view.queued = static_cast<std::int32_t>(server.queue.size());
    view.relayed = server.relayed;
    view.ramp_rate = server.ramp.rate();
    view.usable_slots = usable_slots(server, now);
    view.straggler = straggles(state, server, now);
    view.takes_new_work = server.takes_new_work();
    view.median_latency = server.latency.median();
    return view;
}

} // namespace

model::instance_id home_of(const state& state, const model::backend_server_id& id) {
    const auto found = state.servers.find(id);
    return found == state.servers.end() ? model::instance_id() : found->second.home;
}

std::int32_t queue_at_home(const state& state, const model::backend_server_id& id) {
    const auto found = state.servers.find(id);
    if (found == state.servers.end()) {
        return 0;
    }
    return found->second.outstanding + static_cast<std::int32_t>(found->second.queue.size());
}

std::vector<server_view> backend_servers(const state& state, base::boot_time now) {
    std::vector<server_view> views;
    for (const auto& [id, server] : state.servers) {
        if (server.configured) {
            views.push_back(view_of(state, server, now));
        }
    }
    return views;
}

std::size_t requests_in_flight(const state& state) {
    return state.exchanges.size();
}

} // namespace lovagetack::requests
