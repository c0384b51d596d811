#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

/// Constants of the routing decisions; reasons that need more than a line are in docs/platform.md.
namespace lovagetack::routing {

using namespace std::chrono_literals;

// Requests.

/// Shortest time between two log lines about requests without a valid key, of which a caller can send any number.
inline constexpr std::chrono::microseconds unauthenticated_log_period = 1s;

/// An answer that has started ends at its deadline, or later, once nothing of it has arrived for this long.
inline constexpr std::chrono::microseconds answer_silence = 200ms;
/// How long an answer that is still arriving at its deadline may go on. With the check period it stays below the half
/// second after which the operators count a request as unanswered.
inline constexpr std::chrono::microseconds answer_overtime = 400ms;
/// After a longer time without a report of its progress, the instance was suspended and has not read yet what arrived.
inline constexpr std::chrono::microseconds longest_report_gap = 1s;

/// Requests beyond its slots that all instances together send to a server: initial, largest and smallest number. Some
/// have to wait at the server, since other instances see a free slot only after a message; a full server drops
/// connections.
inline constexpr double first_spare_window = 2;
inline constexpr double largest_spare_window = 4;
inline constexpr double smallest_spare_window = 0;
/// Growth of the spare window with each answer of a server that was not full.
inline constexpr double window_growth = 0.1;
/// Most requests in progress at one server while no messages of other instances arrive.
inline constexpr std::int32_t outstanding_without_peers = 3;

/// Up to this many instances, each sends its load to all others; above it, only to those of its data centre, since
/// instances mostly use the backend servers of their own data centre.
inline constexpr std::size_t small_deployment = 16;
/// Shortest time between two messages of an instance, divided by the square of the number of instances that get them,
/// so that the work of receiving grows no faster than the deployment.
inline constexpr std::chrono::microseconds load_period_per_square = 250us;
/// Checking more often than this whether a message is due would cost more than the message.
inline constexpr std::chrono::microseconds shortest_load_period = 1ms;
/// Messages are sent at least this often, so that other instances can detect that the sender is silent.
inline constexpr std::chrono::microseconds idle_load_period = 250ms;
/// The last message of an instance is discarded after this time without a new one.
inline constexpr std::chrono::microseconds peer_timeout = 700ms;
/// Most keys in one message.
inline constexpr std::size_t keys_per_message = 64;
/// Period of the messages to a keeper in another data centre of a large deployment: the keeper plans at most a few
/// times a second, and each message costs traffic between data centres.
inline constexpr std::chrono::microseconds report_period = 400ms;
/// The period is longer by itself for each such number of instances.
inline constexpr std::size_t reporters_per_period = 64;
/// Least time between two reads of the assignments for missed changes.
inline constexpr std::chrono::microseconds refresh_pause = 300ms;
/// Most ranges in one message about a change; a larger change is sent in parts.
inline constexpr std::size_t ranges_per_message = 120;

/// Requests that arrive later than this after the start of a shutdown are refused: they may last longer than the rest
/// of the grace period.
inline constexpr std::chrono::microseconds admission_after_stop = 2800ms;

/// Work that is begun during a shutdown has this multiple of its usual time until open requests are broken off.
inline constexpr int work_time_before_exit = 2;

/// Pause in new work for a backend server after it was full.
inline constexpr std::chrono::microseconds full_server_pause = 60ms;
/// Pause after a failed connection; doubles with each consecutive failure up to the longest pause.
inline constexpr std::chrono::microseconds unreachable_pause = 100ms;
inline constexpr std::chrono::microseconds longest_pause = 1600ms;
/// After more failed connections in a row, requests for the server's keys are refused until its pause has ended.
inline constexpr std::int32_t most_failed_connections = 2;
/// A server that fails requests is tried again after this time.
inline constexpr std::chrono::microseconds failing_pause = 400ms;

/// How long a server's word that it leaves is kept after it was last heard, if the registry shows the server as ready
/// all the while. Servers that leave have ended or are out of the registry long before.
inline constexpr std::chrono::microseconds leaving_memory = 60s;
/// Longest pause that an answer of a server can cause: one odd value costs no more than this, and a server that goes on
/// asking for a pause is asked again with one request after each.
inline constexpr std::chrono::milliseconds longest_stated_pause = 30s;
/// A pause is longer by up to this part of it, and by this time at most, so that the instances that a server has turned
/// away together do not return together.
inline constexpr std::int64_t pause_spread_percent = 25;
inline constexpr std::chrono::microseconds longest_pause_spread = 1s;

/// Weight of a new observation in the moving averages.
inline constexpr double average_weight = 0.15;
/// The same in the average over all servers of a service.
inline constexpr double service_average_weight = 0.02;
/// Service time assumed of a server without observations.
inline constexpr std::chrono::microseconds assumed_service_time = 100ms;
/// A load report older than this is ignored.
inline constexpr std::chrono::microseconds report_age = 1000ms;
/// Penalty for another data centre in the choice of a server: traffic between data centres takes time and is paid for.
inline constexpr std::chrono::microseconds remote_penalty = 15ms;
/// Penalty in a large deployment, as a share of the time of a request: the load that other instances cause in another
/// data centre is not known.
inline constexpr double unknown_load_share = 0.6;

/// Retries per request that one instance may make. All instances together have to stay below the bound of the
/// deployment; the constant that this bound adds is left for the first retries.
inline constexpr double retry_share = 0.12;
inline constexpr double most_retry_tokens = 3;

/// A request for a moving range waits at most this share of its latency objective for the new owner.
inline constexpr double move_wait_share = 0.6;
/// A request is refused when its answer is expected after this share of its latency objective: under lasting overload
/// a longer queue would only make all answers late.
inline constexpr double latest_answer_share = 1.0;
/// Pause before a request is sent again to a server that does not hold its key yet.
inline constexpr std::chrono::microseconds missing_key_pause = 60ms;

/// Retry-after times for refused callers, spread so that they do not all return at once.
inline constexpr std::chrono::milliseconds shortest_retry_after = 150ms;
inline constexpr std::chrono::milliseconds retry_after_spread = 250ms;

/// A sharded server that is leaving serves its keys until they have moved, for at most this long.
inline constexpr std::chrono::microseconds leaving_service_time = 1400ms;
/// The same in a large deployment, whose instances see that a server is leaving up to a second later.
inline constexpr std::chrono::microseconds late_leaving_service_time = 700ms;
inline constexpr std::chrono::microseconds evacuated_service_time = 3500ms;

/// Instances that may send to a cold server; few, since their uncoordinated requests add up.
inline constexpr std::size_t cold_server_senders = 2;
/// Share of the cold rate that is used.
inline constexpr double cold_rate_share = 0.85;

/// Time within which registrations that expired during an outage of the store return after it.
inline constexpr std::chrono::microseconds registry_return = 2200ms;

/// Time within which operators write evacuations again that a restored store has lost. Only capacity is lost while it
/// lasts.
inline constexpr std::chrono::microseconds evacuation_return = 5000ms;

// Quarantine of requests that end backend servers.

/// Runs of backend servers that have ended under a request before it is quarantined. Servers end for other reasons too,
/// and a request that meets two such ends is rare.
inline constexpr std::size_t quarantine_strikes = 3;
/// How long a request is quarantined; a request that is deadly stays so until somebody has mended the servers.
inline constexpr std::chrono::microseconds quarantine_time = 10min;
/// Delay with which the next collector in rank ends a quarantine, in case those before it are lost.
inline constexpr std::chrono::microseconds quarantine_rank_delay = 5s;
/// Period of the search for what is due; it reads each entry.
inline constexpr std::chrono::microseconds quarantine_check_period = 100ms;
/// A row that has not appeared is written again after this time.
inline constexpr std::chrono::microseconds quarantine_retry = 1s;
/// Longer than the quarantine, so that one more strike after it begins the next.
inline constexpr std::chrono::microseconds strike_memory = 30min;
/// How long an instance remembers that a request ended well, and how many such requests.
inline constexpr std::chrono::microseconds good_end_memory = 60s;
inline constexpr std::size_t most_good_ends = 32768;
inline constexpr std::chrono::microseconds good_end_refresh = 1s;
/// Time from the loss of a connection, or from the cancellation of a request, until the registry shows that the server
/// has ended.
inline constexpr std::chrono::microseconds suspicion_time = 5s;
inline constexpr std::chrono::microseconds probe_pause = 1s;
/// Instances that count the strikes of one request in a large deployment.
inline constexpr std::size_t strike_collectors = 3;
inline constexpr std::size_t most_suspicions = 256;
inline constexpr std::size_t most_cancelled_requests = 256;
inline constexpr std::size_t most_struck_requests = 1024;
/// Bounds the rows in the store.
inline constexpr std::size_t most_quarantined_requests = 1024;
/// Bytes of a request's host and path that logs and rows show.
inline constexpr std::size_t longest_target = 200;

// Dispatchers of slots, in a large deployment.

/// Servers of a data centre and service that one dispatcher gives out: enough that a free slot is likely while half of
/// them are in use.
inline constexpr std::size_t servers_per_group = 16;
/// A request for a slot is sent again after this time, and a dispatcher that leaves it unanswered for the longer one is
/// replaced for the time of suspicion.
inline constexpr std::chrono::microseconds ask_retry = 60ms;
inline constexpr std::chrono::microseconds ask_timeout = 160ms;
inline constexpr std::chrono::microseconds dispatcher_suspicion = 2s;
inline constexpr std::chrono::microseconds longest_suspicion = 16s;
/// After more silent dispatchers an instance chooses a server itself.
inline constexpr std::int32_t most_silent_dispatchers = 2;
/// Period in which a queued request is sent again, so that its place is kept and a lost grant is noticed.
inline constexpr std::chrono::microseconds queue_refresh = 160ms;
/// A queued request that was not sent again for this long is dropped.
inline constexpr std::chrono::microseconds queue_expiry = 1000ms;
inline constexpr std::chrono::microseconds slot_report_period = 400ms;
/// A slot that its instance does not report for this long is free again.
inline constexpr std::chrono::microseconds slot_expiry = 1500ms;
/// A request waits in the queue of a dispatcher if its answer is expected within this part of its latency objective.
/// The rest is left for work that takes longer than usual: a queue at the limit would make half of the answers late.
inline constexpr int longest_queue_percent = 75;
/// A request is queued if its wait is expected to be within this part of its patience, so that few wait in vain.
inline constexpr int queue_acceptance_percent = 80;
/// Groups that a request asks, one after the other: first in the own data centre, then in others.
inline constexpr std::int32_t own_groups_asked = 2;
inline constexpr std::int32_t most_groups_asked = 4;

// Readers of the store. In a small deployment each instance follows the store itself.

inline constexpr std::chrono::microseconds heartbeat_period = 200ms;
/// A reader that was silent for this long is replaced by the next in rank; those after it wait longer, one after the
/// other, so that seldom two take over at once.
inline constexpr std::chrono::microseconds reader_silence = 600ms;
inline constexpr std::chrono::microseconds reader_rank_delay = 200ms;
inline constexpr std::size_t ranks_with_own_delay = 6;
/// Spread of the delay of all other ranks.
inline constexpr std::chrono::microseconds reader_spread = 1000ms;
/// Readers of other data centres that get changes and heartbeats: the first in rank, in case one of them is lost.
inline constexpr std::size_t remote_receivers = 2;
/// A gap in a table is closed after this time: the missing message may only be late.
inline constexpr std::chrono::microseconds gap_tolerance = 60ms;
inline constexpr std::chrono::microseconds gap_retry = 200ms;
/// Operators count on a change, and on the word that a server leaves, two seconds after its acknowledgement. An
/// instance whose copy was not known to be current for this long asks the store itself; the rest is left for that call.
/// The instances of a data centre are spread over the second time.
inline constexpr std::chrono::microseconds longest_unconfirmed = 1500ms;
inline constexpr std::chrono::microseconds unconfirmed_spread = 200ms;
/// Pause between two such calls of an instance.
inline constexpr std::chrono::microseconds confirmation_retry = 500ms;
/// How long the store may hold a call for changes. A connection that has gone silent shows only after this time.
/// Readers confirm the copies of others within longest_unconfirmed; an instance of a small deployment has to notice the
/// silence, and to have asked again, before the operators count on it again, which is three seconds later.
inline constexpr std::chrono::milliseconds reader_wait = 900ms;
inline constexpr std::chrono::milliseconds small_deployment_wait = 1800ms;
/// Most rows in one message, so that it stays well below the size of a datagram.
inline constexpr std::size_t rows_per_message = 40;

// Keys.

/// How long the keeper may change assignments after the store confirmed its lease.
inline constexpr std::chrono::milliseconds lease_time = 2000ms;
inline constexpr std::chrono::microseconds lease_renewal = 700ms;
/// How long a keeper may renew grants after its lease, so that keys stay served during an outage of the store.
inline constexpr std::chrono::milliseconds renewal_extension = 9000ms;
/// Safety margin when times of the store's clock are compared with the instance's clock.
inline constexpr std::chrono::milliseconds clock_margin = 100ms;
/// Mean time between two checks of the lease by instances that do not hold it, over the whole deployment.
inline constexpr std::chrono::microseconds lease_check_period = 350ms;
/// Delay of an instance's first check of the lease, for one whole core; longer with less processor time.
inline constexpr std::chrono::microseconds first_check_delay = 50ms;
inline constexpr std::chrono::microseconds first_check_spread = 100ms;

/// After a restoration of the store, its first lease is left for this long to the keeper before the restoration, which
/// knows what the store has lost.
inline constexpr std::chrono::microseconds restored_lease_delay = 1800ms;
/// How long after the end of its lease a keeper still knows all grants, as no other one can have moved keys by then.
inline constexpr std::chrono::milliseconds complete_knowledge_time = renewal_extension - lease_time;

/// Pause after the store refused a call.
inline constexpr std::chrono::microseconds store_retry = 200ms;

/// Duration of a grant, and the period of its renewal. A longer grant delays service of the keys of a lost
/// server; a shorter one leaves less time to replace a lost keeper.
inline constexpr std::chrono::milliseconds hold_time = 2400ms;
inline constexpr std::chrono::microseconds renewal_period = 600ms;
/// A grant reaches its server at most this long after the decision to send it, since the call may wait for a
/// connection.
inline constexpr std::chrono::milliseconds grant_call_time = 450ms;
/// Factor by which a grant may last longer because the clock of its backend server runs slow.
inline constexpr double slow_clock_factor = 1.03;
inline constexpr std::chrono::microseconds hold_margin = 100ms;
/// An owner whose last two or more grants failed, and that has not confirmed one for this long, is treated as lost.
inline constexpr std::chrono::microseconds lost_after = 1000ms;
inline constexpr std::chrono::microseconds release_retry = 400ms;

/// Owners whose grants one renewer renews. In a small deployment the keeper renews all grants itself.
inline constexpr std::size_t owners_per_renewer = 16;
/// How long a renewer goes on after the keeper last heard of it: longer than it takes to replace a lost keeper. While a
/// renewer is silent, keys of a lost server whose grant it renewed cannot move for this long.
inline constexpr std::chrono::milliseconds renewer_permit = 5000ms;
inline constexpr std::chrono::microseconds renewer_report_period = 300ms;
/// Period of unchanged orders; it extends the permit.
inline constexpr std::chrono::microseconds renewal_orders_period = 800ms;
/// Orders that the renewer has not confirmed are sent again after this time.
inline constexpr std::chrono::microseconds renewal_orders_retry = 100ms;
/// The orders of a renewer that was silent for this long go to another one: several lost reports are unlikely, and the
/// grants last longer.
inline constexpr std::chrono::microseconds renewer_silence = 1000ms;

inline constexpr std::chrono::microseconds plan_period = 100ms;
inline constexpr std::chrono::microseconds balance_period = 400ms;
/// Most samples of requested keys for the balance, and their greatest age.
inline constexpr std::size_t key_samples = 8000;
inline constexpr std::chrono::microseconds sample_age = 4s;
/// Weight of a uniform load over all keys, in samples: it decides the estimate while there are few samples.
inline constexpr double prior_samples = 12;
inline constexpr std::size_t fewest_samples = 20;
/// Load of the most loaded owner, relative to its fair share, above which its keys are moved.
inline constexpr double tolerated_imbalance = 1.4;
/// Standard deviations of the sample that the excess load has to exceed, since a change costs calls to the store.
inline constexpr double significant_excess = 3.0;
/// The first assignment waits until no server of the service has registered for this long.
inline constexpr std::chrono::microseconds settling_time = 700ms;
/// Changes of an assignment wait this long for other changes, to be written together.
inline constexpr std::chrono::microseconds write_batching_time = 40ms;
/// Shortest time between two log lines about a postponed balance.
inline constexpr std::chrono::microseconds postponed_log_period = 2s;
inline constexpr std::size_t moves_per_plan = 6;
/// In a large deployment, one plan may move one range for each group of this many owners.
inline constexpr std::size_t owners_per_move = 4;
/// A keeper that has not run for this long reads the lease from the store before it acts again.
inline constexpr std::chrono::microseconds longest_keeper_pause = 400ms;
/// Most accepted fencing tokens that are stored; the lowest are removed first.
inline constexpr std::size_t remembered_tokens = 4096;
/// Average number of ranges per owner above which neighbouring ranges are merged.
inline constexpr std::size_t ranges_per_owner = 4;

} // namespace lovagetack::routing
