#pragma once

#include <string>
#include <utility>
#include <vector>

#include "configuration/reduce.hpp"

namespace lovagetack::configuration {

/// Applies one event to the state and collects its effects.
class step {
public:
    step(state& state, base::boot_time now, std::uint64_t random) : state_(state), now_(now), random_(random) {}

    void on(const model::tick& tick);
    void on(const model::fact_learned& learned);
    void on(const model::members_changed& changed);
    void on(const model::store_reply& reply);
    void on(const service_state_ordered& ordered);

    effects finish();

private:
    void schedule_poll();
    void drop_expired_calls();
    void read(state::call_kind kind, std::string table, std::string key);
    [[nodiscard]] std::uint64_t begin(state::call call);

    void apply_configuration(std::uint64_t version, const configuration_texts& texts);
    void on_texts_read(const std::vector<model::row>& rows);

    void publish(const model::service_state& order);
    void write(const std::string& key, state::known_order& known);
    void write_orders();
    void on_write_reply(const state::call& call, const model::store_reply& reply);
    void on_states_read(const std::vector<model::row>& rows);
    void merge_row(const model::row& row);
    void set_order(const std::string& key, const model::service_state& order, bool accepted_here);
    void add_timeline_entry(std::string name, std::vector<model::timeline_field> fields);

    state& state_;
    base::boot_time now_;
    std::uint64_t random_;
    effects effects_;
    bool states_changed_ = false;
};

} // namespace lovagetack::configuration
