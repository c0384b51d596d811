#pragma once

#include "requests/context.hpp"

namespace lovagetack::requests {

/// Queues a request for a slot of a backend server of which this instance is home, or refuses it early.
void enqueue(context& ctx, exchange& exchange, server_record& server);

/// Takes the request out of the queue of its backend server if it is in it.
void leave_queue(context& ctx, exchange& exchange);

/// Lets requests go on that wait for the slots of backend servers touched in this call.
void run_scheduled_queues(context& ctx);

/// Places the queued requests again whose key has another owner now.
void recheck_queues(context& ctx);

/// Marks the queue of a backend server for run_scheduled_queues().
void schedule_queue(context& ctx, const server_record& server);

/// Requests that the backend server may execute at once at present.
[[nodiscard]] std::int32_t usable_slots(const server_record& server, base::boot_time now);

/// Keeps the slot of a cancelled attempt until the cancellation has surely arrived.
void hold_slot(context& ctx, server_record& server, model::attempt_id attempt);
/// The cancelled attempt is known to be over.
void release_held_slot(context& ctx, model::attempt_id attempt);
/// Frees the slots whose time is over.
void release_expired_slots(context& ctx);

} // namespace lovagetack::requests
