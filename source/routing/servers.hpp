#pragma once

#include "routing/step.hpp"

namespace lovagetack::routing {

// State of the backend servers, and which of them may be sent a request.

/// Adds or updates a registered server. Its statistics are reset if it is new or its process has restarted.
void update_server(step& step, const backend_server& server);
/// Marks a server as unregistered; during and shortly after an outage of the store, only as missing.
void remove_server(step& step, const model::backend_server_id& id);
/// Records whether the store answers.
/// Notes the store's era. After a restoration, what the store no longer has is kept until it was written again.
void note_store_era(step& step, std::uint64_t era);
/// Whether operators and backend servers may still be writing again what a restoration of the store has lost.
[[nodiscard]] bool is_being_rewritten(const state& state, base::boot_time now);

void set_store_reachable(step& step, bool reachable);
/// How long this instance has reached the store without a break; 0 while it does not.
[[nodiscard]] std::chrono::milliseconds store_contact(const state& state, base::boot_time now);
/// Ends the wait for missing registrations if another instance has reached the store all the while: the store was not
/// down, only this instance was cut off, so the registrations are gone for good.
void note_store_contact(step& step, std::chrono::milliseconds contact);
/// Removes the servers that are still missing registry_return after an outage of the store.
void remove_missing(step& step);
/// Replaces the set of evacuated data centres.
void update_evacuations(step& step, std::set<model::data_centre_id> data_centres);
/// Ends evacuations that the operators have not written again after a restoration of the store.
void end_missing_evacuations(step& step);

/// Whether the server leaves, by the registry or by its own word in an answer.
[[nodiscard]] bool is_leaving(const server_record& server);

[[nodiscard]] bool is_cold(const server_record& server, base::boot_time now);

/// Whether the server may own keys: registered, not leaving, not evacuated and not cold.
[[nodiscard]] bool may_own(const state& state, const server_record& server, base::boot_time now);

/// Whether several connections to the server failed in a row and it is not yet to be tried again.
[[nodiscard]] bool is_unreachable(const server_record& server, base::boot_time now);

/// Whether the server may get a request that any server of the service can handle.
[[nodiscard]] bool takes_new_work(const state& state, const server_record& server, base::boot_time now);

/// Whether the server still gets requests for keys that it owns; a leaving or evacuated one does for a limited time.
[[nodiscard]] bool serves_own_keys(const state& state, const server_record& server, base::boot_time now);

/// Whether the server can accept one more request, given the known outstanding requests of all instances.
[[nodiscard]] bool has_room(const state& state, const server_record& server, base::boot_time now);

/// Takes one token of the cold rate as the only instance that sends to the server; see take_cold_token.
[[nodiscard]] bool take_whole_cold_token(const state& state, server_record& server, base::boot_time now);

/// Takes one token of the server's cold rate; false if there is none. Always true for a server that is not cold.
[[nodiscard]] bool take_cold_token(const state& state, server_record& server, base::boot_time now);

/// Expected time until a request that is sent now is answered.
[[nodiscard]] std::chrono::microseconds expected_time(const state& state, const server_record& server,
                                                      base::boot_time now);

/// Whether what the servers take well is learned from their answers. Where few instances share few servers, each sees
/// too few answers of a server for more than a moving average.
[[nodiscard]] bool learns_capacity(const state& state);

/// Updates the times of the server and its service by what another instance has reported. `observed` is the mean
/// duration of work at the server's usual speed.
void note_reported_time(step& step, server_record& server, std::chrono::microseconds observed,
                        std::int32_t observations);

/// Average time of one request at the server without queueing, at its usual speed; the service's average until the
/// server has one.
[[nodiscard]] std::chrono::microseconds usual_time(const state& state, const server_record& server);
/// The same for a request that is sent now; what was learned long ago has aged.
[[nodiscard]] std::chrono::microseconds usual_time(const state& state, const server_record& server,
                                                   base::boot_time now);

/// Requests that the server takes well at once: at most its registered slots.
[[nodiscard]] std::int32_t most_at_once(const state& state, const server_record& server, base::boot_time now);

/// Requests per second that the server takes well. Those that it is expected to reject or fail are not counted.
[[nodiscard]] double throughput(const state& state, const server_record& server, base::boot_time now);

/// Factor by which a request takes longer because of `others` other requests in progress at the server.
[[nodiscard]] double slowdown(const state& state, const server_record& server, std::int32_t others,
                              base::boot_time now);

/// Updates the statistics, window and pauses of a server after an attempt.
void record_outcome(step& step, server_record& server, const attempt_ended& event, std::chrono::microseconds elapsed);

} // namespace lovagetack::routing
