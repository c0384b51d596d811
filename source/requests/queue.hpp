#pragma once

#include "requests/context.hpp"

namespace lovagetack::requests {

/// Queues a request for a slot of a backend server of which this instance is home, or refuses it early.
void enqueue(context& ctx, exchange& exchange, server_record& server);

/// Removes the request from the queue of its backend server if it is in it.
void leave_queue(context& ctx, exchange& exchange);

/// Starts queued requests of the scheduled backend servers as far as slots, ramp and home lease allow. If this instance
/// must not send to a backend server any more, its queued requests are placed again.
void run_scheduled_queues(context& ctx);

/// Places the queued requests again whose key has another owner, and updates the fences of the others.
void recheck_queues(context& ctx);

/// Schedules the queue of a backend server for run_scheduled_queues().
void schedule_queue(context& ctx, const server_record& server);

/// Number of requests that may run at the backend server at the same time at present.
[[nodiscard]] std::int32_t usable_slots(const server_record& server, base::boot_time now);

/// Keeps the slot of a cancelled attempt taken for cancellation_time, until the cancellation has arrived.
void hold_slot(context& ctx, server_record& server, model::attempt_id attempt);
/// Releases the slot of a cancelled attempt that has ended.
void release_held_slot(context& ctx, model::attempt_id attempt);
/// Releases the slots whose cancellation_time is over.
void release_expired_slots(context& ctx);

} // namespace lovagetack::requests
