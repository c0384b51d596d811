#pragma once

#include "base/boot_time.hpp"
#include "routing/effect.hpp"
#include "routing/state.hpp"

namespace lovagetack::routing {

/// State, time and collected effects of one reduce() call.
struct step {
    routing::state& state;
    base::boot_time now;
    routing::effects effects;

    void add(effect item) { effects.push_back(std::move(item)); }
};

} // namespace lovagetack::routing
