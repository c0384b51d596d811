#pragma once

#include "ownership/event.hpp"
#include "ownership/step.hpp"

/// Who controls the data centre: epochs, claims, authority by majority of the witnesses, heartbeats (4.2).
namespace lovagetack::ownership {

/// Detects a pause of this process and restarts all periods of silence. Call first at every event.
void detect_pause(step& step);

/// Gains or loses authority according to the accepted polls. Call at every event before anything is granted.
void check_authority(step& step);

/// Candidate: claims control after the controller's silence. Claimant: steps down when refused or after claim_timeout.
/// Controller: sends heartbeats.
void run_election(step& step);

void handle_heartbeat(step& step, const controller_heard& heard);

/// Polls the witnesses from now on with this epoch.
void claim(step& step, model::epoch epoch);

/// Becomes a candidate again. An epoch that no witness refused is kept as reservation.
void step_down(step& step, std::string reason);

/// Clears what was sent to servers and what they reported in the last term.
void reset_term(state& state);

/// Backend servers of the data centre that should be witnesses; drained ones are left out.
[[nodiscard]] std::vector<model::backend_server_id> wanted_witnesses(const state& state);

/// The live candidates in the order of their reservations.
[[nodiscard]] std::vector<model::member> candidates_in_order(const state& state);

/// State of this instance in the list of members; absent when it is not listed.
[[nodiscard]] std::optional<model::member_state> own_member_state(const state& state);

} // namespace lovagetack::ownership
