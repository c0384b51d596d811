#pragma once

#include <cstdint>
#include <vector>

#include "base/boot_time.hpp"
#include "configuration/effect.hpp"
#include "configuration/event.hpp"
#include "configuration/state.hpp"

namespace lovagetack::configuration {

using effects = std::vector<effect>;

/// Applies one event. random is the source of all choices made in it.
[[nodiscard]] effects reduce(state& state, base::boot_time now, std::uint64_t random, const event& happened);

} // namespace lovagetack::configuration
