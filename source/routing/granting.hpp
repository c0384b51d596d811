#pragma once

#include <chrono>
#include <string_view>

#include "routing/step.hpp"

namespace lovagetack::routing {

// Grants of keys to their owners, and the moves of ranges from one owner to another.

[[nodiscard]] std::string_view name_of(grant_outcome outcome);

/// The longest time for which a grant can be valid, including a slow clock of the owner.
[[nodiscard]] std::chrono::microseconds longest_hold();

/// The server that owns the range; null if it is unknown or has restarted since it was assigned the keys.
[[nodiscard]] const server_record* owner_of(const state& state, const key_range& range);

/// Whether the owner no longer confirms grants.
[[nodiscard]] bool is_lost(const step& step, const model::backend_server_id& id);

void renew_grants(step& step, const model::service_id& service, const service_record& record);

/// Releases the range at its leaving owner, or grants it to the new one once the former grant has ended.
void continue_move(step& step, const model::service_id& service, const key_range& range);

} // namespace lovagetack::routing
