#include "routing/dispatching.hpp"

#include <algorithm>
#include <utility>
#include <vector>

#include "routing/groups.hpp"
#include "routing/limits.hpp"
#include "routing/servers.hpp"
#include "routing/signals.hpp"

namespace lovagetack::routing {
namespace {

/// A group, and the server if the queue is for one.
using ask_queue_id = std::pair<server_group, model::backend_server_id>;

ask_queue_id queue_of(const slot_request& request) {
    return {{request.service, request.data_centre, request.group}, request.server};
}

/// The servers that the requests of a queue can get.
std::vector<model::backend_server_id> servers_of_queue(step& step, const ask_queue_id& queue) {
    if (queue.second.empty()) {
        return servers_of(step.state, queue.first);
    }
    return step.state.servers.contains(queue.second) ? std::vector{queue.second}
                                                     : std::vector<model::backend_server_id>();
}

/// Whether the server gets requests of this kind: a leaving one still serves its keys for some time.
bool takes(const step& step, const server_record& server, const ask_queue_id& queue) {
    if (queue.second.empty()) {
        return takes_new_work(step.state, server, step.now);
    }
    return server.paused_until <= step.now && serves_own_keys(step.state, server, step.now);
}

std::int32_t used_slots(const state& state, const model::backend_server_id& server) {
    const auto found = state.dispatch.used.find(server);
    return found == state.dispatch.used.end() ? 0 : found->second;
}

void free_slot(step& step, std::map<ask_id, slot_record>::iterator slot) {
    auto& dispatch = step.state.dispatch;
    const auto used = dispatch.used.find(slot->second.server);
    if (used != dispatch.used.end() && --used->second <= 0) {
        dispatch.used.erase(used);
    }
    dispatch.slots.erase(slot);
}

void use_slot(step& step, const ask_id& id, const model::backend_server_id& server, std::uint64_t incarnation) {
    auto& dispatch = step.state.dispatch;
    dispatch.slots[id] = {server, incarnation, step.now, step.now};
    ++dispatch.used[server];
}

/// Expected time of a request that is sent to the server now, in microseconds.
double expected_time_at(const step& step, const server_record& server) {
    double time = static_cast<double>(usual_time(step.state, server, step.now).count());
    if (step.now - server.load_at < report_age) {
        time *= std::max(10, server.load.slowness) / 100.0;
    }
    const auto others = used_slots(step.state, server.registration.id);
    return time * slowdown(step.state, server, others, step.now) / (1.0 - std::min(0.9, server.failing));
}

/// Whether the queue's servers that are backed off can be left out: the requests need not go to one of them, and they
/// are at most half of the servers. If more reject requests, the others could not take the load.
bool may_leave_out(const step& step, const ask_queue_id& queue, const std::vector<model::backend_server_id>& servers) {
    if (!queue.second.empty()) {
        return false;
    }
    std::size_t taking = 0;
    std::size_t backed_off = 0;
    for (const auto& id : servers) {
        const auto& server = step.state.servers.at(id);
        if (takes(step, server, queue)) {
            ++taking;
            backed_off += server.backoff.active() ? 1 : 0;
        }
    }
    return backed_off * 2 <= taking;
}

/// Whether the server may have one more request in progress.
bool has_free_slot(const step& step, const server_record& server, bool leaves_out) {
    const auto used = used_slots(step.state, server.registration.id);
    return used < most_at_once(step.state, server, step.now) && (!leaves_out || used < server.backoff.limit(step.now));
}

bool is_excluded(const slot_request& request, const model::backend_server_id& server) {
    return std::find(request.excluded.begin(), request.excluded.end(), server) != request.excluded.end();
}

/// The server of the group with a free slot that is expected to answer first; null if there is none.
server_record* choose_free_server(step& step, const slot_request& request) {
    server_record* best = nullptr;
    double best_time = 0;
    const auto queue = queue_of(request);
    const auto servers = servers_of_queue(step, queue);
    const bool leaves_out = may_leave_out(step, queue, servers);
    for (const auto& id : servers) {
        auto& server = step.state.servers.at(id);
        if (is_excluded(request, id) || !takes(step, server, queue) || !has_free_slot(step, server, leaves_out)) {
            continue;
        }
        const double jitter = 0.95 + static_cast<double>(step.state.random() % 1000) / 10000.0;
        const double time = expected_time_at(step, server) * jitter;
        if (best != nullptr && time >= best_time) {
            continue;
        }
        if (is_cold(server, step.now)) {
            auto server_copy = server;
            if (!take_whole_cold_token(step.state, server_copy, step.now)) {
                continue;
            }
        }
        best = &server;
        best_time = time;
    }
    return best;
}

/// Expected time until the slot for the request is free that has `ahead` requests before it; nothing if no server takes
/// it.
std::optional<std::chrono::microseconds> expected_wait(step& step, const slot_request& request, std::size_t ahead) {
    const auto queue = queue_of(request);
    double rate = 0;
    for (const auto& id : servers_of_queue(step, queue)) {
        const auto& server = step.state.servers.at(id);
        if (!is_excluded(request, id) && takes(step, server, queue) && !is_cold(server, step.now)) {
            rate += server.registration.slots / static_cast<double>(usual_time(step.state, server).count());
        }
    }
    if (rate <= 0) {
        return std::nullopt;
    }
    return std::chrono::microseconds(static_cast<std::int64_t>(static_cast<double>(ahead + 1) / rate));
}

void reply(step& step, const slot_request& request, slot_outcome outcome, const model::backend_server_id& server,
           std::chrono::milliseconds wait) {
    step.add(send_slot_answer{request.sender, {step.state.self.instance, request.ask, outcome, server, wait}});
}

bool grant(step& step, const slot_request& request) {
    auto* const server = choose_free_server(step, request);
    if (server == nullptr || !take_whole_cold_token(step.state, *server, step.now)) {
        return false;
    }
    use_slot(step, {request.sender, request.ask}, server->registration.id, request.incarnation);
    reply(step, request, slot_outcome::granted, server->registration.id, std::chrono::milliseconds(0));
    return true;
}

/// Gives free slots to the requests of the queue.
void serve_queue(step& step, const ask_queue_id& id) {
    const auto found = step.state.dispatch.queues.find(id);
    if (found == step.state.dispatch.queues.end()) {
        return;
    }
    auto& queue = found->second;
    for (auto at = queue.begin(); at != queue.end();) {
        if (!grant(step, at->second.request)) {
            // One that has tried the free servers must not hold up the others.
            if (at->second.request.excluded.empty()) {
                break;
            }
            ++at;
            continue;
        }
        at = queue.erase(at);
    }
    if (queue.empty()) {
        step.state.dispatch.queues.erase(found);
    }
}

void remove_from_queue(step& step, const ask_id& id) {
    for (auto& [queue_id, queue] : step.state.dispatch.queues) {
        std::erase_if(queue, [&id](const auto& entry) { return std::get<2>(entry.first) == id; });
    }
}

/// The sender must not use the server for now, so its waiting requests get the slots of others.
void exclude_from_waiting(step& step, const model::instance_id& sender, const server_group& group,
                          const model::backend_server_id& server) {
    const auto found = step.state.dispatch.queues.find({group, {}});
    if (found == step.state.dispatch.queues.end()) {
        return;
    }
    for (auto& [place, waiting] : found->second) {
        if (waiting.request.sender == sender && !is_excluded(waiting.request, server)) {
            waiting.request.excluded.push_back(server);
        }
    }
}

void drop_old_asks(step& step) {
    for (auto& [queue_id, queue] : step.state.dispatch.queues) {
        for (auto at = queue.begin(); at != queue.end();) {
            const auto& waiting = at->second;
            if (step.now <= waiting.until && step.now - waiting.heard_at <= queue_expiry) {
                ++at;
                continue;
            }
            if (step.now > waiting.until) {
                const auto wait =
                    expected_wait(step, waiting.request, queue.size()).value_or(std::chrono::microseconds(0));
                reply(step, waiting.request, slot_outcome::refused, {},
                      std::chrono::duration_cast<std::chrono::milliseconds>(wait));
            }
            at = queue.erase(at);
        }
    }
}

} // namespace

void answer_slot_request(step& step, const slot_request& event) {
    auto& dispatch = step.state.dispatch;
    if (!step.state.registry_known || step.state.shutting_down) {
        // The sender asks another dispatcher.
        return;
    }
    const ask_id id{event.sender, event.ask};
    if (const auto slot = dispatch.slots.find(id); slot != dispatch.slots.end()) {
        reply(step, event, slot_outcome::granted, slot->second.server, std::chrono::milliseconds(0));
        return;
    }
    const auto queue_id = queue_of(event);
    auto& queue = dispatch.queues[queue_id];
    const auto known =
        std::find_if(queue.begin(), queue.end(), [&id](const auto& entry) { return std::get<2>(entry.first) == id; });
    if (known != queue.end()) {
        known->second.heard_at = step.now;
        reply(step, event, slot_outcome::queued, {}, std::chrono::milliseconds(0));
        return;
    }
    const std::tuple place{event.priority, step.now - event.age, id};
    const auto ahead = static_cast<std::size_t>(std::distance(queue.begin(), queue.lower_bound(place)));
    const bool first = ahead == 0;
    if (first && grant(step, event)) {
        if (queue.empty()) {
            dispatch.queues.erase(queue_id);
        }
        return;
    }
    const auto wait = expected_wait(step, event, ahead);
    if (!wait || *wait > event.patience * queue_acceptance_percent / 100) {
        const auto told =
            std::chrono::duration_cast<std::chrono::milliseconds>(wait.value_or(std::chrono::microseconds(0)));
        reply(step, event, slot_outcome::refused, {}, told);
    } else {
        queue[place] = {event, step.now + event.patience, step.now};
        reply(step, event, slot_outcome::queued, {}, std::chrono::milliseconds(0));
    }
    if (queue.empty()) {
        dispatch.queues.erase(queue_id);
    }
}

void release_slot(step& step, const slot_release& event) {
    auto& dispatch = step.state.dispatch;
    const ask_id id{event.sender, event.ask};
    remove_from_queue(step, id);
    const auto slot = dispatch.slots.find(id);
    if (slot == dispatch.slots.end()) {
        return;
    }
    const auto server = step.state.servers.find(slot->second.server);
    free_slot(step, slot);
    if (server == step.state.servers.end()) {
        return;
    }
    if (event.attempt && event.sender != step.state.self.instance) {
        const auto& attempt = *event.attempt;
        record_outcome(step, server->second, {0, {}, attempt.outcome, attempt.status, false, attempt.load},
                       attempt.elapsed);
        if (attempt.signals.leaving) {
            note_told_leaving(step, server->second, attempt.server_born, std::chrono::milliseconds(0));
        }
    }
    const auto group = group_of(step.state, server->second.registration);
    if (event.attempt && event.attempt->signals.pause.count() > 0) {
        exclude_from_waiting(step, event.sender, group, server->first);
    }
    serve_queue(step, {group, server->first});
    serve_queue(step, {group, {}});
}

void note_slot_report(step& step, const slot_report& event) {
    auto& dispatch = step.state.dispatch;
    const auto in_report = [&event](const ask_id& id) {
        return std::any_of(event.slots.begin(), event.slots.end(),
                           [&id](const slot_in_use& slot) { return slot.ask == id.ask; });
    };
    for (auto at = dispatch.slots.lower_bound({event.sender, 0});
         at != dispatch.slots.end() && at->first.sender == event.sender;) {
        const auto next = std::next(at);
        const bool recent = step.now - at->second.granted_at < slot_report_period;
        if (at->second.incarnation != event.incarnation || (!in_report(at->first) && !recent)) {
            free_slot(step, at);
        }
        at = next;
    }
    for (const auto& slot : event.slots) {
        const ask_id id{event.sender, slot.ask};
        const auto known = dispatch.slots.find(id);
        if (known == dispatch.slots.end()) {
            use_slot(step, id, slot.server, event.incarnation);
        } else {
            known->second.confirmed_at = step.now;
        }
    }
}

std::size_t queued_asks(const state& state) {
    std::size_t count = 0;
    for (const auto& [id, queue] : state.dispatch.queues) {
        count += queue.size();
    }
    return count;
}

void run_dispatcher(step& step) {
    auto& dispatch = step.state.dispatch;
    for (auto at = dispatch.slots.begin(); at != dispatch.slots.end();) {
        const auto next = std::next(at);
        if (step.now - at->second.confirmed_at > slot_expiry) {
            free_slot(step, at);
        }
        at = next;
    }
    drop_old_asks(step);
    std::vector<ask_queue_id> queues;
    for (const auto& [id, queue] : dispatch.queues) {
        queues.push_back(id);
    }
    for (const auto& id : queues) {
        serve_queue(step, id);
    }
}

} // namespace lovagetack::routing
