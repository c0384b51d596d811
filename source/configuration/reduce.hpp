#pragma once

#include <cstdint>
#include <vector>

#include "base/boot_time.hpp"
#include "configuration/effect.hpp"
#include "configuration/event.hpp"
#include "configuration/state.hpp"

namespace lovagetack::configuration {

using effects = std::vector<effect>;

/// Applies one event and returns its effects. All random choices are derived from random.
[[nodiscard]] effects reduce(state& state, base::boot_time now, std::uint64_t random, const event& received);

} // namespace lovagetack::configuration
