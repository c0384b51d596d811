#pragma once

#include "routing/step.hpp"

namespace lovagetack::routing {

// Load messages between instances. They only improve decisions: each decision is safe without any message.

void update_peer_load(step& step, const instance_load& event);
void remove_silent_peers(step& step);

/// Whether the instance has been heard lately.
[[nodiscard]] bool is_instance_alive(const state& state, const model::instance_id& instance, base::boot_time now);

/// Sends the load of this instance when it has changed, or when the last message is old. In a large deployment only the
/// instances of the same data centre get it, and less often a keeper in another data centre.
void send_load_if_due(step& step);

/// Adds a requested key to the samples of the service and drops the oldest above `key_samples`.
void note_key(service_record& service, base::boot_time now, std::uint32_t key);

} // namespace lovagetack::routing
