#include "ownership/assigning.hpp"

#include <algorithm>
#include <limits>

#include "ownership/servers.hpp"
#include "ownership/store.hpp"
#include "ownership/units.hpp"

namespace lovagetack::ownership {
namespace {

struct initial_server {
    model::backend_server_id id;
    std::size_t data_centre = 0;
};

/// In-service backend servers of all data centres, one of each data centre in turn.
std::vector<initial_server> initial_servers(const state& state, const model::service_id& service) {
    std::vector<std::vector<initial_server>> by_data_centre(state.deployment.data_centres.size());
    for (std::size_t index = 0; index < by_data_centre.size(); ++index) {
        for (const auto& server : state.deployment.backend_servers) {
            const bool eligible = server.service == service && !is_out_of_service(state, server) &&
                                  server.data_centre == state.deployment.data_centres[index];
            if (eligible) {
                by_data_centre[index].push_back({server.id, index});
            }
        }
    }
    std::vector<initial_server> result;
    for (std::size_t turn = 0; true; ++turn) {
        const auto size_before = result.size();
        for (const auto& servers : by_data_centre) {
            if (turn < servers.size()) {
                result.push_back(servers[turn]);
            }
        }
        if (result.size() == size_before) {
            return result;
        }
    }
}

/// The server of the same data centre that follows `index` after `skipped` others, in a circle; empty when there is no
/// other.
model::backend_server_id initial_successor(const std::vector<initial_server>& servers, std::size_t index,
                                           std::size_t skipped) {
    std::vector<model::backend_server_id> others;
    for (std::size_t offset = 1; offset < servers.size(); ++offset) {
        const auto& other = servers[(index + offset) % servers.size()];
        if (other.data_centre == servers[index].data_centre) {
            others.push_back(other.id);
        }
    }
    return others.empty() ? model::backend_server_id() : others[skipped % others.size()];
}

std::vector<model::assignment> initial_rows(state& state, const model::service& service) {
    std::vector<model::assignment> rows;
    for (const auto& data_centre : state.deployment.data_centres) {
        rows.push_back({service.id, data_centre, {}});
    }
    const auto servers = initial_servers(state, service.id);
    if (servers.empty()) {
        return {};
    }
    const auto count = std::max<std::uint64_t>(static_cast<std::uint64_t>(std::max(service.initial_ranges, 1)),
                                               static_cast<std::uint64_t>(servers.size()));
    const auto width = std::numeric_limits<std::uint64_t>::max() / count;
    for (std::uint64_t index = 0; index < count; ++index) {
        const auto owner = static_cast<std::size_t>(index % servers.size());
        const auto round = static_cast<std::size_t>(index / servers.size());
        model::range_assignment entry;
        entry.first = index * width;
        entry.last = index + 1 == count ? std::numeric_limits<std::uint64_t>::max() : (index + 1) * width - 1;
        entry.owner = servers[owner].id;
        entry.owner_fence = next_fence(state, entry, {});
        entry.successor = initial_successor(servers, owner, round);
        entry.successor_fence = next_fence(state, entry, {});
        entry.reason = model::change_reason::initial_assignment;
        entry.changed_in = state.epoch;
        rows[servers[owner].data_centre].ranges.push_back(std::move(entry));
    }
    return rows;
}

void create_rows(step& step, const model::service& service) {
    auto& state = step.state;
    const bool exists = std::any_of(state.assignments.begin(), state.assignments.end(), [&](const auto& known) {
        return known.first.first == service.id && known.second.version > 0;
    });
    auto rows =
        exists ? std::vector<model::assignment>{{service.id, state.data_centre, {}}} : initial_rows(state, service);
    if (rows.empty()) {
        return;
    }
    write_rows(step, std::move(rows));
}

/// Computes the new entry of a row for one unit.
class entry_repair {
public:
    entry_repair(step& step, server_selector& selector, const model::range_assignment& entry, const unit& unit)
        : step_(step), selector_(selector), unit_(unit), entry_(entry) {
        entry_.first = unit.first;
        entry_.last = unit.last;
        if (unit.highest) {
            floor_ = unit.highest->fence;
        }
    }

    /// Whether the range needs other servers than the row has.
    bool repair() {
        const auto old_owner = entry_.owner;
        const bool drained = should_release_ranges(step_.state, old_owner);
        const bool changes =
            unit_.row_relation == row_relation::with_owner ? replace_unavailable() : assign_to_holder();
        // A new successor alone does not change who owns the range.
        if (changes && entry_.owner != old_owner) {
            entry_.reason = drained ? model::change_reason::drain : model::change_reason::failover;
            entry_.changed_in = step_.state.epoch;
        }
        return changes;
    }

    [[nodiscard]] const model::range_assignment& entry() const { return entry_; }

private:
    bool assign_to_holder() {
        const auto& holder = *unit_.highest;
        if (step_.state.servers.contains(holder.owner) && !is_unavailable(holder.owner)) {
            entry_.owner = holder.owner;
            entry_.owner_fence = holder.fence;
            renew_successor();
            return true;
        }
        return replace_owner(holder.owner);
    }

