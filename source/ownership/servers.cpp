#include "ownership/servers.hpp"

#include <algorithm>

namespace lovagetack::ownership {
namespace {

model::availability availability(const state& state, model::subject_kind kind, const std::string& name) {
    for (const auto& entry : state.service_states) {
        if (entry.kind == kind && entry.name == name) {
            return entry.availability;
        }
    }
    return model::availability::in_service;
}

} // namespace

void update_servers(step& step) {
    auto& state = step.state;
    for (const auto& server : state.deployment.backend_servers) {
        const auto* service = model::find_service(state.deployment, server.service);
        if (server.data_centre != state.data_centre || service == nullptr) {
            continue;
        }
        auto [found, added] = state.servers.try_emplace(server.id);
        auto& view = found->second;
        view.server = server;
        view.checks_grants = service->checks_grants;
        view.divided_by_key = service->divided_by_key;
        view.maximum_deadline = service->maximum_deadline;
        if (added) {
            view.next_poll_at = step.now;
        }
    }
    std::erase_if(state.servers, [&](const auto& entry) {
        return model::find_backend_server(state.deployment, entry.first) == nullptr &&
               is_expired(state, entry.second, step.now);
    });
}

bool is_out_of_service(const state& state, const model::backend_server& server) {
    return availability_of(state, server.data_centre) != model::availability::in_service ||
           availability(state, model::subject_kind::backend_server, server.id.value()) !=
               model::availability::in_service;
}

model::availability availability_of(const state& state, const model::data_centre_id& data_centre) {
    return availability(state, model::subject_kind::data_centre, data_centre.value());
}

bool should_release_ranges(const state& state, const model::backend_server_id& id) {
    const auto* server = model::find_backend_server(state.deployment, id);
    if (server == nullptr || is_out_of_service(state, *server)) {
        return true;
    }
    const auto found = state.servers.find(id);
    return found != state.servers.end() && found->second.draining;
}

bool is_silent(const state& state, const server_view& view, base::boot_time now) {
    auto since = std::max(state.listening_since, state.term_start);
    if (view.answered) {
        since = std::max(since, view.last_answer_at);
    }
    return now - since >= state.rules.answer_timeout;
}

bool is_expired(const state& state, const server_view& view, base::boot_time now) {
    const auto extra = view.checks_grants ? std::chrono::milliseconds(0) : view.maximum_deadline;
    return now >= view.lease_bound + extra && now >= state.term_start + state.rules.activation_wait + extra;
}

bool is_down(const state& state, const server_view& view, base::boot_time now) {
    return is_silent(state, view, now) && is_expired(state, view, now);
}

bool is_usable(const state& state, const model::backend_server_id& id, base::boot_time now) {
    const auto found = state.servers.find(id);
    return found != state.servers.end() && !should_release_ranges(state, id) && !is_silent(state, found->second, now);
}

} // namespace lovagetack::ownership
