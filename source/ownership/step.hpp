#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "base/boot_time.hpp"
#include "ownership/effect.hpp"
#include "ownership/state.hpp"

namespace lovagetack::ownership {

/// One call of reduce(): the state, the time and random number of the event, and the effects so far.
struct step {
    ownership::state& state;
    base::boot_time now;
    std::uint64_t random = 0;
    std::vector<effect>& effects;
};

using timeline_fields = std::vector<model::timeline_field>;

/// Adds a timeline entry with the data centre as its first field.
inline void add_timeline_entry(step& step, std::string name, timeline_fields fields) {
    fields.insert(fields.begin(), {"data_centre", step.state.data_centre.value()});
    step.effects.emplace_back(model::timeline_entry{std::move(name), std::move(fields)});
}

/// Text of a fence as it stands in headers: <epoch>.<sequence>.
inline std::string text_of(const model::fence& fence) {
    return std::to_string(fence.epoch.value()) + "." + std::to_string(fence.sequence);
}

} // namespace lovagetack::ownership
