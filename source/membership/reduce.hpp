#pragma once

#include <cstdint>
#include <vector>

#include "base/boot_time.hpp"
#include "membership/effect.hpp"
#include "membership/event.hpp"
#include "membership/state.hpp"

namespace lovagetack::membership {

using effects = std::vector<effect>;

/// Applies one event to the state and returns its effects. random is the seed of all random choices made for it.
[[nodiscard]] effects reduce(state& state, base::boot_time now, std::uint64_t random, const event& happened);

} // namespace lovagetack::membership
