#pragma once

#include <chrono>
#include <string_view>

#include "base/result_code.hpp"
#include "requests/context.hpp"

namespace lovagetack::requests {

/// An answer of this instance in place of one of a backend server.
struct refusal {
    std::int32_t status = 503;
    base::result_code code = base::result_code::ok;
    requests::outcome outcome = outcome::not_run;
    std::chrono::microseconds retry_after = std::chrono::microseconds(0);
    std::string_view message;
};

/// Answers the caller and removes the request. The outcome not_run is reported as unknown if an earlier attempt may
/// have run.
void answer(context& ctx, exchange& exchange, const refusal& refusal);

/// Answers with status 503 and the outcome not_run. No attempt of the request may be in flight.
void refuse(context& ctx, exchange& exchange, base::result_code code, std::string_view message,
            std::chrono::microseconds retry_after = default_retry_after);

/// Answers with the stored outcome of an earlier request with the same idempotency key.
void answer_repeated(context& ctx, exchange& exchange, std::int32_t status, std::string body);

/// Removes a request whose whole answer was forwarded to the caller, and stores its outcome.
void complete(context& ctx, exchange& exchange, const attempt_ended& ended);

/// Stops the attempt of a request whose caller left, and removes the request.
void on_caller_left(context& ctx, const caller_left& received);

/// Sets, moves or removes one of the timers of a request.
void set_timer(context& ctx, exchange_id id, timer_kind kind, std::optional<base::boot_time>& at,
               std::optional<base::boot_time> new_at);

} // namespace lovagetack::requests
