#pragma once

#include <cstdint>

#include "base/result_code.hpp"
#include "requests/effect.hpp"
#include "requests/event.hpp"

namespace lovagetack::requests {

/// What the end of an attempt proves about the request.
struct classification {
    /// No byte reached a backend server, or the server itself refused.
    bool surely_not_run = false;
    requests::outcome caller_outcome = outcome::unknown;
    std::int32_t status = 502;
    base::result_code code = base::result_code::ok;
    /// An idempotent request may be sent again.
    bool retry_if_idempotent = false;
};

/// Judges an attempt that did not complete. The status and code told by a home instance are passed on.
[[nodiscard]] classification classify(const attempt_ended& ended, bool relay);

enum class follow_up : std::uint8_t {
    /// The caller is told the verdict.
    answer,
    /// A renewed choice at once, if the retry budget has one.
    retry_now,
    /// Waits for a change of route or home, or for a pause and a retry from the budget.
    retry_later,
};

/// What to do with a request that may be sent again, by the code of the verdict.
[[nodiscard]] follow_up follow_up_of(const classification& classification, const attempt_ended& ended,
                                     bool divided_by_key);

} // namespace lovagetack::requests
