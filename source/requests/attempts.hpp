#pragma once

#include "requests/context.hpp"

namespace lovagetack::requests {

/// Sends a request to its backend server. The calling code has to check that a slot is free.
void start_direct(context& ctx, exchange& exchange, server_record& server);

/// Relays a request to the home instance of its backend server.
void start_relay(context& ctx, exchange& exchange, server_record& server);

/// Ends the present attempt without waiting for its outcome and cancels it at the backend server.
void stop_attempt(context& ctx, exchange& exchange);

void on_attempt_sending(context& ctx, const attempt_sending& received);
void on_attempt_answering(context& ctx, const attempt_answering& received);
void on_attempt_ended(context& ctx, const attempt_ended& received);

/// The deadline of a request has passed.
void on_deadline(context& ctx, exchange& exchange);

} // namespace lovagetack::requests
