#include "routing/keeper_plan.hpp"

#include <algorithm>
#include <utility>

#include "routing/duty.hpp"
#include "routing/granting.hpp"
#include "routing/log_fields.hpp"
#include "routing/plan.hpp"
#include "routing/servers.hpp"

namespace lovagetack::routing {
namespace {

std::vector<candidate> candidates(const step& step, const model::service_id& service) {
    std::vector<candidate> found;
    std::vector<candidate> cold;
    double usual = 0;
    for (const auto& [id, server] : step.state.servers) {
        if (server.registration.service != service || is_lost(step, id) || is_unreachable(server, step.now)) {
            continue;
        }
        if (may_own(step.state, server, step.now)) {
            const auto time = static_cast<double>(usual_time(step.state, server).count());
            usual += time;
            found.push_back({id, server.registration.born, time});
        } else if (server.registered && !is_leaving(server) &&
                   !step.state.evacuated.contains(server.registration.data_centre)) {
            cold.push_back({id, server.registration.born, 1});
        }
    }
    if (found.empty()) {
        return cold;
    }
    usual /= static_cast<double>(found.size());
    for (auto& item : found) {
        // Observed service times vary, so only a part of the difference is used.
        item.capacity = std::clamp(usual / std::max(1.0, item.capacity), 0.5, 1.6);
    }
    return found;
}

std::vector<std::uint32_t> recent_keys(service_record& record, base::boot_time now) {
    while (!record.samples.empty() && now - record.samples.front().first > sample_age) {
        record.samples.pop_front();
    }
    std::vector<std::uint32_t> keys;
    keys.reserve(record.samples.size());
    for (const auto& [at, key] : record.samples) {
        keys.push_back(key);
    }
    return keys;
}

bool must_move(const step& step, const key_range& range) {
    const auto* const server = owner_of(step.state, range);
    if (server == nullptr) {
        return true;
    }
    return !server->registered || is_leaving(*server) || server->evacuated_since || is_lost(step, range.owner);
}

/// Whether all servers that start at the same time have probably registered.
bool has_settled(const step& step, const model::service_id& service) {
    return std::none_of(step.state.servers.begin(), step.state.servers.end(), [&](const auto& entry) {
        return entry.second.registration.service == service && step.now - entry.second.registered_at < settling_time;
    });
}

move_stage stage_of(const step& step, const model::service_id& service, const key_range& range) {
    const auto& keeper = step.state.keeper;
    const auto found = keeper.moves.find({service, range.first, range.fence});
    if (found != keeper.moves.end() && found->second.grant_sent_at != base::boot_time()) {
        return move_stage::granted;
    }
    const auto first = keeper.first_tokens.find(service);
    const bool inherited = first == keeper.first_tokens.end() || range.fence < first->second;
    // The new owner of a move of an earlier term may have been granted the keys; after this time nobody holds them.
    return inherited && step.now <= last_former_grant(keeper) + longest_hold() ? move_stage::unknown
                                                                               : move_stage::begun;
}

void log_postponed_balance(step& step, const model::service_id& service, const assignment& assignment) {
    auto& keeper = step.state.keeper;
    if (step.now < keeper.next_postponed_log) {
        return;
    }
    keeper.next_postponed_log = step.now + postponed_log_period;
    const auto moving = std::find_if(assignment.ranges.begin(), assignment.ranges.end(),
                                     [](const key_range& range) { return range.moving(); });
    const auto unconfirmed =
        std::find_if(assignment.ranges.begin(), assignment.ranges.end(), [&](const key_range& range) {
            return !keeper.confirmed.contains({service, range.fence});
        });
    const auto owner_in = [&assignment](auto range) {
        return range == assignment.ranges.end() ? std::string() : range->owner.value();
    };
    step.add(log_line{false,
                      "balance_postponed",
                      {text_field("service", service.value()), text_field("moving_to", owner_in(moving)),
                       text_field("unconfirmed", owner_in(unconfirmed))}});
}

void plan(step& step, const model::service_id& service, service_record& record, bool balancing) {
    auto& keeper = step.state.keeper;
    assignment next = newest_assignment(step, service);
    const auto eligible = candidates(step, service);
    if (next.ranges.empty()) {
        if (!has_settled(step, service)) {
            return;
        }
        next = first_assignment(eligible, keeper.token_floor + 1);
        if (!next.ranges.empty()) {
            keeper.changed[service] = std::move(next);
        }
        return;
    }
    plan_inputs inputs{eligible, [&step](const key_range& range) { return must_move(step, range); },
                       [&step, &service](const key_range& range) { return stage_of(step, service, range); },
                       load_estimate(recent_keys(record, step.now))};
    bool changed = move_lost_ranges(next, inputs);
    const bool settled =
        std::none_of(next.ranges.begin(), next.ranges.end(), [](const key_range& range) { return range.moving(); });
    const bool fenced = std::all_of(next.ranges.begin(), next.ranges.end(), [&](const key_range& range) {
        return keeper.confirmed.contains({service, range.fence});
    });
    if (!changed && balancing && !(settled && fenced)) {
        log_postponed_balance(step, service, next);
    }
    if (!changed && balancing && settled && fenced) {
        changed = merge_ranges(next, eligible.size() * ranges_per_owner);
        if (inputs.load.samples() >= fewest_samples) {
            changed = balance(next, inputs) || changed;
        }
    }
    if (!changed) {
        return;
    }
    const auto moving =
        std::count_if(next.ranges.begin(), next.ranges.end(), [](const key_range& range) { return range.moving(); });
    step.state.moves += static_cast<std::uint64_t>(moving);
    step.add(log_line{false,
                      "assignment_planned",
                      {text_field("service", service.value()), number_field("ranges", next.ranges.size()),
                       number_field("moving", moving), number_field("candidates", eligible.size()),
                       number_field("samples", inputs.load.samples())}});
    keeper.changed[service] = std::move(next);
}

} // namespace

std::int64_t size_factor(const state& state) {
    return static_cast<std::int64_t>(1 + state.instances.size() / reporters_per_period);
}

void plan_all(step& step) {
    auto& keeper = step.state.keeper;
    if (step.now < keeper.next_plan || !keeper.writing.empty() || !step.state.registry_known) {
        return;
    }
    keeper.next_plan = step.now + plan_period;
    const bool balancing = step.now >= keeper.next_balance;
    if (balancing) {
        keeper.next_balance = step.now + balance_period * size_factor(step.state);
    }
    for (const auto& [name, settings] : step.state.configuration.services) {
        if (settings.divided_by_key) {
            plan(step, name, step.state.services[name], balancing);
        }
    }
}

void renew_fence(step& step, const range_id& id) {
    if (step.now < step.state.keeper.moves_from) {
        // The higher token may be of a grant that the store has lost, and the keys may be held elsewhere.
        return;
    }
    auto next = newest_assignment(step, id.service);
    for (auto& range : next.ranges) {
        if (range.first == id.first && range.fence == id.fence) {
            range.fence = next.next_fence++;
            step.state.keeper.changed[id.service] = next;
            return;
        }
    }
}

void renew_former_fences(step& step) {
    auto& keeper = step.state.keeper;
    for (const auto& [name, record] : step.state.services) {
        auto next = record.assignment;
        next.next_fence = std::max(next.next_fence, keeper.token_floor + 1);
        const auto first = keeper.first_tokens.try_emplace(name, next.next_fence).first->second;
        for (auto& range : next.ranges) {
            if (!range.moving() && range.fence < first) {
                range.fence = next.next_fence++;
            }
        }
        if (next.ranges != record.assignment.ranges) {
            keeper.changed[name] = std::move(next);
        }
    }
}

} // namespace lovagetack::routing
