#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

/// Constants of the routing decisions; reasons that need more than a line are in docs/platform.md.
namespace lovagetack::routing {

using namespace std::chrono_literals;

// Requests.

/// Requests that a server is given beyond its slots, by all instances together: first, most and least. Some have to
/// wait there, since a free slot is noticed elsewhere only after a message; a full server drops connections.
inline constexpr double first_spare_window = 2;
inline constexpr double largest_spare_window = 4;
inline constexpr double smallest_spare_window = 0;
/// Growth of the window with each answer of a server that was not full.
inline constexpr double window_growth = 0.1;
/// Without messages of other instances, an instance uses at most this many places at a server.
inline constexpr std::int32_t places_alone = 3;

/// Up to this many instances all tell each other their load; above it, only those of one data centre do, which mostly
/// use the backend servers of their own one.
inline constexpr std::size_t small_deployment = 16;
/// Least time between two messages of an instance, for the square of the number of instances that get them, so that the
/// work of receiving grows no faster than the deployment.
inline constexpr std::chrono::microseconds load_period_per_square = 250us;
/// Looking whether a message is due more often than this would cost more than the message.
inline constexpr std::chrono::microseconds shortest_load_period = 1ms;
/// Messages are sent at least this often, so that silence can be noticed.
inline constexpr std::chrono::microseconds idle_load_period = 250ms;
/// What an instance told holds no longer than this.
inline constexpr std::chrono::microseconds peer_age = 700ms;
/// Keys in one message.
inline constexpr std::size_t keys_per_message = 64;
/// Period of the messages to a keeper in another data centre of a large deployment: it plans a few times a second at
/// most, and each message costs traffic between data centres.
inline constexpr std::chrono::microseconds report_period = 400ms;
/// Least time between two reads of the assignments for missed changes.
inline constexpr std::chrono::microseconds refresh_pause = 300ms;
/// Ranges in one message about a change; a larger change is read from the store.
inline constexpr std::size_t ranges_per_message = 120;

/// No new work for a backend server after it was full.
inline constexpr std::chrono::microseconds full_pause = 60ms;
/// After a failed connection; doubles with each failure in a row up to the longest pause.
inline constexpr std::chrono::microseconds unreachable_pause = 100ms;
inline constexpr std::chrono::microseconds longest_pause = 1600ms;
/// A server that fails requests is tried again after this time.
inline constexpr std::chrono::microseconds failing_pause = 400ms;

/// Weight of a new observation in the moving averages.
inline constexpr double average_weight = 0.15;
/// The same in the average over all servers of a service.
inline constexpr double service_average_weight = 0.02;
/// Service time assumed of a server without observations.
inline constexpr std::chrono::microseconds assumed_service_time = 100ms;
/// A load report older than this says nothing any more.
inline constexpr std::chrono::microseconds report_age = 1000ms;
/// Transit to another data centre, as a penalty in the choice of a server: traffic between data centres is paid for.
inline constexpr std::chrono::microseconds remote_penalty = 15ms;
/// The same in a large deployment, where nothing is known of the load that others cause there: this share of the time
/// of a request.
inline constexpr double unknown_load_share = 0.6;

/// Retries per request that the instance allows itself; all instances together have to stay below the bound of the
/// deployment, which also grants a constant that is left to the first retries.
inline constexpr double retry_share = 0.12;
inline constexpr double most_retry_tokens = 3;

/// A request for a range that moves waits this share of its latency objective for the new owner.
inline constexpr double move_wait_share = 0.6;
/// A request is refused when its answer is expected after this share of its latency objective: under lasting overload a
/// longer queue would only make all answers late.
inline constexpr double useful_share = 1.0;
/// Pause before a request is sent again to a server that does not hold its key yet.
inline constexpr std::chrono::microseconds missing_key_pause = 60ms;

/// Times told to refused callers, spread so that they do not return together.
inline constexpr std::chrono::milliseconds shortest_retry_after = 150ms;
inline constexpr std::chrono::milliseconds retry_after_spread = 250ms;

/// A sharded server that leaves still serves its keys until they have moved, for this long at most.
inline constexpr std::chrono::microseconds leaving_service_time = 1400ms;
/// The same in a large deployment, whose instances learn of a leaving server up to a second later.
inline constexpr std::chrono::microseconds late_leaving_service_time = 700ms;
inline constexpr std::chrono::microseconds evacuated_service_time = 3500ms;

/// Instances that may send to a cold server; the fewer, the less their uncoordinated requests add up.
inline constexpr std::size_t cold_senders = 2;
/// Share of the cold rate that is used.
inline constexpr double cold_rate_share = 0.85;

/// After an outage of the store, registrations that lapsed meanwhile are back within this time.
inline constexpr std::chrono::microseconds registry_return = 2200ms;

// Keys.

/// How long the keeper may change assignments after the store confirmed its lease.
inline constexpr std::chrono::milliseconds lease_time = 2000ms;
inline constexpr std::chrono::microseconds lease_renewal = 700ms;
/// How long a holder without the store goes on renewing grants, so that an outage of the store stops no service.
inline constexpr std::chrono::milliseconds renewal_right = 9000ms;
/// Safety margin in comparisons of times of the store with own times.
inline constexpr std::chrono::milliseconds clock_margin = 100ms;
/// Checks of the lease by the other instances, in total over the deployment.
inline constexpr std::chrono::microseconds lease_check_period = 350ms;
/// Delay of an instance's first check of the lease, for a whole core; with less processor time it is longer.
inline constexpr std::chrono::microseconds first_check_delay = 50ms;
inline constexpr std::chrono::microseconds first_check_spread = 100ms;

/// Pause after a refusal of the store.
inline constexpr std::chrono::microseconds store_retry = 200ms;

/// Duration of a grant, and the period of its renewal. The longer, the later keys of a lost server are served again;
/// the shorter, the less time there is to replace a lost keeper.
inline constexpr std::chrono::milliseconds hold_time = 2400ms;
inline constexpr std::chrono::microseconds renewal_period = 600ms;
/// Clocks of backend servers may run this much slow.
inline constexpr double slow_clock = 1.03;
inline constexpr std::chrono::microseconds hold_margin = 100ms;
/// An owner whose grant was not renewed for this long is given up.
inline constexpr std::chrono::microseconds lost_after = 1000ms;
inline constexpr std::chrono::microseconds release_retry = 400ms;

inline constexpr std::chrono::microseconds plan_period = 100ms;
inline constexpr std::chrono::microseconds balance_period = 400ms;
/// Samples of requested keys for the balance, and their age.
inline constexpr std::size_t key_samples = 8000;
inline constexpr std::chrono::microseconds sample_age = 4s;
/// Samples that the width of all ranges together counts for, as long as little is known.
inline constexpr double prior_samples = 12;
inline constexpr std::size_t fewest_samples = 20;
/// Load of the most loaded owner, relative to its fair share, above which keys move.
inline constexpr double tolerated_imbalance = 1.4;
/// The excess has to be above this many standard deviations of the sample, since a change costs calls to the store.
inline constexpr double certain_excess = 3.0;
/// The first assignment waits until no server of the service has registered for this long.
inline constexpr std::chrono::microseconds settling_time = 700ms;
/// Changes of an assignment wait this long for others to be written with them.
inline constexpr std::chrono::microseconds write_gathering = 40ms;
/// Lines of the log about a balance that has to wait are at least this far apart.
inline constexpr std::chrono::microseconds postponed_note_period = 2s;
inline constexpr std::size_t moves_per_plan = 6;
/// In a large deployment one plan moves a range for each so many owners.
inline constexpr std::size_t owners_per_move = 4;
/// A keeper that has not run for this long asks the store whether it still is one before it acts.
inline constexpr std::chrono::microseconds longest_pause_of_keeper = 400ms;
/// Accepted fencing tokens that are remembered, the lowest forgotten first.
inline constexpr std::size_t remembered_tokens = 4096;
/// An owner has at most this many ranges before small ones are merged.
inline constexpr std::size_t ranges_per_owner = 4;

} // namespace lovagetack::routing
