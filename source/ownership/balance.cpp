#include "ownership/balance.hpp"

#include <algorithm>
#include <optional>

#include "ownership/assigning.hpp"
#include "ownership/data_centres.hpp"
#include "ownership/intervals.hpp"
#include "ownership/servers.hpp"
#include "ownership/store.hpp"
#include "ownership/units.hpp"

namespace lovagetack::ownership {
namespace {

using server_loads = std::map<model::backend_server_id, std::uint64_t>;

/// Requests per entry of a row and per server in one report period.
struct row_load {
    std::vector<std::uint64_t> entries;
    server_loads servers;
    std::uint64_t total = 0;
};

/// Reported ranges may be older than the row; a report counts for the entry that contains its first hash.
std::optional<std::size_t> entry_of(const model::assignment& row, std::uint64_t hash) {
    for (std::size_t index = 0; index < row.ranges.size(); ++index) {
        if (row.ranges[index].first <= hash && hash <= row.ranges[index].last) {
            return index;
        }
    }
    return std::nullopt;
}

std::vector<const model::load_report*> fresh_reports(const step& step) {
    std::vector<const model::load_report*> reports;
    for (const auto& [id, known] : step.state.loads) {
        if (step.now - known.received_at <= step.state.rules.maximum_report_age) {
            reports.push_back(&known.report);
        }
    }
    return reports;
}

row_load load_of(const step& step, const model::assignment& row) {
    row_load load;
    load.entries.resize(row.ranges.size());
    for (const auto& [id, view] : step.state.servers) {
        if (view.server.service == row.service && is_usable(step.state, id, step.now)) {
            load.servers[id] = 0;
        }
    }
    for (const auto* report : fresh_reports(step)) {
        for (const auto& range : report->ranges) {
            const auto index = entry_of(row, range.first);
            if (range.service != row.service || !index) {
                continue;
            }
            load.entries[*index] += range.requests;
            load.servers[row.ranges[*index].owner] += range.requests;
            load.total += range.requests;
        }
    }
    return load;
}

/// Splits an entry in two that keep owner, successor and fences, since a split does not change the ownership.
void split_entry(model::assignment& row, std::size_t index, std::uint64_t hash) {
    auto& entry = row.ranges[index];
    if (hash <= entry.first || hash > entry.last) {
        return;
    }
    auto upper = entry;
    upper.first = hash;
    entry.last = hash - 1;
    row.ranges.insert(row.ranges.begin() + static_cast<std::ptrdiff_t>(index) + 1, std::move(upper));
}

void set_reason(const step& step, model::range_assignment& entry, model::change_reason reason) {
    entry.reason = reason;
    entry.changed_in = step.state.epoch;
}

/// Gives the first reported key with more than hot_key_percent of its server's load a range of its own, unless it has
/// one already.
bool isolate_hot_key(step& step, model::assignment& row, const row_load& load) {
    for (const auto* report : fresh_reports(step)) {
        for (const auto& key : report->hot_keys) {
            const auto index = entry_of(row, key.hash);
            if (key.service != row.service || !index) {
                continue;
            }
            const auto& entry = row.ranges[*index];
            const auto server = load.servers.find(entry.owner);
            const auto certain = key.count - std::min(key.count, key.error);
            const bool hot = server != load.servers.end() &&
                             certain * 100 > server->second * step.state.rules.hot_key_percent && certain > 0;
            if (!hot || entry.first == entry.last) {
                continue;
            }
            if (key.hash != entry.last) {
                split_entry(row, *index, key.hash + 1);
            }
            split_entry(row, *index, key.hash);
            auto& isolated = row.ranges[*entry_of(row, key.hash)];
            set_reason(step, isolated, model::change_reason::hot_key);
            add_timeline_entry(step, "hot_key_isolated",
                               {{"service", row.service.value()},
                                {"first", std::to_string(isolated.first)},
                                {"last", std::to_string(isolated.last)},
                                {"owner", isolated.owner.value()},
                                {"requests", std::to_string(key.count)}});
            return true;
        }
    }
    return false;
}

bool split_heavy_range(step& step, model::assignment& row, const row_load& load) {
    const auto most = std::max_element(load.entries.begin(), load.entries.end());
    if (most == load.entries.end()) {
        return false;
    }
    const auto index = static_cast<std::size_t>(most - load.entries.begin());
    const auto first = row.ranges[index].first;
    const auto last = row.ranges[index].last;
    const bool heavy = *most * load.entries.size() * 100 > load.total * step.state.rules.split_percent;
    // Splitting adds ranges, so the maximum of a row is checked here. The range of a hot key has one hash and can't be
    // split.
    const bool full =
        row.ranges.size() >= step.state.rules.ranges_per_server * std::max<std::size_t>(1, load.servers.size());
    if (!heavy || full || first == last) {
        return false;
    }
    split_entry(row, index, first + (last - first) / 2 + 1);
    add_timeline_entry(
        step, "range_split",
        {{"service", row.service.value()}, {"first", std::to_string(first)}, {"last", std::to_string(last)}});
    set_reason(step, row.ranges[index], model::change_reason::balance);
    set_reason(step, row.ranges[index + 1], model::change_reason::balance);
    return true;
}

/// The entry of the most loaded server whose load is nearest to half of the difference to the least loaded one.
std::optional<std::size_t> best_entry(const model::assignment& row, const row_load& load,
                                      const model::backend_server_id& from, std::uint64_t difference) {
    std::optional<std::size_t> best;
    for (std::size_t index = 0; index < row.ranges.size(); ++index) {
        const auto own = load.entries[index];
        if (row.ranges[index].owner != from || own == 0 || own >= difference) {
            continue;
        }
        const auto distance = [&](std::uint64_t value) {
            return value > difference / 2 ? value - difference / 2 : difference / 2 - value;
        };
        if (!best || distance(own) < distance(load.entries[*best])) {
            best = index;
        }
    }
    return best;
}

bool move_range(step& step, model::assignment& row, const row_load& load) {
    const auto less = [](const auto& left, const auto& right) { return left.second < right.second; };
    const auto most = std::max_element(load.servers.begin(), load.servers.end(), less);
    const auto least = std::min_element(load.servers.begin(), load.servers.end(), less);
    if (load.servers.size() < 2) {
        return false;
    }
    const bool uneven = most->second * load.servers.size() * 100 > load.total * step.state.rules.imbalance_percent;
    const auto index = best_entry(row, load, most->first, most->second - least->second);
    if (!uneven || !index || !is_usable(step.state, least->first, step.now) || !use_move_budget(step)) {
        return false;
    }
    auto& entry = row.ranges[*index];
    add_timeline_entry(step, "range_moved",
                       {{"service", row.service.value()},
                        {"first", std::to_string(entry.first)},
                        {"last", std::to_string(entry.last)},
                        {"from", entry.owner.value()},
                        {"to", least->first.value()}});
    entry.successor = entry.owner;
    entry.owner = least->first;
    entry.owner_fence = next_fence(step.state, entry, {});
    entry.successor_fence = next_fence(step.state, entry, {});
    const bool single = entry.first == entry.last;
    set_reason(step, entry, single ? model::change_reason::hot_key : model::change_reason::balance);
    return true;
}

/// Joins two neighbours with the same owner and little load when the row has more ranges than it needs. The joined
/// range gets fences above both, so that no former successor can be above its owner.
bool merge_cold_ranges(step& step, model::assignment& row, const row_load& load) {
    const auto wanted =
        static_cast<std::size_t>(std::max(1, model::find_service(step.state.deployment, row.service)->initial_ranges));
    if (row.ranges.size() <= wanted || load.total == 0) {
        return false;
    }
    for (std::size_t index = 0; index + 1 < row.ranges.size(); ++index) {
        auto& left = row.ranges[index];
        const auto& right = row.ranges[index + 1];
        const bool cold = (load.entries[index] + load.entries[index + 1]) * load.entries.size() * 2 < load.total;
        if (!cold || left.owner != right.owner || left.last + 1 != right.first) {
            continue;
        }
        const auto highest = std::max(right.owner_fence, right.successor_fence);
        left.last = right.last;
        left.owner_fence = next_fence(step.state, left, highest);
        left.successor_fence = next_fence(step.state, left, highest);
        row.ranges.erase(row.ranges.begin() + static_cast<std::ptrdiff_t>(index) + 1);
        return true;
    }
    return false;
}

/// Whether no failover or move is in progress in the row. Other rows are not balanced, so that each change starts from
/// a settled row.
bool is_settled(const step& step, const model::assignment& row) {
    const auto units = units_of(step.state, row.service, step.now);
    return std::all_of(units.begin(), units.end(), [&](const unit& unit) {
        const auto found = step.state.servers.find(unit.target);
        return unit.row_relation == row_relation::with_owner && found != step.state.servers.end() &&
               is_serving(found->second, row.service, unit, step.now);
    });
}

} // namespace

void balance_load(step& step) {
    auto& state = step.state;
    if (!may_write_rows(step) || !state.departures.empty() || step.now < state.next_balance_at) {
        return;
    }
    state.next_balance_at = step.now + state.rules.balance_interval;
    for (const auto& service : state.deployment.services) {
        const auto* known = own_row(state, service.id);
        const bool applies = service.divided_by_key && service.checks_grants && known != nullptr &&
                             !is_writing(state, {service.id, state.data_centre});
        if (!applies || !is_settled(step, known->value)) {
            continue;
        }
        auto row = known->value;
        const auto load = load_of(step, row);
        if (load.total < state.rules.minimum_balance_requests) {
            continue;
        }
        const bool changed = isolate_hot_key(step, row, load) || split_heavy_range(step, row, load) ||
                             move_range(step, row, load) || merge_cold_ranges(step, row, load);
        if (!changed) {
            continue;
        }
        write_rows(step, {std::move(row)});
        // Reports of the period in which the row changes would count the load of the old ranges for the new ones.
        state.loads.clear();
        state.next_balance_at = step.now + 2 * state.rules.balance_interval;
        return;
    }
}

} // namespace lovagetack::ownership
