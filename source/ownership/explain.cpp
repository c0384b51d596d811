#include <algorithm>

#include "ownership/state.hpp"

namespace lovagetack::ownership {
namespace {

void explain_active(const state& state, const model::service_id& service, std::uint64_t hash, explanation& result) {
    const auto* routes = routes_of(state, service);
    const auto* range = routes == nullptr ? nullptr : model::find_range(*routes, hash);
    if (range == nullptr) {
        return;
    }
    result.active = true;
    result.active_owner = range->owner;
    result.active_fence = range->fence;
}

} // namespace

explanation explain(const state& state, const model::service_id& service, std::uint64_t hash) {
    explanation result;
    for (const auto& [name, known] : state.assignments) {
        if (name.first != service) {
            continue;
        }
        for (const auto& entry : known.value.ranges) {
            if (entry.first > hash || entry.last < hash) {
                continue;
            }
            result.known = true;
            result.data_centre = name.second;
            result.owner = entry.owner;
            result.fence = entry.owner_fence;
            result.successor = entry.successor;
            result.successor_fence = entry.successor_fence;
            result.row_version = known.version;
            result.reason = entry.reason;
            result.since = entry.changed_in;
        }
    }
    explain_active(state, service, hash, result);
    return result;
}

std::optional<base::boot_time> lease_bound_of(const state& state, const model::backend_server_id& id) {
    const auto found = state.servers.find(id);
    if (found == state.servers.end() || found->second.lease_bound == base::boot_time{}) {
        return std::nullopt;
    }
    return found->second.lease_bound;
}

std::string name_of(model::change_reason reason) {
    switch (reason) {
    case model::change_reason::not_known:
        break;
    case model::change_reason::initial_assignment:
        return "initial assignment";
    case model::change_reason::failover:
        return "failover";
    case model::change_reason::move:
        return "move";
    case model::change_reason::hot_key:
        return "hot key";
    case model::change_reason::balance:
        return "balance";
    case model::change_reason::drain:
        return "drain";
    }
    // Includes reasons that only newer versions know.
    return "not known";
}

} // namespace lovagetack::ownership
