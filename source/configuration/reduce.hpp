#pragma once

#include <vector>

#include "configuration/effect.hpp"
#include "configuration/event.hpp"
#include "configuration/state.hpp"

namespace lovagetack::configuration {

using effects = std::vector<effect>;

[[nodiscard]] effects reduce(state& state, base::boot_time now, std::uint64_t random, const event& event);

} // namespace lovagetack::configuration
