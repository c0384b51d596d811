#include "ownership/activations.hpp"

#include <algorithm>

#include "base/json.hpp"
#include "ownership/granting.hpp"
#include "ownership/intervals.hpp"
#include "ownership/servers.hpp"
#include "ownership/units.hpp"

namespace lovagetack::ownership {
namespace {

/// Whether the last controller's activation of the unit remains valid, since its server was not reached yet and is not
/// down.
bool was_active(const state& state, const model::service_id& service, const unit& unit, const server_view& view,
                base::boot_time now) {
    if (view.reached || is_down(state, view, now)) {
        return false;
    }
    const auto known = state.activations.find({service, state.data_centre});
    if (known == state.activations.end()) {
        return false;
    }
    const auto& ranges = known->second.value.ranges;
    return std::any_of(ranges.begin(), ranges.end(), [&](const model::active_range& range) {
        return range.owner == unit.target && range.fence == unit.fence && range.first <= unit.first &&
               range.last >= unit.last;
    });
}

std::vector<model::active_range> active_ranges(const state& state, const model::service_id& service,
                                               base::boot_time now) {
    std::vector<model::active_range> ranges;
    for (const auto& unit : units_of(state, service, now)) {
        const auto found = state.servers.find(unit.target);
        if (found == state.servers.end()) {
            continue;
        }
        const auto& view = found->second;
        if (is_serving(view, service, unit, now) || was_active(state, service, unit, view, now)) {
            ranges.push_back({unit.first, unit.last, unit.target, unit.fence});
        }
    }
    join_neighbours(ranges);
    return ranges;
}

void publish_activation(step& step, const model::service_id& service, std::vector<model::active_range> ranges) {
    auto& state = step.state;
    state.published[service] = ranges;
    const model::fact_version version{state.epoch.value(), ++state.activation_sequence};
    model::activation value{service, state.data_centre, state.id, std::move(ranges)};
    step.effects.emplace_back(
        model::publish_fact{model::fact{model::fact_kind::activation, service.value() + "." + state.data_centre.value(),
                                        version, base::to_json_text(value)}});
    // A later controller may already be known while the authority of this one lasts.
    auto& known = state.activations[{service, state.data_centre}];
    if (version > known.version) {
        known = {version, std::move(value)};
        state.routes_outdated = true;
    }
}

/// The active ranges of all data centres. Sorted first, so that each one is added at the end unless some overlap.
std::vector<model::active_range> combined_ranges(const state& state, const model::service_id& service) {
    std::vector<const model::active_range*> sorted;
    for (const auto& [name, known] : state.activations) {
        if (name.first != service) {
            continue;
        }
        for (const auto& range : known.value.ranges) {
            sorted.push_back(&range);
        }
    }
    std::stable_sort(sorted.begin(), sorted.end(),
                     [](const auto* left, const auto* right) { return left->first < right->first; });
    std::vector<model::active_range> result;
    for (const auto* range : sorted) {
        overlay(result, *range);
    }
    return result;
}

} // namespace

void publish_activations(step& step) {
    auto& state = step.state;
    if (!is_controller(state, step.now)) {
        return;
    }
    for (const auto& service : state.deployment.services) {
        if (!service.divided_by_key || own_row(state, service.id) == nullptr) {
            continue;
        }
        auto ranges = active_ranges(state, service.id, step.now);
        const auto published = state.published.find(service.id);
        if (published == state.published.end() || published->second != ranges) {
            publish_activation(step, service.id, std::move(ranges));
        }
    }
}

void handle_activation_fact(step& step, const model::fact& fact) {
    auto& state = step.state;
    model::activation value;
    if (!base::from_json_text(fact.value, value)) {
        return;
    }
    auto& known = state.activations[{value.service, value.data_centre}];
    if (fact.version <= known.version) {
        return;
    }
    for (const auto& range : value.ranges) {
        record_grant(state, value.service, range);
    }
    known = {fact.version, std::move(value)};
    state.routes_outdated = true;
}

void publish_routes(step& step) {
    auto& state = step.state;
    if (!state.routes_outdated) {
        return;
    }
    state.routes_outdated = false;
    std::vector<model::service_routes> routes;
    for (const auto& service : state.deployment.services) {
        if (service.divided_by_key) {
            routes.push_back({service.id, combined_ranges(state, service.id)});
        }
    }
    if (routes == state.routes) {
        return;
    }
    state.routes = routes;
    step.effects.emplace_back(model::routes_changed{std::move(routes)});
}

const model::service_routes* routes_of(const state& state, const model::service_id& service) {
    const auto found = std::find_if(state.routes.begin(), state.routes.end(),
                                    [&](const model::service_routes& routes) { return routes.service == service; });
    return found == state.routes.end() ? nullptr : &*found;
}

} // namespace lovagetack::ownership
