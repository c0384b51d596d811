#include "ownership/changes.hpp"

#include <utility>

#include "ownership/election.hpp"
#include "ownership/servers.hpp"
#include "ownership/store.hpp"

namespace lovagetack::ownership {
namespace {

decision_inputs present_inputs(const step& step) {
    const auto& state = step.state;
    decision_inputs inputs;
    inputs.epoch = state.epoch;
    inputs.controls = is_controller(state, step.now);
    inputs.may_write = may_write_rows(step);
    inputs.activation_wait_over = step.now >= state.term_start + state.rules.activation_wait;
    inputs.adoption_grace_over = step.now >= state.term_start + state.rules.adoption_grace;
    inputs.servers.reserve(state.servers.size());
    for (const auto& [id, view] : state.servers) {
        inputs.servers.push_back({view.reached, should_release_ranges(state, id), is_silent(state, view, step.now),
                                  is_expired(state, view, step.now), step.now >= view.lease_bound});
    }
    inputs.departures = state.departures;
    inputs.withdrawn = state.withdrawn.size();
    return inputs;
}

} // namespace

void mark_inputs_changed(state& state) {
    state.inputs_changed = true;
}

bool start_deciding(step& step, bool compare_inputs) {
    auto& state = step.state;
    if (!state.inputs_changed && !compare_inputs) {
        return false;
    }
    auto inputs = present_inputs(step);
    if (!state.inputs_changed && state.settled && inputs == state.last_decision_inputs) {
        return false;
    }
    state.inputs_changed = false;
    state.last_decision_inputs = std::move(inputs);
    return true;
}

} // namespace lovagetack::ownership
