#pragma once

#include <cstdint>
#include <vector>

#include "base/boot_time.hpp"
#include "requests/effect.hpp"
#include "requests/event.hpp"
#include "requests/state.hpp"

namespace lovagetack::requests {

using effects = std::vector<effect>;

/// Applies one event and returns the effects, which have to be carried out in order. Once a byte of a request was
/// handed to a connection, the shell has to deliver attempt_sending before any later event, since the outcome "not run"
/// depends on it. No attempt_ended is needed after cancel_attempt.
[[nodiscard]] effects reduce(state& state, base::boot_time now, std::uint64_t random, const event& received);

} // namespace lovagetack::requests
