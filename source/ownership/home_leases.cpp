#include "ownership/home_leases.hpp"

#include <algorithm>

#include "model/home.hpp"
#include "ownership/servers.hpp"

namespace lovagetack::ownership {
namespace {

bool is_own_home(const state& state, const model::backend_server_id& server) {
    const auto* home = model::home_instance(state.members, state.data_centre, server);
    return home != nullptr && home->id == state.id;
}

const model::member* known_controller(const state& state) {
    const auto id = state.role == role::controller        ? state.id
                    : state.last_heartbeat_at.has_value() ? state.heartbeat_sender
                                                          : state.record.holder;
    const auto found = std::find_if(state.members.begin(), state.members.end(),
                                    [&](const model::member& member) { return member.id == id; });
    return found == state.members.end() ? nullptr : &*found;
}

/// Whether the instance may have the lease: it is home here as well, nobody else may still have it, and the server's
/// ranges are not about to leave it.
bool may_lease(const step& step, const server_view& view, const model::instance_id& instance) {
    const auto& state = step.state;
    if (!is_controller(state, step.now) || view.checks_grants || should_release_ranges(state, view.server.id)) {
        return false;
    }
    const auto* home = model::home_instance(state.members, state.data_centre, view.server.id);
    if (home == nullptr || home->id != instance) {
        return false;
    }
    if (view.divided_by_key && (!view.reached || is_silent(state, view, step.now))) {
        return false;
    }
    if (view.home_lease && view.home_lease->instance == instance) {
        return true;
    }
    // A former home, or one that the last controller gave the lease to, must have lost it.
    return step.now >= view.lease_bound && step.now >= state.term_start + state.rules.activation_wait;
}

model::lease_reply answer_request(step& step, const model::instance_id& from, const model::lease_request& request) {
    auto& state = step.state;
    model::lease_reply reply;
    reply.backend_server = request.backend_server;
    reply.asked_at = request.asked_at;
    reply.epoch = state.epoch;
    const auto found = state.servers.find(request.backend_server);
    if (found == state.servers.end() || !may_lease(step, found->second, from)) {
        return reply;
    }
    auto& view = found->second;
    reply.granted = true;
    reply.lease_time = state.rules.lease_time;
    // The lease starts at the asker's clock before now, so it ends before this bound.
    view.lease_bound = std::max(view.lease_bound, step.now + state.rules.lease_bound);
    view.home_lease = granted_home_lease{from, view.lease_bound};
    return reply;
}

void record_lease_reply(step& step, const model::lease_reply& reply) {
    if (!reply.granted) {
        return;
    }
    const auto ends_at = base::boot_time(reply.asked_at) + reply.lease_time;
    auto& known = step.state.home_leases[reply.backend_server];
    known = std::max(known, ends_at);
}

void publish_home_leases(step& step) {
    auto& state = step.state;
    std::erase_if(state.home_leases, [&](const auto& entry) { return entry.second <= step.now; });
    std::vector<model::home_lease> leases;
    for (const auto& [id, ends_at] : state.home_leases) {
        leases.push_back({id, ends_at.time_since_epoch()});
    }
    if (leases == state.published_home_leases) {
        return;
    }
    state.published_home_leases = leases;
    step.effects.emplace_back(model::home_leases_changed{std::move(leases)});
}

} // namespace

void request_home_leases(step& step) {
    auto& state = step.state;
    const auto* controller = known_controller(state);
    if (controller != nullptr && step.now >= state.next_home_request_at) {
        state.next_home_request_at = step.now + state.rules.poll_interval;
        for (const auto& [id, view] : state.servers) {
            if (view.checks_grants || !is_own_home(state, id)) {
                continue;
            }
            const model::lease_request request{id, step.now.time_since_epoch()};
            if (controller->id == state.id) {
                record_lease_reply(step, answer_request(step, state.id, request));
                continue;
            }
            step.effects.emplace_back(model::send_peer_message{controller->id, controller->peer_address, request});
        }
    }
    publish_home_leases(step);
}

void handle_lease_message(step& step, const lease_message& message) {
    if (message.request) {
        const auto reply = answer_request(step, message.from, *message.request);
        step.effects.emplace_back(model::send_peer_message{message.from, message.from_address, reply});
    }
    if (message.reply) {
        record_lease_reply(step, *message.reply);
    }
}

} // namespace lovagetack::ownership
