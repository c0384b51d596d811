#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

#include "routing/step.hpp"

namespace lovagetack::routing {

// Quarantine of requests that end the backend servers that run them. Such a request comes again, at any instance, and
// each time ends one more server.
//
// An instance suspects a request when its connection to a server was lost, and reports a strike to the collectors once
// the server is known to have ended. A collector that knows of enough strikes from different runs of servers writes a
// row to the store, which all instances follow. Where the request has ended well since, an instance objects, and the
// collectors drop the strikes from before.

[[nodiscard]] bool is_quarantined(const state& state, request_fingerprint request);

/// How long the quarantine of the request still lasts; a second at least.
[[nodiscard]] std::chrono::milliseconds quarantine_time_left(const step& step, request_fingerprint request);

/// Notes that the connection to the exchange's server was lost while it may have worked on the request, and asks for a
/// probe of the server. An answer that is cut short by a server that is leaving is no reason for suspicion.
void suspect_request(step& step, const exchange& exchange, attempt_outcome outcome);

/// Notes that this instance drops the attempt of the exchange, whose server may go on working on the request. Costs no
/// probe: the request has a strike if other signs show within suspicion_time that the server has ended.
void note_cancelled_request(step& step, const exchange& exchange);

/// No connection to the server could be opened. Asks for a probe if requests were cancelled there.
void note_unreachable_server(step& step, const model::backend_server_id& server);

/// Whether servers were lost under the request more than once, as far as this instance knows. Such a request is not
/// sent again at once.
[[nodiscard]] bool is_suspected_again(const state& state, request_fingerprint request);

/// Notes that a server has answered the request.
void note_good_end(step& step, request_fingerprint request);

/// The runs of the server have ended, except for one that began at `living_run`: each request that is suspected of them
/// has a strike. Nothing if the server does not run. Called before the record of the server shows the end.
void note_server_ended(step& step, const model::backend_server_id& server, std::optional<std::uint64_t> living_run);

void end_probe(step& step, const server_probed& event);
void collect_strike(step& step, const request_strike& strike);
void collect_objection(step& step, const quarantine_objection& objection);

/// A row of the store quarantines the request. Requests that wait are refused.
void begin_quarantine(step& step, request_fingerprint request);
void end_quarantine(step& step, request_fingerprint request);

/// Writes and removes rows that are due.
void run_quarantine(step& step);

} // namespace lovagetack::routing
