#include <tuple>

#include "base/json.hpp"
#include "configuration/step.hpp"

namespace lovagetack::configuration {
namespace {

const std::string states_table = "service_states";

bool is_newer(const model::service_state& a, const model::service_state& b) {
    return std::make_tuple(a.row_version, a.operator_time.count(), a.in_store) >
           std::make_tuple(b.row_version, b.operator_time.count(), b.in_store);
}

bool is_same_order(const model::service_state& a, const model::service_state& b) {
    return a.availability == b.availability && a.operator_time == b.operator_time;
}

} // namespace

void step::publish(const model::service_state& order) {
    const auto time = static_cast<std::uint64_t>(order.operator_time.count());
    effects_.emplace_back(model::publish_fact{{model::fact_kind::service_state,
                                               model::subject_kind_name(order.kind) + "." + order.name,
                                               {order.row_version, time},
                                               base::to_json_text(order)}});
}

void step::set_order(const std::string& key, const model::service_state& order, bool accepted_here) {
    const auto known = state_.orders_.find(key);
    if (known != state_.orders_.end() && !is_newer(order, known->second.state)) {
        return;
    }
    if (known != state_.orders_.end() && known->second.accepted_here && !known->second.state.in_store &&
        !is_same_order(known->second.state, order)) {
        // The operator got the answer that the order was accepted, so its replacement is reported.
        state_.superseded_.push_back(known->second.state);
        if (state_.superseded_.size() > state_.limits_.maximum_superseded) {
            state_.superseded_.pop_front();
        }
        add_timeline_entry("service_state_superseded", {{"subject", key}});
    }
    state_.orders_.insert_or_assign(key, state::known_order{order, now_, accepted_here});
    states_changed_ = true;
}

void step::write(const std::string& key, state::known_order& known) {
    const auto& order = known.state;
    known.next_write_at = now_ + state_.limits_.write_order_interval;
    model::service_state row = order;
    row.in_store = true;
    const model::operation_id operation(begin({state::call_kind::write, now_, key, order}));
    effects_.emplace_back(
        model::store_transaction{operation,
                                 {{states_table, key, known.last_read_version.value_or(order.row_version)}},
                                 {{states_table, key, base::to_json_text(row)}}});
}

void step::write_orders() {
    for (auto& [key, order] : state_.orders_) {
        // Concurrent writers are safe: the condition lets one write succeed, and the others then read the same order
        // from the row.
        const bool written_for_others =
            state_.is_first_instance_ && now_ - order.learned_at >= state_.limits_.adopt_order_after;
        const bool due = now_ >= order.next_write_at;
        if (!order.state.in_store && due && (order.accepted_here || written_for_others)) {
            write(key, order);
        }
    }
}

void step::on_write_reply(const state::call& call, const model::store_reply& reply) {
    if (reply.status == model::store_status::done && reply.versions.size() == 1) {
        model::service_state written = call.written;
        written.row_version = reply.versions.front();
        written.in_store = true;
        set_order(call.key, written, false);
        publish(written);
        return;
    }
    if (reply.status == model::store_status::conflict) {
        // Reading the row shows whether another order or an earlier attempt of this one was written.
        read(state::call_kind::states, states_table, {});
    }
}

void step::on_states_read(const std::vector<model::row>& rows) {
    for (auto& [key, order] : state_.orders_) {
        order.last_read_version = 0;
    }
    for (const auto& row : rows) {
        const auto known = state_.orders_.find(row.key);
        if (known != state_.orders_.end()) {
            known->second.last_read_version = row.version;
        }
        merge_row(row);
    }
    write_orders();
}

void step::merge_row(const model::row& row) {
    model::service_state stored;
    if (!base::from_json_text(row.value, stored) ||
        row.key != model::subject_kind_name(stored.kind) + "." + stored.name) {
        return;
    }
    stored.row_version = row.version;
    stored.in_store = true;
    const auto known = state_.orders_.find(row.key);
    if (known != state_.orders_.end() && !is_newer(stored, known->second.state)) {
        return;
    }
    set_order(row.key, stored, false);
    publish(stored);
}

} // namespace lovagetack::configuration
