#include "routing/accounts/counting.hpp"

#include <algorithm>
#include <set>
#include <utility>

#include "base/key_hash.hpp"
#include "routing/accounts/limits.hpp"
#include "routing/log_fields.hpp"

namespace lovagetack::routing {
namespace {

/// Number of the own data centre: data centres are numbered in the order of their names.
std::uint32_t number_of_data_centre(const state& state) {
    std::set<model::data_centre_id> before;
    for (const auto& [id, record] : state.instances) {
        if (record.data_centre < state.self.data_centre) {
            before.insert(record.data_centre);
        }
    }
    return static_cast<std::uint32_t>(before.size());
}

/// Takes over which roles this instance has. It has counted for a new one since now.
void update_own_roles(step& step) {
    auto& own = step.state.allowances;
    std::map<std::pair<std::uint32_t, std::uint32_t>, base::boot_time> counting;
    for (const auto& role : own.roles) {
        if (role.holder != step.state.self.instance || role.incarnation != step.state.self.incarnation) {
            continue;
        }
        const std::pair id(role.slice, role.group);
        const auto before = own.counting.find(id);
        counting[id] = before != own.counting.end() ? before->second : step.now;
    }
    if (counting.size() != own.counting.size()) {
        step.add(log_line{false,
                          "counter_roles_changed",
                          {number_field("roles", counting.size()), number_field("before", own.counting.size()),
                           text_field("keeper", own.keeper.value()), number_field("sequence", own.sequence)}});
    }
    own.counting = std::move(counting);
    std::erase_if(own.buckets, [&own](const auto& entry) {
        const auto& [slice, account] = entry.first;
        return !own.counting.contains({slice, group_of(account)});
    });
}

/// Takes over the permit. After a time without one, another instance may have counted meanwhile.
void extend_permit(step& step, base::boot_time until) {
    auto& own = step.state.allowances;
    if (until <= step.now) {
        return;
    }
    if (own.permitted_until < step.now) {
        own.buckets.clear();
        for (auto& [id, since] : own.counting) {
            since = step.now;
        }
    }
    own.permitted_until = std::max(own.permitted_until, until);
}

} // namespace

std::uint32_t group_of(const model::client_account_id& account) {
    return static_cast<std::uint32_t>(base::key_hash(account.value()) % account_groups);
}

void accept_roles(step& step, const counter_roles& event) {
    auto& own = step.state.allowances;
    const bool old = event.term < own.term || (event.term == own.term && event.sequence < own.sequence);
    if (old || event.slices == 0) {
        return;
    }
    own.first_slice = number_of_data_centre(step.state) % event.slices;
    const bool is_new = event.term != own.term || event.sequence != own.sequence;
    own.keeper = event.keeper;
    own.term = event.term;
    own.sequence = event.sequence;
    if (is_new) {
        own.slices = event.slices;
        own.roles = event.roles;
        own.suspects.clear();
        update_own_roles(step);
        if (!own.counting.empty() && event.receiver_incarnation == 0) {
            own.next_report = step.now;
        }
    }
    if (event.receiver_incarnation == step.state.self.incarnation) {
        extend_permit(step, event.reported_at + event.valid_for);
    }
    run_counter(step);
}

token_answer issue_tokens(step& step, std::uint32_t slice, const model::client_account_id& name, std::uint32_t count) {
    auto& own = step.state.allowances;
    token_answer answer;
    const auto role = own.counting.find({slice, group_of(name)});
    const auto* const account = step.state.configuration.accounts.find(name);
    const bool may_count = role != own.counting.end() && step.now <= own.permitted_until && !step.state.shutting_down;
    if (!may_count || account == nullptr || !account->allowance.is_limited()) {
        answer.counts = false;
        return answer;
    }
    const double rate = account->allowance.rate / own.slices;
    // A slice issues whole tokens only. One more makes up for the parts of tokens that the other slices hold.
    const double depth = account->allowance.burst / own.slices + 1;
    auto& bucket = own.buckets.try_emplace({slice, name}, role->second).first->second;
    answer.granted = bucket.take(step.now, rate, depth, count);
    if (answer.granted == 0) {
        answer.wait = bucket.wait(rate);
    }
    return answer;
}

void answer_token_request(step& step, const token_request& event) {
    auto answer = issue_tokens(step, event.slice, event.account, event.count);
    answer.ask = event.ask;
    answer.incarnation = event.incarnation;
    step.add(send_allowance_message{{event.sender}, answer});
}

void run_counter(step& step) {
    auto& own = step.state.allowances;
    if (own.counting.empty() || step.now < own.next_report || own.keeper == step.state.self.instance) {
        return;
    }
    own.next_report = step.now + counter_report_period;
    step.add(send_allowance_message{
        {own.keeper},
        counter_report{step.state.self.instance, step.state.self.incarnation, step.now, step.state.shutting_down}});
}

} // namespace lovagetack::routing
