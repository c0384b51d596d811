#include "routing/explanation/explanation.hpp"

#include <algorithm>
#include <array>
#include <limits>
#include <utility>

#include "accounts/directory.hpp"
#include "routing/assignment.hpp"
#include "routing/dispatching.hpp"
#include "routing/exchanges.hpp"
#include "routing/groups.hpp"
#include "routing/limits.hpp"
#include "routing/reduce.hpp"
#include "routing/requests.hpp"
#include "routing/servers.hpp"
#include "routing/signals.hpp"
#include "routing/step.hpp"

namespace lovagetack::routing {
namespace {

/// Numbers that no request has, and that are after those of all requests that arrived at the same moment.
constexpr auto explained_exchange = std::numeric_limits<exchange_id>::max();
constexpr auto explained_ask = std::numeric_limits<std::uint64_t>::max();
/// Servers that an explanation shows.
constexpr std::size_t most_outlooks = 16;

/// Something that keeps requests away from a server.
struct obstacle {
    std::string_view name;
    bool (*applies)(const state& state, const server_record& server, base::boot_time now);
};

constexpr std::array obstacles{
    obstacle{"not_registered", [](const state& /*state*/, const server_record& server,
                                  base::boot_time /*now*/) { return !server.registered; }},
    obstacle{"leaving", [](const state& /*state*/, const server_record& server,
                           base::boot_time /*now*/) { return is_leaving(server); }},
    obstacle{"evacuated",
             [](const state& state, const server_record& server, base::boot_time /*now*/) {
                 return state.evacuated.contains(server.registration.data_centre);
             }},
    obstacle{"cold", [](const state& /*state*/, const server_record& server,
                        base::boot_time now) { return is_cold(server, now); }},
    obstacle{"unreachable", [](const state& /*state*/, const server_record& server,
                               base::boot_time now) { return is_unreachable(server, now); }},
    obstacle{"paused_after_failures", [](const state& /*state*/, const server_record& server,
                                         base::boot_time now) { return server.paused_until > now; }},
    obstacle{"asked_for_a_pause", [](const state& /*state*/, const server_record& server,
                                     base::boot_time now) { return !accepts_from_here(server, now); }},
    obstacle{"backed_off",
             [](const state& state, const server_record& server, base::boot_time /*now*/) {
                 return !divided_by_key(state, server.registration.service) && server.backoff.active();
             }},
    obstacle{"limited",
             [](const state& state, const server_record& server, base::boot_time now) {
                 return most_at_once(state, server, now) < server.registration.slots;
             }},
};

server_outlook outlook_of(const state& state, const server_record& server, base::boot_time now) {
    server_outlook found;
    found.server = server.registration.id;
    found.data_centre = server.registration.data_centre;
    found.slots = server.registration.slots;
    found.most_at_once = most_at_once(state, server, now);
    found.in_progress = server.outstanding + server.peers_outstanding;
    found.work_time = usual_time(state, server, now);
    found.expected_time = expected_time(state, server, now);
    if (server.capacity.known()) {
        found.learned_ago = server.capacity.age(now);
    }
    if (now - server.load_at < report_age) {
        found.slowness = server.load.slowness;
    }
    found.rejecting = server.backoff.share();
    for (const auto& obstacle : obstacles) {
        if (obstacle.applies(state, server, now)) {
            found.obstacles.push_back(obstacle.name);
        }
    }
    return found;
}

std::vector<server_outlook> outlooks_of(const state& state, const std::vector<model::backend_server_id>& servers,
                                        base::boot_time now) {
    std::vector<server_outlook> found;
    for (const auto& id : servers) {
        if (const auto server = state.servers.find(id); server != state.servers.end()) {
            found.push_back(outlook_of(state, server->second, now));
        }
    }
    std::stable_sort(found.begin(), found.end(),
                     [](const auto& one, const auto& other) { return one.expected_time < other.expected_time; });
    found.resize(std::min(found.size(), most_outlooks));
    return found;
}

std::vector<model::backend_server_id> servers_of_service(const state& state, const model::service_id& service) {
    std::vector<model::backend_server_id> found;
    for (const auto& [id, server] : state.servers) {
        if (server.registration.service == service) {
            found.push_back(id);
        }
    }
    return found;
}

/// The effect of the kind that concerns the explained request; null if there is none.
template <class Effect>
const Effect* find_effect(const effects& effects) {
    for (const auto& effect : effects) {
        if (const auto* const body = std::get_if<Effect>(&effect); body && body->exchange == explained_exchange) {
            return body;
        }
    }
    return nullptr;
}

void explain_refusal(const effects& effects, request_explanation& result) {
    if (const auto* const refusal = find_effect<answer_caller>(effects)) {
        result.status = refusal->status;
        result.code = refusal->code;
        result.retry_after = refusal->retry_after;
    }
}

void explain_slot_request(const step& step, const exchange& exchange, request_explanation& result) {
    result.placement = placement::asks_for_slot;
    result.dispatcher = exchange.dispatcher;
    for (const auto& effect : step.effects) {
        const auto* const sent = std::get_if<send_slot_request>(&effect);
        if (sent != nullptr && sent->request.ask == exchange.ask) {
            result.slot = sent->request;
            result.slot->ask = explained_ask;
        }
    }
}

/// Where the request is after the decision.
void explain_placement(const step& step, request_explanation& result) {
    const auto found = step.state.exchanges.find(explained_exchange);
    if (found == step.state.exchanges.end()) {
        explain_refusal(step.effects, result);
        return;
    }
    const auto& exchange = found->second;
    result.service = exchange.service;
    switch (exchange.phase) {
    case exchange_phase::sent:
        result.placement = placement::sent;
        result.server = exchange.server;
        return;
    case exchange_phase::asking:
        explain_slot_request(step, exchange, result);
        return;
    case exchange_phase::waiting:
        result.placement = placement::waits_for_owner;
        return;
    case exchange_phase::queued:
    case exchange_phase::counting:
        result.placement = placement::queued;
        return;
    }
}

/// What the decision rested on, as it was before the request. `copy` is only asked for its groups.
void explain_servers(const state& state, routing::state& copy, base::boot_time now, const request_arrived& request,
                     request_explanation& result) {
    const auto service = state.services.find(result.service);
    const bool has_record = service != state.services.end();
    if (!divided_by_key(state, result.service)) {
        const auto servers = result.slot
                                 ? servers_of(copy, {result.service, result.slot->data_centre, result.slot->group})
                                 : servers_of_service(state, result.service);
        result.servers = outlooks_of(state, servers, now);
        result.queued = has_record ? service->second.queue.size() : 0;
        return;
    }
    const auto* const range =
        has_record && request.key ? find_range(service->second.assignment, *request.key) : nullptr;
    if (range == nullptr) {
        return;
    }
    result.range = *range;
    result.server = range->owner;
    result.servers = outlooks_of(state, {range->owner}, now);
    if (const auto owner = state.servers.find(range->owner); owner != state.servers.end()) {
        result.queued = owner->second.queue.size();
    }
}

} // namespace

std::string_view name_of(placement placement) {
    switch (placement) {
    case placement::refused:
        return "refused";
    case placement::sent:
        return "sent";
    case placement::asks_for_slot:
        return "asks_for_slot";
    case placement::queued:
        return "queued";
    case placement::waits_for_owner:
        return "waits_for_owner";
    }
    return "";
}

request_explanation explain_request(const state& state, base::boot_time now, request_arrived request) {
    request_explanation result;
    const auto& configuration = state.configuration;
    if (const auto* const route = find_route(configuration, request.host, request.path)) {
        result.route = *route;
        result.service = route->targets.size() == 1 ? route->targets.front().service : model::service_id();
        const auto caller = identify(configuration.accounts, request.credential, route->anonymous);
        if (!configuration.accounts.empty()) {
            result.account = caller.account != nullptr ? caller.account->name : model::client_account_id();
        }
        result.priority =
            caller.account != nullptr ? caller.account->priority.value_or(route->priority) : route->priority;
    }
    request.exchange = explained_exchange;
    request.arrived = now;
    auto copy = state;
    step step{copy, now, reduce(copy, now, request)};
    const auto admitted = copy.exchanges.find(explained_exchange);
    if (admitted != copy.exchanges.end() && admitted->second.phase == exchange_phase::counting) {
        result.waits_for_token = true;
        place_admitted(step, explained_exchange);
    }
    explain_placement(step, result);
    explain_servers(state, copy, now, request, result);
    return result;
}

slot_explanation explain_slot(const state& state, base::boot_time now, slot_request request) {
    slot_explanation result;
    request.ask = explained_ask;
    auto copy = state;
    const server_group group{request.service, request.data_centre, request.group};
    result.dispatcher = dispatcher_of(copy, group, now).value_or(model::instance_id());
    const auto servers = request.server.empty() ? servers_of(copy, group) : std::vector{request.server};
    result.servers = outlooks_of(state, servers, now);
    for (auto& outlook : result.servers) {
        const auto used = state.dispatch.used.find(outlook.server);
        outlook.in_progress = used == state.dispatch.used.end() ? 0 : used->second;
    }
    const auto queue = state.dispatch.queues.find({group, request.server});
    if (queue != state.dispatch.queues.end()) {
        const std::tuple place{request.priority, now - request.age, ask_id{request.sender, request.ask}};
        result.queued = queue->second.size();
        result.ahead = static_cast<std::size_t>(std::distance(queue->second.begin(), queue->second.lower_bound(place)));
    }
    step step{copy, now, {}};
    answer_slot_request(step, request);
    for (const auto& effect : step.effects) {
        const auto* const sent = std::get_if<send_slot_answer>(&effect);
        if (sent != nullptr && sent->receiver == request.sender && sent->answer.ask == explained_ask) {
            result.answer = sent->answer;
        }
    }
    return result;
}

} // namespace lovagetack::routing
