#pragma once

#include <cstdint>
#include <vector>

#include "base/boot_time.hpp"
#include "membership/effect.hpp"
#include "membership/event.hpp"
#include "membership/state.hpp"

namespace lovagetack::membership {

using effects = std::vector<effect>;

/// Applies one event. random is the source of all choices made in it.
[[nodiscard]] effects reduce(state& state, base::boot_time now, std::uint64_t random, const event& happened);

} // namespace lovagetack::membership
