#pragma once

#include "requests/context.hpp"

namespace lovagetack::requests {

/// How long a connection may be silent before it is probed.
[[nodiscard]] std::chrono::microseconds silence_limit(const service_record& service, bool relay);

/// The present attempt of a request has been silent for silence_limit().
void on_silence(context& ctx, exchange& exchange);

/// Handles the end of a probe. If it succeeded, the silent connections of the backend server are replaced.
void on_connection_probed(context& ctx, const connection_probed& received);

/// Resends silent idempotent requests to the new owners of their keys after routes changed.
void move_silent_requests(context& ctx, service_record& service);

} // namespace lovagetack::requests
