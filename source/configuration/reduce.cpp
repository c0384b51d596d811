#include "configuration/reduce.hpp"

#include <algorithm>

#include "base/json.hpp"
#include "configuration/step.hpp"

namespace lovagetack::configuration {
namespace {

const std::string configuration_table = "configuration";
const std::string states_table = "service_states";
const std::string version_key = "version";
const std::string overlay_prefix = "overlay.";
const std::string fact_name = "all";

} // namespace

effects reduce(state& state, base::boot_time now, std::uint64_t random, const event& received) {
    step step(state, now, random);
    std::visit([&](const auto& body) { step.on(body); }, received);
    return step.finish();
}

effects step::finish() {
    if (states_changed_) {
        effects_.emplace_back(model::service_states_changed{state_.service_states()});
    }
    return std::move(effects_);
}

void step::on(const model::tick&) {
    drop_expired_calls();
    if (!state_.next_poll_) {
        state_.next_poll_ = now_;
    }
    if (now_ < *state_.next_poll_) {
        return;
    }
    schedule_poll();
    if (!state_.calls_.empty()) {
        return;
    }
    read(state::call_kind::version, configuration_table, version_key);
    read(state::call_kind::states, states_table, {});
}

void step::on(const model::fact_learned& learned) {
    const model::fact& fact = learned.fact;
    if (fact.kind == model::fact_kind::configuration && fact.name == fact_name) {
        configuration_texts texts;
        if (base::from_json_text(fact.value, texts)) {
            apply_configuration(fact.version.sequence, texts);
        }
        return;
    }
    if (fact.kind != model::fact_kind::service_state) {
        return;
    }
    model::service_state order;
    if (!base::from_json_text(fact.value, order)) {
        return;
    }
    order.row_version = fact.version.epoch;
    order.operator_time = std::chrono::milliseconds(fact.version.sequence);
    set_order(fact.name, order, false);
}

void step::on(const model::members_changed& changed) {
    const bool was_first_instance = state_.is_first_instance_;
    const auto first = std::find_if(changed.members.begin(), changed.members.end(), [&](const model::member& member) {
        return member.data_centre == state_.data_centre_ && member.state == model::member_state::live;
    });
    state_.is_first_instance_ = first != changed.members.end() && first->id == state_.self_;
    if (state_.is_first_instance_ && !was_first_instance) {
        state_.next_poll_ = now_;
    }
}

void step::on(const service_state_ordered& ordered) {
    model::service_state order = ordered.state;
    const std::string key = model::subject_kind_name(order.kind) + "." + order.name;
    const auto known = state_.orders_.find(key);
    order.in_store = false;
    order.row_version = 0;
    if (known != state_.orders_.end()) {
        const auto& current = known->second.state;
        order.row_version = current.row_version;
        // The time is raised above that of the known order, so that a later order wins even if the clock of this
        // machine is behind.
        order.operator_time = std::max(order.operator_time, current.operator_time + std::chrono::milliseconds(1));
    }
    set_order(key, order, true);
    publish(order);
    write(key, state_.orders_.at(key));
}

void step::on(const model::store_reply& reply) {
    const auto found = state_.calls_.find(reply.operation.value());
    if (found == state_.calls_.end()) {
        return;
    }
    const state::call call = found->second;
    state_.calls_.erase(found);
    state_.store_reachable_ = reply.status != model::store_status::unknown;
    if (!state_.store_reachable_) {
        schedule_poll();
    }
    if (call.kind == state::call_kind::write) {
        on_write_reply(call, reply);
        return;
    }
    if (reply.status != model::store_status::done) {
        return;
    }
    switch (call.kind) {
    case state::call_kind::version: {
        const bool newer = !reply.rows.empty() && reply.rows.front().version > state_.version();
        const bool rejected = newer && state_.rejected_ && state_.rejected_->version >= reply.rows.front().version;
        if (newer && !rejected) {
            read(state::call_kind::texts, configuration_table, {});
        }
        return;
    }
    case state::call_kind::texts:
        on_texts_read(reply.rows);
        return;
    case state::call_kind::states:
        on_states_read(reply.rows);
        return;
    case state::call_kind::write:
        return;
    }
}

void step::schedule_poll() {
    const auto random_part_of = [&](std::chrono::microseconds duration) {
        return std::chrono::microseconds(random_ % static_cast<std::uint64_t>(duration.count() + 1));
    };
    const auto& limits = state_.limits_;
    if (!state_.store_reachable_) {
        state_.next_poll_ = now_ + limits.poll_interval + random_part_of(limits.catch_up_spread);
    } else if (state_.is_first_instance_) {
        state_.next_poll_ = now_ + limits.poll_interval;
    } else {
        state_.next_poll_ = now_ + limits.idle_poll_interval + random_part_of(limits.idle_poll_interval / 5);
    }
}

void step::drop_expired_calls() {
    std::erase_if(state_.calls_,
                  [&](const auto& entry) { return now_ - entry.second.at >= state_.limits_.reply_limit; });
}

std::uint64_t step::begin(state::call call) {
    call.at = now_;
    state_.calls_.emplace(state_.next_operation_, std::move(call));
    return state_.next_operation_++;
}

void step::read(state::call_kind kind, std::string table, std::string key) {
    const model::operation_id operation(begin({kind, now_, {}, {}}));
    effects_.emplace_back(model::store_read{operation, std::move(table), std::move(key)});
}

void step::on_texts_read(const std::vector<model::row>& rows) {
    configuration_texts texts;
    std::uint64_t version = 0;
    for (const auto& row : rows) {
        if (row.key == version_key) {
            version = row.version;
        } else if (row.key == "base") {
            texts.base = row.value;
        } else if (row.key.starts_with(overlay_prefix)) {
            texts.overlays[row.key.substr(overlay_prefix.size())] = row.value;
        }
    }
    if (version <= state_.version()) {
        // The read was stale.
        return;
    }
    // Published even if this instance cannot parse it, since instances with a newer program may.
    effects_.emplace_back(
        model::publish_fact{{model::fact_kind::configuration, fact_name, {0, version}, base::to_json_text(texts)}});
    apply_configuration(version, texts);
}

void step::apply_configuration(std::uint64_t version, const configuration_texts& texts) {
    if (version <= state_.version() || (state_.rejected_ && version <= state_.rejected_->version)) {
        return;
    }
    const auto overlay = texts.overlays.find(state_.data_centre_.value());
    auto parsed = state_.parse_(texts.base, overlay == texts.overlays.end() ? std::string() : overlay->second, version);
    if (parsed.has_error()) {
        state_.rejected_ = rejected_configuration{version, parsed.error().message};
        add_timeline_entry("configuration_rejected",
                           {{"version", std::to_string(version)}, {"reason", parsed.error().message}});
        return;
    }
    state_.deployment_ = std::move(parsed).value();
    state_.deployment_.version = version;
    state_.rejected_.reset();
    effects_.emplace_back(model::deployment_changed{state_.deployment_});
    add_timeline_entry("configuration_in_force", {{"version", std::to_string(version)}});
}

void step::add_timeline_entry(std::string name, std::vector<model::timeline_field> fields) {
    effects_.emplace_back(model::timeline_entry{std::move(name), std::move(fields)});
}

} // namespace lovagetack::configuration
