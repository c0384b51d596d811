#pragma once

#include <cstdint>

#include "base/result_code.hpp"
#include "requests/effect.hpp"
#include "requests/event.hpp"

namespace lovagetack::requests {

/// Result of a request as far as the end of an attempt shows it.
struct classification {
    /// No byte reached a backend server, or the server refused the request.
    bool surely_not_run = false;
    requests::outcome caller_outcome = outcome::unknown;
    std::int32_t status = 502;
    base::result_code code = base::result_code::ok;
    /// An idempotent request may be sent again.
    bool retry_if_idempotent = false;
};

/// Classifies the end of an attempt. The status and code reported by a home instance are kept.
[[nodiscard]] classification classify(const attempt_ended& ended, bool relay);

enum class follow_up : std::uint8_t {
    /// Answers the caller with the classification.
    answer,
    /// Chooses a target again at once, if the retry budget allows it.
    retry_now,
    /// Waits for a change of route or home, or for a pause and a retry from the budget.
    retry_later,
};

/// Next action for a request that may be sent again, by the code of the classification.
[[nodiscard]] follow_up follow_up_of(const classification& classification, const attempt_ended& ended,
                                     bool divided_by_key);

} // namespace lovagetack::requests
