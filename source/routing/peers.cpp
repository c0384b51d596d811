#include "routing/peers.hpp"

#include <algorithm>

#include "routing/keeper.hpp"
#include "routing/keeper_plan.hpp"
#include "routing/servers.hpp"
#include "routing/signals.hpp"

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

void update_server_loads(step& step, const std::vector<peer_server_load>& servers) {
    for (const auto& item : servers) {
        const auto found = step.state.servers.find(item.server);
        if (found == step.state.servers.end()) {
            continue;
        }
        if (item.observations > 0) {
            note_reported_time(step, found->second, item.observed, item.observations);
        }
        note_told_leaving(step, found->second, item.leaving_born, item.leaving_age);
        if (!item.load) {
            continue;
        }
        const auto at = step.now - item.load_age;
        if (at > found->second.load_at) {
            found->second.load = *item.load;
            found->second.load_at = at;
        }
    }
}

/// Members that hold the observed times and requested keys until they are sent to one kind of receiver.
struct unsent_members {
    observed_times server_record::*times;
    std::vector<std::uint32_t> service_record::*keys;
};

constexpr unsent_members for_peers{&server_record::times_for_peers, &service_record::keys_for_peers};
constexpr unsent_members for_keeper{&server_record::times_for_keeper, &service_record::keys_for_keeper};

std::vector<requested_keys> take_keys(state& state, const unsent_members& unsent) {
    std::vector<requested_keys> taken;
    for (auto& [name, service] : state.services) {
        auto& keys = service.*unsent.keys;
        if (keys.empty()) {
            continue;
        }
        if (keys.size() > keys_per_message) {
            keys.resize(keys_per_message);
        }
        taken.push_back({name, std::exchange(keys, {})});
    }
    return taken;
}

instance_load make_load_message(step& step, const unsent_members& unsent) {
    auto& state = step.state;
    instance_load message;
    message.instance = state.self.instance;
    message.incarnation = state.self.incarnation;
    message.sequence = ++state.load_sequence;
    add_keeper_status(state, step.now, message);
    message.store_contact = store_contact(state, step.now);
    for (auto& [id, server] : state.servers) {
        peer_server_load item;
        item.outstanding = server.outstanding;
        item.queued = static_cast<std::int32_t>(server.queue.size());
        if (server.load_unsent) {
            item.load = server.load;
            item.load_age = std::chrono::duration_cast<std::chrono::milliseconds>(step.now - server.load_at);
        }
        if (const auto times = std::exchange(server.*unsent.times, {}); times.count > 0) {
            item.observations = times.count;
            item.observed = times.sum / times.count;
        }
        if (server.stated.leaving_since && server.stated.leaving_heard_here) {
            item.leaving_born = server.registration.born;
            item.leaving_age =
                std::chrono::duration_cast<std::chrono::milliseconds>(step.now - server.stated.leaving_heard_at);
        }
        if (item.outstanding > 0 || item.queued > 0 || item.load || item.observations > 0 || item.leaving_born != 0) {
            item.server = id;
            message.servers.push_back(std::move(item));
        }
    }
    message.keys = take_keys(state, unsent);
    return message;
}

/// Whether the instance gets each load message, not only the rarer reports to a keeper.
bool is_frequent_receiver(const state& state, const instance_record& record) {
    return state.instances.size() <= small_deployment || record.data_centre == state.self.data_centre;
}

/// Shortest time between two messages to the frequent receivers.
std::chrono::microseconds load_period(const state& state) {
    const auto count = std::count_if(state.instances.begin(), state.instances.end(),
                                     [&state](const auto& entry) { return is_frequent_receiver(state, entry.second); });
    return load_period_per_square * count * count;
}

/// How long an instance may be silent before its last message is discarded.
std::chrono::microseconds silence_limit(const state& state) {
    return std::max(peer_timeout, load_period(state) * 3);
}

/// Sends a keeper in another data centre the load that it needs for planning.
void report_to_keeper(step& step) {
    auto& state = step.state;
    const auto keeper = state.instances.find(state.assignment_keeper);
    if (keeper == state.instances.end() || is_frequent_receiver(state, keeper->second)) {
        // There is no such keeper, or it gets the load messages: nothing has to be reported.
        for (auto& [name, service] : state.services) {
            service.keys_for_keeper.clear();
        }
        return;
    }
    // The work of the keeper grows with the instances that report to it.
    const auto period = report_period * size_factor(state);
    if (step.now - state.reported_at < period) {
        return;
    }
    state.reported_at = step.now;
    step.add(send_load{make_load_message(step, for_keeper), {keeper->first}});
}

} // namespace

void note_key(service_record& service, base::boot_time now, std::uint32_t key) {
    service.samples.emplace_back(now, key);
    if (service.samples.size() > key_samples) {
        service.samples.pop_front();
    }
}

void update_peer_load(step& step, const instance_load& event) {
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
    peer.received_at = step.now;
    peer.servers = event.servers;
    count(step, peer.servers, 1);
    update_server_loads(step, event.servers);
    for (const auto& item : event.keys) {
        auto& service = step.state.services[item.service];
        for (const auto key : item.keys) {
            note_key(service, step.now, key);
        }
    }
    note_keeper_status(step, event);
    note_store_contact(step, event.store_contact);
}

void remove_silent_peers(step& step) {
    const auto timeout = silence_limit(step.state);
    for (auto at = step.state.peers.begin(); at != step.state.peers.end();) {
        if (step.now - at->second.received_at < timeout) {
            ++at;
            continue;
        }
        count(step, at->second.servers, -1);
        at = step.state.peers.erase(at);
    }
}

bool is_instance_alive(const state& state, const model::instance_id& instance, base::boot_time now) {
    const auto found = state.peers.find(instance);
    return found != state.peers.end() && now - found->second.received_at < silence_limit(state);
}

void send_load_if_due(step& step) {
    auto& state = step.state;
    report_to_keeper(step);
    const auto passed = step.now - state.load_sent_at;
    if (passed < shortest_load_period || (!state.load_changed && passed < idle_load_period)) {
        return;
    }
    if (passed < load_period(state)) {
        return;
    }
    std::vector<model::instance_id> receivers;
    for (const auto& [id, record] : state.instances) {
        if (id != state.self.instance && is_frequent_receiver(state, record)) {
            receivers.push_back(id);
        }
    }
    state.load_sent_at = step.now;
    state.load_changed = false;
    auto message = make_load_message(step, for_peers);
    for (auto& [id, server] : state.servers) {
        server.load_unsent = false;
    }
    step.add(send_load{std::move(message), std::move(receivers)});
}

} // namespace lovagetack::routing
