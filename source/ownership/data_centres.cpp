#include "ownership/data_centres.hpp"

#include <algorithm>
#include <cmath>

#include "ownership/assigning.hpp"
#include "ownership/intervals.hpp"
#include "ownership/servers.hpp"
#include "ownership/store.hpp"

namespace lovagetack::ownership {
namespace {

/// Number of servers of the service in the data centre that no operator took out of service.
std::size_t servers_in_service(const state& state, const model::service_id& service,
                               const model::data_centre_id& data_centre) {
    const auto& servers = state.deployment.backend_servers;
    return static_cast<std::size_t>(std::count_if(servers.begin(), servers.end(), [&](const auto& server) {
        return server.service == service && server.data_centre == data_centre && !is_out_of_service(state, server);
    }));
}

std::vector<model::data_centre_id> destinations(const state& state, const model::service_id& service) {
    std::vector<model::data_centre_id> result;
    for (const auto& data_centre : state.deployment.data_centres) {
        if (data_centre != state.data_centre && servers_in_service(state, service, data_centre) > 0) {
            result.push_back(data_centre);
        }
    }
    return result;
}

bool is_evacuating(const state& state, const model::service_id& service) {
    return availability_of(state, state.data_centre) != model::availability::in_service &&
           !destinations(state, service).empty();
}

model::assignment row_value(const state& state, const row_name& name) {
    const auto found = state.assignments.find(name);
    return found == state.assignments.end() ? model::assignment{name.first, name.second, {}} : found->second.value;
}

model::fence highest_fence(const state& state, const model::service_id& service, const model::range_assignment& entry) {
    model::fence highest;
    const auto found = state.granted.find(service);
    if (found == state.granted.end()) {
        return highest;
    }
    for (const auto& piece : found->second) {
        if (overlap(piece.first, piece.last, entry.first, entry.last)) {
            highest = std::max(highest, piece.fence);
        }
    }
    return highest;
}

/// Adds a range to a row, with servers of the row's data centre and fences above all former ones.
bool add_range(step& step, model::assignment& row, server_selector& selector, model::range_assignment entry,
               model::change_reason reason) {
    const auto floor = highest_fence(step.state, row.service, entry);
    const auto owner = selector.pick({});
    if (owner.empty()) {
        return false;
    }
    entry.owner = owner;
    entry.owner_fence = next_fence(step.state, entry, floor);
    entry.successor = selector.pick(owner);
    entry.successor_fence = next_fence(step.state, entry, floor);
    entry.reason = reason;
    entry.changed_in = step.state.epoch;
    const auto place = std::find_if(row.ranges.begin(), row.ranges.end(),
                                    [&](const auto& other) { return other.first > entry.first; });
    row.ranges.insert(place, std::move(entry));
    return true;
}

bool no_server_may_execute(const step& step, const model::service_id& service, const model::range_assignment& entry) {
    const auto& servers = step.state.servers;
    return std::none_of(servers.begin(), servers.end(), [&](const auto& known) {
        return known.second.server.service == service &&
               may_execute(step.state, known.second, service, entry.first, entry.last, step.now);
    });
}

/// Moves the entries that `leaves` selects, and that nobody can execute any more, to one other data centre.
template <class Selection>
void move_entries(step& step, const model::service_id& service, const model::data_centre_id& destination,
                  model::change_reason reason, Selection leaves) {
    auto& state = step.state;
    const row_name to{service, destination};
    if (is_writing(state, {service, state.data_centre}) || is_writing(state, to)) {
        return;
    }
    const auto* own = own_row(state, service);
    model::assignment kept{service, state.data_centre, {}};
    auto grown = row_value(state, to);
    server_selector selector(state, service, destination, step.now);
    bool changes = false;
    for (const auto& entry : own->value.ranges) {
        const bool goes = leaves(entry) && no_server_may_execute(step, service, entry) &&
                          add_range(step, grown, selector, entry, reason);
        if (!goes) {
            kept.ranges.push_back(entry);
            continue;
        }
        changes = true;
        state.departures.push_back({service, entry.first, entry.last, destination, own->version});
    }
    if (changes) {
        write_rows(step, {std::move(kept), std::move(grown)});
    }
}

void evacuate_data_centre(step& step, const model::service_id& service) {
    const auto targets = destinations(step.state, service);
    // The ranges go to each destination in turn, by the position of their first hash.
    for (std::size_t index = 0; index < targets.size(); ++index) {
        move_entries(step, service, targets[index], model::change_reason::drain,
                     [&](const model::range_assignment& entry) {
                         const auto hash = entry.first * 0x9E3779B97F4A7C15ULL;
                         return (hash >> 32U) % targets.size() == index;
                     });
    }
}

double width_of(const model::range_assignment& entry) {
    return static_cast<double>(entry.last - entry.first) + 1.0;
}

double width_of(const model::assignment& row) {
    double width = 0;
    for (const auto& entry : row.ranges) {
        width += width_of(entry);
    }
    return width;
}

/// Share of the hash space that belongs to the data centre by the number of its servers.
double fair_width(const state& state, const model::service_id& service, const model::data_centre_id& data_centre) {
    std::size_t all = 0;
    for (const auto& each : state.deployment.data_centres) {
        all += servers_in_service(state, service, each);
    }
    const auto own = servers_in_service(state, service, data_centre);
    return all == 0 ? 0.0 : std::ldexp(static_cast<double>(own) / static_cast<double>(all), 64);
}

/// Chooses a range for a data centre that has less than its share, for example after its return.
void plan_departure(step& step, const model::service_id& service, const model::assignment& own) {
    auto& state = step.state;
    const auto surplus = width_of(own) - fair_width(state, service, state.data_centre);
    for (const auto& destination : destinations(state, service)) {
        const auto lack = fair_width(state, service, destination) - width_of(row_value(state, {service, destination}));
        for (const auto& entry : own.ranges) {
            const auto width = width_of(entry);
            if (width > surplus || width > lack) {
                continue;
            }
            if (use_move_budget(step)) {
                const auto version = own_row(state, service)->version;
                state.departures.push_back({service, entry.first, entry.last, destination, version});
                state.planned_departure = state.departures.back();
            }
            return;
        }
    }
}

void rebalance_data_centres(step& step, const model::service_id& service, const model::assignment& own) {
    auto& state = step.state;
    if (!state.planned_departure) {
        plan_departure(step, service, own);
        return;
    }
    const auto planned = *state.planned_departure;
    if (planned.service != service) {
        return;
    }
    const bool present = std::any_of(own.ranges.begin(), own.ranges.end(), [&](const auto& entry) {
        return entry.first == planned.first && entry.last == planned.last;
    });
    if (!present || servers_in_service(state, service, planned.destination) == 0) {
        state.planned_departure.reset();
        return;
    }
    if (state.departures.empty()) {
        // The row got a new version meanwhile.
        state.departures.push_back(planned);
        state.departures.back().row_version = own_row(state, service)->version;
    }
    move_entries(step, service, planned.destination, model::change_reason::move,
                 [&](const auto& entry) { return entry.first == planned.first && entry.last == planned.last; });
}

/// The first data centre in service, by name, takes over the ranges of lost ones, whose controllers do not return.
void take_over_lost_ranges(step& step, const model::service_id& service) {
    auto& state = step.state;
    for (const auto& data_centre : state.deployment.data_centres) {
        if (availability_of(state, data_centre) == model::availability::in_service &&
            servers_in_service(state, service, data_centre) > 0 && data_centre < state.data_centre) {
            return;
        }
    }
    for (const auto& data_centre : state.deployment.data_centres) {
        const row_name lost{service, data_centre};
        auto from = row_value(state, lost);
        const bool applies = availability_of(state, data_centre) == model::availability::lost &&
                             data_centre != state.data_centre && !from.ranges.empty();
        if (!applies || is_writing(state, lost) || is_writing(state, {service, state.data_centre})) {
            continue;
        }
        auto grown = row_value(state, {service, state.data_centre});
        server_selector selector(state, service, state.data_centre, step.now);
        for (const auto& entry : from.ranges) {
            if (!add_range(step, grown, selector, entry, model::change_reason::failover)) {
                return;
            }
        }
        from.ranges.clear();
        write_rows(step, {std::move(from), std::move(grown)});
        return;
    }
}

/// Removes the moves that are settled, because the row has a later version: a write that is still in progress then
/// conflicts.
void remove_settled_departures(step& step) {
    auto& state = step.state;
    std::erase_if(state.departures, [&](const departure& departure) {
        const auto* row = own_row(state, departure.service);
        return row == nullptr || row->version > departure.row_version;
    });
}

/// The range of a cancelled move stays withheld until the row has a new version, so this writes one.
bool settle_cancelled_move(step& step, const model::service_id& service, const model::assignment& own) {
    auto& state = step.state;
    const bool cancelled =
        std::any_of(state.departures.begin(), state.departures.end(), [&](const departure& departure) {
            return departure.service == service &&
                   !(state.planned_departure && state.planned_departure->service == service &&
                     state.planned_departure->first == departure.first);
        });
    if (!cancelled || is_writing(state, {service, state.data_centre})) {
        return false;
    }
    write_rows(step, {own});
    return true;
}

bool listed(const std::vector<departure>& list, const model::service_id& service, const unit& unit) {
    return std::any_of(list.begin(), list.end(), [&](const departure& departure) {
        return departure.service == service && overlap(departure.first, departure.last, unit.first, unit.last);
    });
}

} // namespace

void move_between_data_centres(step& step) {
    auto& state = step.state;
    remove_settled_departures(step);
    if (!may_write_rows(step)) {
        return;
    }
    state.withdrawn.clear();
    for (const auto& service : state.deployment.services) {
        const auto* row = own_row(state, service.id);
        if (!service.divided_by_key || row == nullptr) {
            continue;
        }
        const auto& own = row->value;
        if (is_evacuating(state, service.id)) {
            state.planned_departure.reset();
            evacuate_data_centre(step, service.id);
            continue;
        }
        if (availability_of(state, state.data_centre) != model::availability::in_service ||
            settle_cancelled_move(step, service.id, own)) {
            continue;
        }
        take_over_lost_ranges(step, service.id);
        rebalance_data_centres(step, service.id, own);
    }
}

bool is_withheld(const state& state, const model::service_id& service, const unit& unit) {
    if (is_evacuating(state, service) || listed(state.departures, service, unit)) {
        return true;
    }
    return unit.row_relation == row_relation::with_owner && listed(state.withdrawn, service, unit);
}

void withhold_withdrawn(state& state) {
    state.withdrawn.clear();
    state.planned_departure.reset();
    for (const auto& [name, known] : state.activations) {
        if (name.second != state.data_centre || known.version.epoch == state.epoch.value()) {
            continue;
        }
        for (const auto& unit : units_of(state, name.first, state.term_start)) {
            const bool was_active =
                std::any_of(known.value.ranges.begin(), known.value.ranges.end(),
                            [&](const auto& range) { return overlap(range.first, range.last, unit.first, unit.last); });
            if (unit.highest && !was_active) {
                state.withdrawn.push_back({name.first, unit.first, unit.last, {}, 0});
            }
        }
    }
}

bool use_move_budget(step& step) {
    auto& moves = step.state.recent_moves;
    while (!moves.empty() && step.now - moves.front() > step.state.rules.move_window) {
        moves.pop_front();
    }
    if (moves.size() >= step.state.rules.moves_per_window) {
        return false;
    }
    moves.push_back(step.now);
    return true;
}

} // namespace lovagetack::ownership
