#include "routing/peers.hpp"

#include <algorithm>

#include "routing/keeper.hpp"

namespace lovagetack::routing {
namespace {

void count(step& step, const std::vector<peer_server_load>& servers, std::int32_t sign) {
    for (const auto& item : servers) {
        const auto found = step.state.servers.find(item.server);
        if (found != step.state.servers.end()) {
            found->second.peers_outstanding = std::max(0, found->second.peers_outstanding + sign * item.outstanding);
            found->second.peers_queued = std::max(0, found->second.peers_queued + sign * item.queued);
        }
    }
}

void learn_server_loads(step& step, const std::vector<peer_server_load>& servers) {
    for (const auto& item : servers) {
        const auto found = step.state.servers.find(item.server);
        if (found == step.state.servers.end() || !item.load) {
            continue;
        }
        const auto at = step.now - item.load_age;
        if (at > found->second.load_at) {
            found->second.load = *item.load;
            found->second.load_at = at;
        }
    }
}

std::vector<requested_keys> take_keys(state& state) {
    std::vector<requested_keys> taken;
    for (auto& [name, service] : state.services) {
        if (service.untold_keys.empty()) {
            continue;
        }
        if (service.untold_keys.size() > keys_per_message) {
            service.untold_keys.resize(keys_per_message);
        }
        taken.push_back({name, std::exchange(service.untold_keys, {})});
    }
    return taken;
}

} // namespace

void note_key(service_record& service, base::boot_time now, std::uint32_t key) {
    service.samples.emplace_back(now, key);
    if (service.samples.size() > key_samples) {
        service.samples.pop_front();
    }
}

void learn_load(step& step, const instance_load& event) {
    if (event.instance == step.state.self.instance) {
        return;
    }
    auto& peer = step.state.peers[event.instance];
    const bool newer = event.incarnation > peer.incarnation ||
                       (event.incarnation == peer.incarnation && event.sequence > peer.sequence);
    if (!newer) {
        return;
    }
    count(step, peer.servers, -1);
    peer.incarnation = event.incarnation;
    peer.sequence = event.sequence;
    peer.heard_at = step.now;
    peer.servers = event.servers;
    count(step, peer.servers, 1);
    learn_server_loads(step, event.servers);
    for (const auto& item : event.keys) {
        auto& service = step.state.services[item.service];
        for (const auto key : item.keys) {
            note_key(service, step.now, key);
        }
    }
    hear_instance(step, event);
}

void forget_silent_peers(step& step) {
    for (auto at = step.state.peers.begin(); at != step.state.peers.end();) {
        if (step.now - at->second.heard_at < peer_age) {
            ++at;
            continue;
        }
        count(step, at->second.servers, -1);
        at = step.state.peers.erase(at);
    }
}

std::size_t load_receivers(const state& state) {
    if (state.instances.size() <= small_deployment) {
        return state.instances.size();
    }
    return static_cast<std::size_t>(
        std::count_if(state.instances.begin(), state.instances.end(),
                      [&state](const auto& entry) { return entry.second.data_centre == state.self.data_centre; }));
}

void tell_load(step& step) {
    auto& state = step.state;
    const auto peers = static_cast<std::int64_t>(load_receivers(state));
    const auto passed = step.now - state.load_sent_at;
    if (passed < load_period_per_square * peers * peers || (!state.load_changed && passed < idle_load_period)) {
        return;
    }
    send_load message;
    message.load.instance = state.self.instance;
    message.load.incarnation = state.self.incarnation;
    message.only_data_centre = state.instances.size() > small_deployment;
    message.load.sequence = ++state.load_sequence;
    tell_duty(state, step.now, message.load);
    for (auto& [id, server] : state.servers) {
        peer_server_load item;
        item.server = id;
        item.outstanding = server.outstanding;
        item.queued = static_cast<std::int32_t>(server.queue.size());
        if (std::exchange(server.load_is_news, false)) {
            item.load = server.load;
            item.load_age = std::chrono::duration_cast<std::chrono::milliseconds>(step.now - server.load_at);
        }
        if (item.outstanding > 0 || item.queued > 0 || item.load) {
            message.load.servers.push_back(std::move(item));
        }
    }
    message.load.keys = take_keys(state);
    state.load_sent_at = step.now;
    state.load_changed = false;
    step.add(std::move(message));
}

} // namespace lovagetack::routing
