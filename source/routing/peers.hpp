#pragma once

#include "routing/step.hpp"

namespace lovagetack::routing {

// What the instances tell each other of their load. It only improves decisions: each is safe without any message.

void learn_load(step& step, const instance_load& event);
void forget_silent_peers(step& step);

/// Instances that get the messages of this one, itself included.
/// Sends the load of this instance when it has changed, or when the last message is old. In a large deployment only the
/// instances of the same data centre get it, and a keeper elsewhere more rarely.
void tell_load(step& step);

void note_key(service_record& service, base::boot_time now, std::uint32_t key);

} // namespace lovagetack::routing
