#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/boot_time.hpp"
#include "base/result_code.hpp"
#include "model/ids.hpp"
#include "requests/event.hpp"

namespace lovagetack::requests {

enum class exchange_phase : std::uint8_t {
    /// Its target is being chosen in the present call.
    placing,
    /// Waits for an active owner, a home instance or a pause to end.
    waiting,
    /// Waits for the store to confirm its idempotency claim.
    claiming,
    /// Waits for a slot of its backend server.
    queued,
    /// An attempt is under way.
    in_flight,
};

enum class timer_kind : std::uint8_t { deadline, retry, silence };

enum class claim_state : std::uint8_t { none, pending, claimed };

/// State of one caller's request, from its header to the end of its answer.
struct exchange {
    exchange_id id;
    caller_request request;
    std::uint64_t hash = 0;
    base::boot_time arrived;
    base::boot_time deadline;
    exchange_phase phase = exchange_phase::placing;

    /// Target of the present or last attempt.
    model::backend_server_id target;
    model::instance_id relay_to;
    model::fence fence;

    model::attempt_id attempt;
    base::boot_time attempt_started;
    /// Time from the start of the attempt to the header of the answer.
    std::chrono::microseconds latency = std::chrono::microseconds(0);
    std::int32_t attempts = 0;
    /// At least one byte of the present attempt was sent.
    bool sending = false;
    /// The header of the answer was sent to the caller.
    bool answering = false;
    /// An earlier attempt may have been executed, so that the outcome must not be reported as "not run".
    bool may_have_run = false;
    bool fresh_connection = false;
    /// Backend servers that already failed or refused this request.
    std::vector<model::backend_server_id> tried;

    /// Set while waiting: the result code that is reported when the deadline passes.
    base::result_code wait_reason = base::result_code::ok;
    std::optional<base::boot_time> retry_at;
    std::optional<base::boot_time> silence_at;

    base::boot_time queued_at;
    std::chrono::microseconds queued_for = std::chrono::microseconds(0);

    claim_state claim = claim_state::none;
    std::string claim_row;
    std::uint64_t claim_version = 0;

    [[nodiscard]] bool relayed() const { return !request.relayed_by.empty(); }
    [[nodiscard]] bool needs_claim() const { return !request.idempotent && !request.idempotency_key.empty(); }
};

} // namespace lovagetack::requests
