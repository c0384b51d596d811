#pragma once

#include <chrono>
#include <string_view>

#include "base/result_code.hpp"
#include "requests/context.hpp"

namespace lovagetack::requests {

/// What a caller is told instead of an answer of a backend server.
struct refusal {
    std::int32_t status = 503;
    base::result_code code = base::result_code::ok;
    requests::outcome outcome = outcome::not_run;
    std::chrono::microseconds retry_after = std::chrono::microseconds(0);
    std::string_view message;
};

/// Answers the caller and forgets the request. "Not run" becomes "unknown" when an earlier attempt may have run.
void answer(context& ctx, exchange& exchange, const refusal& refusal);

/// Answers "not run" with 503; the request must not be under way.
void refuse(context& ctx, exchange& exchange, base::result_code code, std::string_view message,
            std::chrono::microseconds retry_after = default_retry_after);

/// Answers with the stored outcome of an earlier request with the same idempotency key.
void answer_repeated(context& ctx, exchange& exchange, std::int32_t status, std::string body);

/// The whole answer of a backend server or home instance went to the caller: forgets the request.
void complete(context& ctx, exchange& exchange, const attempt_ended& ended);

/// The caller left: stops the attempt and forgets the request.
void on_caller_left(context& ctx, const caller_left& received);

/// Sets, moves or removes one of the timers of a request.
void set_timer(context& ctx, exchange_id id, timer_kind kind, std::optional<base::boot_time>& at,
               std::optional<base::boot_time> new_at);

} // namespace lovagetack::requests
