#pragma once

#include "routing/step.hpp"

namespace lovagetack::routing {

// What is known of backend servers, and which of them may be sent a request.

void learn_server(step& step, const backend_server& server);
void remove_server(step& step, const model::backend_server_id& id);
void note_contact(step& step, bool reachable);
/// Removes servers that are still missing some time after an outage of the store.
void remove_missing(step& step);
void learn_evacuations(step& step, const std::set<model::data_centre_id>& data_centres);

[[nodiscard]] bool is_cold(const server_record& server, base::boot_time now);

/// May own keys: registered, not leaving, not evacuated. A cold server does not count.
[[nodiscard]] bool may_own(const state& state, const server_record& server, base::boot_time now);

/// May get a request for which any server of the service will do.
[[nodiscard]] bool takes_new_work(const state& state, const server_record& server, base::boot_time now);

/// May still get requests for keys that it owns.
[[nodiscard]] bool serves_own_keys(const state& state, const server_record& server, base::boot_time now);

/// Room for one more request, as far as is known of what all instances have under way.
[[nodiscard]] bool has_room(const state& state, const server_record& server, base::boot_time now);

/// Takes one request of the cold allowance; true without limit for a warm server.
[[nodiscard]] bool take_cold_token(const state& state, server_record& server, base::boot_time now);

/// Expected time until a request that is sent now is answered.
[[nodiscard]] std::chrono::microseconds expected_time(const state& state, const server_record& server,
                                                      base::boot_time now);

/// Takes observed durations of work, at the server's usual speed, into its average.
void note_service_time(state& state, server_record& server, std::chrono::microseconds observed,
                       std::int32_t observations);

/// Time of one request at the server without waiting; that of its service until it was observed there.
[[nodiscard]] std::chrono::microseconds usual_time(const state& state, const server_record& server);

void note_outcome(step& step, server_record& server, const attempt_ended& event, std::chrono::microseconds elapsed);

} // namespace lovagetack::routing
