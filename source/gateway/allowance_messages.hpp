#pragma once

#include "routing/accounts/messages.hpp"

namespace lovagetack::wire {
class GatewayMessage;
} // namespace lovagetack::wire

namespace lovagetack::gateway {

// Messages about the allowances of client accounts, to and from the form in which they are sent.

void write(const routing::counter_roles& message, wire::GatewayMessage& envelope);
void write(const routing::counter_report& message, wire::GatewayMessage& envelope);
void write(const routing::token_request& message, wire::GatewayMessage& envelope);
void write(const routing::token_answer& message, wire::GatewayMessage& envelope);

/// The envelope holds one of these messages.
[[nodiscard]] routing::allowance_message read_allowance_message(const wire::GatewayMessage& envelope);

} // namespace lovagetack::gateway
