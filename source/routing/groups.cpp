#include "routing/groups.hpp"

#include <algorithm>
#include <functional>

#include "routing/limits.hpp"

namespace lovagetack::routing {
namespace {

using service_place = std::pair<model::service_id, model::data_centre_id>;

std::uint32_t group_number(const model::backend_server_id& server, std::uint32_t groups) {
    return static_cast<std::uint32_t>(std::hash<std::string>{}(server.value()) % groups);
}

void find_groups(state& state) {
    auto& dispatch = state.dispatch;
    if (dispatch.groups_known) {
        return;
    }
    dispatch.groups_known = true;
    dispatch.groups.clear();
    dispatch.group_counts.clear();
    std::map<service_place, std::vector<model::backend_server_id>> places;
    for (const auto& [id, server] : state.servers) {
        if (server.registered) {
            places[{server.registration.service, server.registration.data_centre}].push_back(id);
        }
    }
    for (const auto& [place, servers] : places) {
        const auto count = static_cast<std::uint32_t>((servers.size() + servers_per_group - 1) / servers_per_group);
        dispatch.group_counts[place] = count;
        for (const auto& id : servers) {
            dispatch.groups[{place.first, place.second, group_number(id, count)}].push_back(id);
        }
    }
}

std::size_t dispatcher_hash(const model::instance_id& instance, const server_group& group) {
    return std::hash<std::string>{}(instance.value() + '/' + group.service.value() + '/' + group.data_centre.value() +
                                    '/' + std::to_string(group.number));
}

} // namespace

void forget_groups(state& state) {
    state.dispatch.groups_known = false;
}

std::uint32_t count_groups(state& state, const model::service_id& service, const model::data_centre_id& data_centre) {
    find_groups(state);
    const auto found = state.dispatch.group_counts.find({service, data_centre});
    return found == state.dispatch.group_counts.end() ? 0 : found->second;
}

const std::vector<model::backend_server_id>& servers_of(state& state, const server_group& group) {
    static const std::vector<model::backend_server_id> none;
    find_groups(state);
    const auto found = state.dispatch.groups.find(group);
    return found == state.dispatch.groups.end() ? none : found->second;
}

server_group group_of(state& state, const backend_server& server) {
    const auto count = std::max(std::uint32_t(1), count_groups(state, server.service, server.data_centre));
    return {server.service, server.data_centre, group_number(server.id, count)};
}

std::vector<model::data_centre_id> data_centres_of(state& state, const model::service_id& service) {
    find_groups(state);
    std::vector<model::data_centre_id> found;
    for (const auto& [place, count] : state.dispatch.group_counts) {
        if (place.first == service) {
            found.push_back(place.second);
        }
    }
    return found;
}

std::optional<model::instance_id> dispatcher_of(const state& state, const server_group& group, base::boot_time now) {
    std::optional<model::instance_id> best;
    std::size_t best_hash = 0;
    for (const auto& [id, record] : state.instances) {
        if (record.data_centre != group.data_centre || record.protocol < dispatcher_protocol) {
            continue;
        }
        const auto suspect = state.dispatch.suspects.find(id);
        if (suspect != state.dispatch.suspects.end() && suspect->second.until > now) {
            continue;
        }
        const auto hash = dispatcher_hash(id, group);
        if (!best || hash > best_hash) {
            best = id;
            best_hash = hash;
        }
    }
    return best;
}

} // namespace lovagetack::routing
