#include "routing/delegation.hpp"

#include <algorithm>
#include <utility>

#include "routing/duty.hpp"
#include "routing/granting.hpp"
#include "routing/keeper_plan.hpp"
#include "routing/log_fields.hpp"
#include "routing/peers.hpp"

namespace lovagetack::routing {
namespace {

using orders_by_owner = std::map<model::backend_server_id, std::vector<renewal_order>>;

/// The grants to renew: neither moving, nor about to, nor of a lost owner.
orders_by_owner wanted_orders(const step& step) {
    orders_by_owner wanted;
    for (const auto& [service, record] : step.state.services) {
        const auto& newest = newest_assignment(step, service);
        const bool pending = &newest != &record.assignment;
        for (const auto& range : record.assignment.ranges) {
            const auto* const later = pending ? find_range(newest, range.first) : &range;
            if (range.moving() || later == nullptr || *later != range || owner_of(step.state, range) == nullptr ||
                is_lost(step, range.owner)) {
                continue;
            }
            wanted[range.owner].push_back(
                {service, range.owner, range.owner_born, range.first, range.last, range.fence});
        }
    }
    return wanted;
}

bool is_silent(const delegate_record& delegate, base::boot_time now) {
    return now - delegate.heard_at > renewer_silence;
}

/// Adds delegates until there is one for each owners_per_renewer owners. Instances with more processor time come first.
void add_delegates(step& step, std::size_t owners) {
    auto& delegates = step.state.keeper.delegates;
    const auto needed = (owners + owners_per_renewer - 1) / owners_per_renewer;
    auto usable = static_cast<std::size_t>(std::count_if(
        delegates.begin(), delegates.end(), [&](const auto& entry) { return !is_silent(entry.second, step.now); }));
    if (usable >= needed) {
        return;
    }
    std::vector<std::pair<std::uint32_t, model::instance_id>> candidates;
    for (const auto& [id, record] : step.state.instances) {
        const auto delegate = delegates.find(id);
        const bool used = delegate != delegates.end() && !is_silent(delegate->second, step.now);
        if (!used && record.protocol >= renewer_protocol && is_instance_alive(step.state, id, step.now)) {
            candidates.emplace_back(record.processor, id);
        }
    }
    std::sort(candidates.rbegin(), candidates.rend());
    for (const auto& [processor, id] : candidates) {
        if (usable == needed) {
            return;
        }
        auto& delegate = delegates[id];
        // Its silence counts from now.
        delegate.heard_at = step.now;
        ++usable;
    }
}

/// Distributes owners over the delegates that are not silent; an owner stays with its delegate.
std::map<model::instance_id, std::vector<renewal_order>> distribute(step& step, const orders_by_owner& wanted) {
    auto& keeper = step.state.keeper;
    std::map<model::instance_id, std::vector<renewal_order>> distributed;
    for (const auto& [id, delegate] : keeper.delegates) {
        if (!is_silent(delegate, step.now)) {
            distributed[id];
        }
    }
    std::map<model::backend_server_id, model::instance_id> delegate_of;
    if (distributed.empty()) {
        keeper.delegate_of.clear();
        return distributed;
    }
    const auto assign = [&](const model::backend_server_id& owner, const std::vector<renewal_order>& orders,
                            const model::instance_id& delegate) {
        auto& all = distributed[delegate];
        all.insert(all.end(), orders.begin(), orders.end());
        delegate_of[owner] = delegate;
    };
    for (const auto& [owner, orders] : wanted) {
        const auto before = keeper.delegate_of.find(owner);
        if (before != keeper.delegate_of.end() && distributed.contains(before->second)) {
            assign(owner, orders, before->second);
        }
    }
    for (const auto& [owner, orders] : wanted) {
        if (!delegate_of.contains(owner)) {
            const auto least =
                std::min_element(distributed.begin(), distributed.end(), [](const auto& left, const auto& right) {
                    return left.second.size() < right.second.size();
                });
            assign(owner, orders, model::instance_id(least->first));
        }
    }
    keeper.delegate_of = std::move(delegate_of);
    return distributed;
}

void send_orders(step& step, const model::instance_id& id, delegate_record& delegate) {
    const auto& keeper = step.state.keeper;
    renewal_orders orders;
    orders.keeper = step.state.self.instance;
    orders.term = keeper.term;
    orders.sequence = delegate.sequence;
    orders.renewer_incarnation = delegate.incarnation;
    orders.reported_at = delegate.reported_at;
    // The time counts from the report, so it may be longer by the age of the report.
    const auto right_left = renewal_time_left(step) + (step.now - delegate.heard_at);
    orders.valid_for = std::clamp(std::chrono::duration_cast<std::chrono::milliseconds>(right_left),
                                  std::chrono::milliseconds(0), renewer_permit);
    orders.orders = delegate.orders;
    delegate.sent_at = step.now;
    if (delegate.incarnation != 0) {
        delegate.permitted_until = std::max(delegate.permitted_until, delegate.heard_at + orders.valid_for);
    }
    step.add(send_renewal_orders{id, std::move(orders)});
}

void add_ordered_owners(delegate_record& delegate) {
    for (const auto& order : delegate.orders) {
        delegate.possible.insert({order.service, order.server});
    }
}

void update_orders(step& step, const model::instance_id& id, delegate_record& delegate,
                   std::vector<renewal_order> orders) {
    const bool changed = delegate.sequence == 0 || orders != delegate.orders;
    if (changed) {
        delegate.orders = std::move(orders);
        delegate.sequence = ++step.state.keeper.order_sequence;
        add_ordered_owners(delegate);
    }
    const auto period = delegate.confirmed_sequence == delegate.sequence ? renewal_orders_period : renewal_orders_retry;
    if (changed || step.now - delegate.sent_at >= period) {
        send_orders(step, id, delegate);
    }
}

/// Takes over what a report says of the servers.
void note_owners(step& step, const renewal_report& event) {
    auto& keeper = step.state.keeper;
    std::map<model::backend_server_id, std::int32_t> failures;
    for (const auto& status : event.renewals) {
        const auto& order = status.order;
        auto& owner = keeper.owners[order.server];
        if (status.accepted) {
            owner.confirmed_at = std::max(owner.confirmed_at, step.now - *status.accepted);
            keeper.confirmed.insert({order.service, order.fence});
        }
        if (status.unanswered) {
            owner.unanswered_at = std::max(owner.unanswered_at, step.now - *status.unanswered);
        }
        const auto [found, is_new] = failures.try_emplace(order.server, status.failures_in_row);
        found->second = std::min(found->second, status.failures_in_row);
        if (status.superseded && may_change(step)) {
            renew_fence(step, {order.service, order.first, order.fence});
        }
    }
    for (const auto& [server, count] : failures) {
        keeper.owners[server].failures_in_row = count;
    }
}

} // namespace

void delegate_renewals(step& step) {
    auto& keeper = step.state.keeper;
    // The next keeper learns from the lease that it has to wait for renewers.
    const bool delegates = step.state.instances.size() > small_deployment && keeper.lease.delegates;
    if ((!delegates && keeper.delegates.empty()) || step.now < keeper.next_delegation) {
        return;
    }
    keeper.next_delegation = step.now + plan_period;
    const auto wanted = delegates ? wanted_orders(step) : orders_by_owner();
    add_delegates(step, wanted.size());
    auto distributed = distribute(step, wanted);
    for (auto& [id, delegate] : keeper.delegates) {
        const bool was_used = !delegate.orders.empty();
        const auto found = distributed.find(id);
        update_orders(step, id, delegate,
                      found == distributed.end() ? std::vector<renewal_order>() : std::move(found->second));
        if (was_used && delegate.orders.empty()) {
            step.add(log_line{true, "renewer_replaced", {text_field("renewer", id.value())}});
        }
    }
    for (auto& [id, delegate] : keeper.delegates) {
        std::erase_if(delegate.renewed_before,
                      [&step](const auto& entry) { return step.now - entry.second > longest_hold(); });
    }
    // A silent delegate is kept until it can no longer renew anything.
    std::erase_if(keeper.delegates, [&step](const auto& entry) {
        const auto& delegate = entry.second;
        return delegate.orders.empty() && is_silent(delegate, step.now) && delegate.renewed_before.empty() &&
               step.now > delegate.permitted_until + grant_call_time + longest_hold();
    });
}

bool is_delegated(const state& state, const model::backend_server_id& owner) {
    return state.keeper.delegate_of.contains(owner);
}

void accept_report(step& step, const renewal_report& event) {
    auto& keeper = step.state.keeper;
    const auto found = keeper.delegates.find(event.renewer);
    if (found == keeper.delegates.end() || event.term != keeper.term || keeper.term == 0) {
        return;
    }
    auto& delegate = found->second;
    const bool old = event.incarnation < delegate.incarnation ||
                     (event.incarnation == delegate.incarnation && event.reported_at <= delegate.reported_at);
    if (old) {
        return;
    }
    if (event.incarnation > delegate.incarnation && delegate.incarnation != 0) {
        // The new run does not know what the one before has sent.
        for (const auto& owner : delegate.possible) {
            delegate.renewed_before[owner] = step.now;
        }
    }
    delegate.incarnation = event.incarnation;
    delegate.heard_at = step.now;
    delegate.reported_at = event.reported_at;
    delegate.confirmed_sequence = event.sequence;
    delegate.reported = event.renewals;
    if (delegate.confirmed_sequence == delegate.sequence) {
        delegate.possible.clear();
        add_ordered_owners(delegate);
        for (const auto& status : event.renewals) {
            delegate.possible.insert({status.order.service, status.order.server});
        }
    }
    note_owners(step, event);
}

delegated_renewals renewals_of_leaving_owner(const step& step, const model::service_id& service,
                                             const key_range& range) {
    delegated_renewals result;
    const auto concerns = [&](const renewal_order& order) {
        return order.service == service && order.server == range.leaving && order.first <= range.last &&
               order.last >= range.first;
    };
    for (const auto& [id, delegate] : step.state.keeper.delegates) {
        const auto before = delegate.renewed_before.find({service, range.leaving});
        if (before != delegate.renewed_before.end()) {
            result.sent_at = std::max(result.sent_at, before->second);
            result.unanswered_at = std::max(result.unanswered_at, before->second);
        }
        if (!delegate.possible.contains({service, range.leaving})) {
            continue;
        }
        if (delegate.confirmed_sequence != delegate.sequence) {
            // Nothing is known of what it has sent since its last report.
            const auto last = delegate.permitted_until + grant_call_time;
            result.possible = result.possible || step.now <= last;
            result.sent_at = std::max(result.sent_at, last);
            result.unanswered_at = std::max(result.unanswered_at, last);
            continue;
        }
        result.possible = result.possible || std::any_of(delegate.orders.begin(), delegate.orders.end(), concerns);
        for (const auto& status : delegate.reported) {
            if (!concerns(status.order)) {
                continue;
            }
            result.possible = result.possible || status.under_way;
            if (status.sent) {
                result.sent_at = std::max(result.sent_at, delegate.heard_at - *status.sent);
            }
            if (status.unanswered) {
                result.unanswered_at = std::max(result.unanswered_at, delegate.heard_at - *status.unanswered);
            }
        }
    }
    return result;
}

} // namespace lovagetack::routing
