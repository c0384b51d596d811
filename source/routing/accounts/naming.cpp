#include "routing/accounts/naming.hpp"

#include <algorithm>
#include <optional>
#include <set>
#include <tuple>
#include <utility>

#include "routing/accounts/counting.hpp"
#include "routing/accounts/limits.hpp"
#include "routing/duty.hpp"
#include "routing/log_fields.hpp"
#include "routing/peers.hpp"

namespace lovagetack::routing {
namespace {

bool is_limited(const state& state) {
    const auto& accounts = state.configuration.accounts.accounts();
    return std::any_of(accounts.begin(), accounts.end(),
                       [](const auto& entry) { return entry.second.allowance.is_limited(); });
}

/// The data centres of the instances, in order.
std::vector<model::data_centre_id> known_data_centres(const state& state) {
    std::set<model::data_centre_id> known{state.self.data_centre};
    for (const auto& [id, record] : state.instances) {
        known.insert(record.data_centre);
    }
    return {known.begin(), known.end()};
}

std::uint32_t slices_of(const std::vector<counter_role>& roles) {
    std::uint32_t slices = 1;
    for (const auto& role : roles) {
        slices = std::max(slices, role.slice + 1);
    }
    return slices;
}

/// Until when counters may act on permits of keepers before this one, and on those that a restoration of the store has
/// left without a trace.
base::boot_time former_permits_end(const keeper_state& keeper) {
    return std::max(keeper.former_renewals_until, keeper.moves_from) + counter_permit + clock_margin;
}

/// Whether the holder of the role has certainly stopped counting.
bool has_ended(const step& step, const counter_role& role) {
    const auto& keeper = step.state.keeper;
    if (has_new_incarnation(step.state, role.holder, role.incarnation)) {
        return true;
    }
    const auto found = keeper.counters.counters.find({role.holder, role.incarnation});
    const auto record = found == keeper.counters.counters.end() ? counter_record() : found->second;
    if (record.ended) {
        return true;
    }
    const auto silent_from = std::max(record.heard_at, keeper.started_at) + counter_permit + clock_margin;
    return step.now > former_permits_end(keeper) && step.now > record.permitted_until + clock_margin &&
           step.now > silent_from;
}

/// The instance to count for a slice of the data centre: alive, with the most processor time for each role. One of
/// another data centre only if that has none. Nothing if there is none at all.
std::optional<std::pair<model::instance_id, std::uint64_t>> choose_counter(const step& step,
                                                                           const model::data_centre_id& data_centre) {
    const auto& state = step.state;
    const auto& plan = state.keeper.counters;
    using rank = std::tuple<bool, double, model::instance_id, std::uint64_t>;
    std::optional<rank> best;
    const auto consider = [&](const model::instance_id& id, const model::data_centre_id& place,
                              std::uint64_t incarnation, std::uint32_t processor) {
        const auto record = plan.counters.find({id, incarnation});
        if (record != plan.counters.end() && record->second.ended) {
            return;
        }
        const auto roles = std::count_if(plan.wanted.begin(), plan.wanted.end(),
                                         [&](const counter_role& role) { return role.holder == id; });
        const double load = static_cast<double>(roles + 1) / static_cast<double>(std::max(1U, processor));
        const rank candidate{place != data_centre, load, id, incarnation};
        best = best ? std::min(*best, candidate) : candidate;
    };
    if (!state.shutting_down) {
        consider(state.self.instance, state.self.data_centre, state.self.incarnation, state.self.processor);
    }
    for (const auto& [id, record] : state.instances) {
        if (id != state.self.instance && record.protocol >= counter_protocol &&
            is_instance_alive(state, id, step.now)) {
            consider(id, record.data_centre, record.incarnation, record.processor);
        }
    }
    if (!best) {
        return std::nullopt;
    }
    return std::pair(std::get<2>(*best), std::get<3>(*best));
}

/// Names a holder for each role that has none, or whose holder has stopped.
void fill_roles(step& step) {
    auto& keeper = step.state.keeper;
    auto& plan = keeper.counters;
    const auto places = known_data_centres(step.state);
    if (plan.wanted.empty()) {
        const bool may_be_counted = !keeper.former_holder.empty() && step.now <= former_permits_end(keeper);
        if (may_be_counted) {
            // A build without roles may have removed those of an earlier keeper from the row.
            return;
        }
        const auto known = static_cast<std::uint32_t>(places.size());
        const auto slices = step.state.self.data_centres > 0 ? step.state.self.data_centres : known;
        for (std::uint32_t slice = 0; slice < slices; ++slice) {
            for (std::uint32_t group = 0; group < account_groups; ++group) {
                plan.wanted.push_back({slice, group, {}, 0});
            }
        }
    }
    for (auto& role : plan.wanted) {
        if (!role.holder.empty() && !has_ended(step, role)) {
            continue;
        }
        const auto chosen = choose_counter(step, places.at(role.slice % places.size()));
        if (!chosen) {
            return;
        }
        const std::pair before(std::exchange(role.holder, chosen->first),
                               std::exchange(role.incarnation, chosen->second));
        auto& record = plan.counters[*chosen];
        record.heard_at = std::max(record.heard_at, step.now);
        step.add(log_line{!before.first.empty(),
                          "counter_named",
                          {number_field("slice", role.slice), number_field("group", role.group),
                           text_field("counter", chosen->first.value()), text_field("before", before.first.value())}});
    }
}

counter_roles make_message(const step& step) {
    const auto& keeper = step.state.keeper;
    counter_roles message;
    message.keeper = step.state.self.instance;
    message.term = keeper.term;
    message.sequence = keeper.counters.sequence;
    message.slices = slices_of(keeper.counters.told);
    message.roles = keeper.counters.told;
    return message;
}

/// The keeper is a counter itself: it needs no message.
void permit_self(step& step) {
    auto message = make_message(step);
    message.receiver_incarnation = step.state.self.incarnation;
    message.reported_at = step.now;
    message.valid_for = counter_permit;
    auto& record = step.state.keeper.counters.counters[{step.state.self.instance, step.state.self.incarnation}];
    record.heard_at = step.now;
    record.permitted_until = step.now + counter_permit;
    record.ended = step.state.shutting_down;
    accept_roles(step, message);
}

/// Tells the instances that have not been told, or all of them after a change or a period.
void tell_instances(step& step) {
    auto& plan = step.state.keeper.counters;
    if (plan.told.empty()) {
        return;
    }
    const bool all = step.now - plan.told_at >= counter_roles_period;
    if (all) {
        plan.told_at = step.now;
        plan.told_runs.clear();
    }
    send_allowance_message send;
    for (const auto& [id, record] : step.state.instances) {
        auto& told = plan.told_runs[id];
        if (id != step.state.self.instance && record.protocol >= counter_protocol && told != record.incarnation) {
            told = record.incarnation;
            send.receivers.push_back(id);
        }
    }
    permit_self(step);
    if (!send.receivers.empty()) {
        send.message = make_message(step);
        step.add(std::move(send));
    }
}

/// The roles that the row of the lease shows and that are still wanted.
std::vector<counter_role> confirmed_roles(const keeper_state& keeper) {
    std::vector<counter_role> roles;
    for (const auto& role : keeper.lease.counters) {
        const auto& wanted = keeper.counters.wanted;
        if (!role.holder.empty() && std::find(wanted.begin(), wanted.end(), role) != wanted.end()) {
            roles.push_back(role);
        }
    }
    return roles;
}

} // namespace

void take_over_counters(step& step, const std::vector<counter_role>& roles) {
    auto& plan = step.state.keeper.counters;
    plan.wanted = roles;
    plan.told.clear();
    plan.told_runs.clear();
    plan.confirmed = false;
}

bool are_roles_unwritten(const step& step) {
    const auto& keeper = step.state.keeper;
    return keeper.counters.wanted != keeper.lease.counters;
}

void name_counters(step& step) {
    auto& keeper = step.state.keeper;
    auto& plan = keeper.counters;
    if (step.now < plan.next_run || keeper.lease.holder != step.state.self.instance || !plan.confirmed ||
        !is_limited(step.state)) {
        return;
    }
    plan.next_run = step.now + counter_plan_period;
    // A write that is carried out late must not replace a counter that has been permitted meanwhile.
    if (may_move(step) && !keeper.write_unresolved) {
        fill_roles(step);
    }
    if (!may_renew(step)) {
        return;
    }
    auto roles = confirmed_roles(keeper);
    if (roles != plan.told) {
        plan.told = std::move(roles);
        ++plan.sequence;
        plan.told_at = {};
    }
    tell_instances(step);
    std::erase_if(plan.counters, [&](const auto& entry) {
        return has_new_incarnation(step.state, entry.first.first, entry.first.second);
    });
}

void accept_counter_report(step& step, const counter_report& event) {
    if (step.state.keeper.lease.holder != step.state.self.instance) {
        return;
    }
    auto& plan = step.state.keeper.counters;
    auto& record = plan.counters[{event.counter, event.incarnation}];
    if (event.reported_at <= record.reported_at) {
        return;
    }
    record.heard_at = step.now;
    record.reported_at = event.reported_at;
    record.ended = record.ended || event.ended;
    const bool has_role = std::any_of(plan.told.begin(), plan.told.end(), [&](const counter_role& role) {
        return role.holder == event.counter && role.incarnation == event.incarnation;
    });
    if (record.ended || !has_role || !plan.confirmed || !may_renew(step)) {
        return;
    }
    auto message = make_message(step);
    message.receiver_incarnation = event.incarnation;
    message.reported_at = event.reported_at;
    message.valid_for = counter_permit;
    record.permitted_until = std::max(record.permitted_until, step.now + counter_permit);
    step.add(send_allowance_message{{event.counter}, std::move(message)});
}

} // namespace lovagetack::routing