    bool replace_unavailable() {
        if (is_unavailable(entry_.owner)) {
            const bool successor_takes_over = is_usable(step_.state, entry_.successor, step_.now);
            return !successor_takes_over && replace_owner(entry_.owner);
        }
        const bool successor_is_valid =
            !entry_.successor.empty() && entry_.successor != entry_.owner && !is_unavailable(entry_.successor);
        return !successor_is_valid && renew_successor();
    }

    bool replace_owner(const model::backend_server_id& old_owner) {
        const auto chosen = selector_.pick(old_owner);
        if (chosen.empty()) {
            return false;
        }
        entry_.owner = chosen;
        entry_.owner_fence = next_fence(step_.state, entry_, floor_);
        renew_successor();
        return true;
    }

    bool renew_successor() {
        const auto chosen = selector_.pick(entry_.owner);
        const bool changes = chosen != entry_.successor;
        entry_.successor = chosen;
        entry_.successor_fence = next_fence(step_.state, entry_, floor_);
        return changes;
    }

    bool is_unavailable(const model::backend_server_id& id) const {
        const auto found = step_.state.servers.find(id);
        return found == step_.state.servers.end() || should_release_ranges(step_.state, id) ||
               is_down(step_.state, found->second, step_.now);
    }

    step& step_;
    server_selector& selector_;
    const unit& unit_;
    model::range_assignment entry_;
    model::fence floor_;
};

void repair_row(step& step, const model::service_id& service, const model::assignment& row) {
    const auto units = units_of(step.state, service, step.now);
    server_selector selector(step.state, service, row.data_centre, step.now);
    model::assignment next{row.service, row.data_centre, {}};
    bool any_changed = false;
    for (std::size_t at = 0; at < units.size();) {
        const auto entry = units[at].entry;
        std::vector<model::range_assignment> parts;
        bool changed = false;
        for (; at < units.size() && units[at].entry == entry; ++at) {
            entry_repair repair(step, selector, row.ranges[entry], units[at]);
            changed = repair.repair() || changed;
            parts.push_back(repair.entry());
        }
        any_changed = any_changed || changed;
        if (changed) {
            next.ranges.insert(next.ranges.end(), parts.begin(), parts.end());
        } else {
            next.ranges.push_back(row.ranges[entry]);
        }
    }
    if (any_changed) {
        write_rows(step, {std::move(next)});
    }
}

} // namespace

server_selector::server_selector(const state& state, const model::service_id& service,
                                 const model::data_centre_id& data_centre, base::boot_time now) {
    for (const auto& server : state.deployment.backend_servers) {
        if (server.service != service || server.data_centre != data_centre) {
            continue;
        }
        // The health of servers of other data centres is not known here; operators' orders are.
        const bool able =
            data_centre == state.data_centre ? is_usable(state, server.id, now) : !is_out_of_service(state, server);
        if (able) {
            range_counts_[server.id] = 0;
        }
    }
    const auto row = state.assignments.find({service, data_centre});
    if (row == state.assignments.end()) {
        return;
    }
    for (const auto& entry : row->second.value.ranges) {
        for (const auto* id : {&entry.owner, &entry.successor}) {
            const auto found = range_counts_.find(*id);
            if (found != range_counts_.end()) {
                ++found->second;
            }
        }
    }
}

model::backend_server_id server_selector::pick(const model::backend_server_id& excluded_id,
                                               const model::backend_server_id& also_excluded_id) {
    auto best = range_counts_.end();
    for (auto candidate = range_counts_.begin(); candidate != range_counts_.end(); ++candidate) {
        const bool excluded = candidate->first == excluded_id || candidate->first == also_excluded_id;
        if (!excluded && (best == range_counts_.end() || candidate->second < best->second)) {
            best = candidate;
        }
    }
    if (best == range_counts_.end()) {
        return {};
    }
    ++best->second;
    return best->first;
}

model::fence next_fence(state& state, const model::range_assignment& entry, const model::fence& floor) {
    const auto above = std::max({entry.owner_fence, entry.successor_fence, floor});
    const model::fence fence{state.epoch, ++state.fence_sequence};
    if (fence > above) {
        return fence;
    }
    return {above.epoch, above.sequence + 1};
}

void maintain_rows(step& step) {
    auto& state = step.state;
    if (!may_write_rows(step)) {
        return;
    }
    for (const auto& service : state.deployment.services) {
        if (!service.divided_by_key || is_writing(state, {service.id, state.data_centre})) {
            continue;
        }
        const auto* row = own_row(state, service.id);
        if (row == nullptr) {
            create_rows(step, service);
            continue;
        }
        repair_row(step, service.id, row->value);
    }
}

} // namespace lovagetack::ownership
