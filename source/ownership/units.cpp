#include "ownership/units.hpp"

#include <algorithm>

#include "ownership/intervals.hpp"
#include "ownership/servers.hpp"

namespace lovagetack::ownership {
namespace {

row_relation row_relation_of(const model::range_assignment& entry, const std::optional<model::active_range>& highest) {
    if (!highest || highest->fence <= entry.owner_fence) {
        return row_relation::with_owner;
    }
    const bool is_successor = highest->owner == entry.successor && highest->fence == entry.successor_fence;
    return is_successor ? row_relation::failed_over : row_relation::not_in_row;
}

bool is_owner_unavailable(const state& state, const model::backend_server_id& owner, base::boot_time now) {
    const auto found = state.servers.find(owner);
    if (found == state.servers.end() || should_release_ranges(state, owner)) {
        return true;
    }
    return is_down(state, found->second, now);
}

void choose_target(const state& state, const model::range_assignment& entry, unit& unit, base::boot_time now) {
    switch (unit.row_relation) {
    case row_relation::failed_over:
        unit.target = entry.successor;
        unit.fence = entry.successor_fence;
        return;
    case row_relation::not_in_row:
        unit.target = unit.highest->owner;
        unit.fence = unit.highest->fence;
        return;
    case row_relation::with_owner:
        break;
    }
    const bool use_successor = is_owner_unavailable(state, entry.owner, now) && !entry.successor.empty() &&
                               is_usable(state, entry.successor, now);
    unit.target = use_successor ? entry.successor : entry.owner;
    unit.fence = use_successor ? entry.successor_fence : entry.owner_fence;
}

void add_unit(const state& state, const model::assignment& row, unit unit, base::boot_time now,
              std::vector<ownership::unit>& units) {
    const auto& entry = row.ranges[unit.entry];
    unit.row_relation = row_relation_of(entry, unit.highest);
    choose_target(state, entry, unit, now);
    if (!units.empty()) {
        auto& previous = units.back();
        const bool same = previous.entry == unit.entry && previous.row_relation == unit.row_relation &&
                          previous.target == unit.target && previous.fence == unit.fence &&
                          previous.highest == unit.highest;
        if (same) {
            previous.last = unit.last;
            return;
        }
    }
    units.push_back(std::move(unit));
}

const std::vector<model::active_range>& highest_granted(const state& state, const model::service_id& service) {
    static const std::vector<model::active_range> none;
    const auto found = state.granted.find(service);
    return found == state.granted.end() ? none : found->second;
}

bool listed(const std::vector<model::granted_range>& ranges, const model::service_id& service, std::uint64_t first,
            std::uint64_t last) {
    return std::any_of(ranges.begin(), ranges.end(), [&](const model::granted_range& range) {
        return range.service == service && overlap(range.first, range.last, first, last);
    });
}

} // namespace

std::vector<unit> units_of(const state& state, const model::service_id& service, base::boot_time now) {
    std::vector<unit> units;
    const auto* row = own_row(state, service);
    if (row == nullptr) {
        return units;
    }
    const auto& pieces = highest_granted(state, service);
    auto piece = pieces.begin();
    for (std::size_t index = 0; index < row->value.ranges.size(); ++index) {
        const auto& entry = row->value.ranges[index];
        auto from = entry.first;
        while (true) {
            while (piece != pieces.end() && piece->last < from) {
                ++piece;
            }
            unit unit{from, entry.last, index, std::nullopt, row_relation::with_owner, {}, {}};
            if (piece != pieces.end() && piece->first <= from) {
                unit.highest = *piece;
                unit.last = std::min(entry.last, piece->last);
            } else if (piece != pieces.end() && piece->first <= entry.last) {
                unit.last = piece->first - 1;
            }
            const auto last = unit.last;
            add_unit(state, row->value, std::move(unit), now, units);
            if (last == entry.last) {
                break;
            }
            from = last + 1;
        }
    }
    return units;
}

bool may_execute(const state& state, const server_view& view, const model::service_id& service, std::uint64_t first,
                 std::uint64_t last, base::boot_time now) {
    if (is_expired(state, view, now)) {
        return false;
    }
    if (!view.checks_grants) {
        const auto& pieces = highest_granted(state, service);
        return std::any_of(pieces.begin(), pieces.end(), [&](const model::active_range& piece) {
            return piece.owner == view.server.id && overlap(piece.first, piece.last, first, last);
        });
    }
    if (!view.reached) {
        return true;
    }
    if (listed(view.reported_ranges, service, first, last) || listed(view.sent_ranges, service, first, last)) {
        return true;
    }
    const bool still_revoking =
        std::any_of(view.revoked.begin(), view.revoked.end(), [&](const revocation& revocation) {
            return revocation.range.service == service &&
                   overlap(revocation.range.first, revocation.range.last, first, last);
        });
    const bool busy = std::any_of(view.activity.begin(), view.activity.end(), [&](const model::range_activity& range) {
        return range.service == service && range.in_flight > 0 && overlap(range.first, range.last, first, last);
    });
    return still_revoking || busy;
}

bool is_clear(const state& state, const model::service_id& service, const unit& unit, base::boot_time now) {
    const bool unseen_owner = !state.servers.contains(own_row(state, service)->value.ranges[unit.entry].owner) ||
                              (unit.highest && !state.servers.contains(unit.highest->owner));
    // A server that left the configuration may still have a lease from the last controller.
    if (unseen_owner && now < state.term_start + state.rules.activation_wait) {
        return false;
    }
    return std::none_of(state.servers.begin(), state.servers.end(), [&](const auto& entry) {
        const auto& view = entry.second;
        return entry.first != unit.target && view.server.service == service &&
               may_execute(state, view, service, unit.first, unit.last, now);
    });
}

bool may_adopt(const state& state, const model::service_id& service, const unit& unit, base::boot_time now) {
    const auto& entry = own_row(state, service)->value.ranges[unit.entry];
    return std::none_of(state.servers.begin(), state.servers.end(), [&](const auto& known) {
        const auto& [id, view] = known;
        const bool concerned = !state.rows_final || id == entry.owner || id == entry.successor;
        return concerned && id != unit.target && view.server.service == service &&
               may_execute(state, view, service, unit.first, unit.last, now);
    });
}

bool is_serving(const server_view& view, const model::service_id& service, const unit& unit, base::boot_time now) {
    if (!view.reached || (view.checks_grants && now >= view.lease_bound)) {
        return false;
    }
    const auto& ranges = view.checks_grants ? view.reported_ranges : view.sent_ranges;
    return std::any_of(ranges.begin(), ranges.end(), [&](const model::granted_range& range) {
        return range.service == service && range.fence == unit.fence && range.first <= unit.first &&
               range.last >= unit.last;
    });
}

const known_assignment* own_row(const state& state, const model::service_id& service) {
    const auto found = state.assignments.find({service, state.data_centre});
    return found == state.assignments.end() || found->second.version == 0 ? nullptr : &found->second;
}

} // namespace lovagetack::ownership
