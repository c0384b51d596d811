#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

/// Constants of the request path; the reasons are in section 5 of docs/design.md unless stated here.
namespace lovagetack::requests {

/// A new home uses half its slots and connections for this long, since the old home may not know of it yet.
inline constexpr std::chrono::microseconds new_home_time = std::chrono::seconds(1);

/// How long a cancelled request still counts against the slots: the time that the cancellation needs to arrive.
inline constexpr std::chrono::microseconds cancellation_time = std::chrono::milliseconds(100);

/// Pause before a request that surely did not run is tried again without any change of routes or members.
inline constexpr std::chrono::microseconds retry_pause = std::chrono::milliseconds(50);

/// A relay gets this much less time than the sender has, so that the home's own outcome arrives before the deadline.
inline constexpr std::chrono::microseconds relay_margin = std::chrono::milliseconds(30);
/// Requests with less time than this are relayed with all the time they have.
inline constexpr std::chrono::microseconds minimum_relay_margin_deadline = std::chrono::milliseconds(120);

/// A backend server that its home refused to serve is not chosen again for this long.
inline constexpr std::chrono::microseconds refusal_avoid_time = std::chrono::seconds(1);

/// Age up to which the queue length told by a home instance is used.
inline constexpr std::chrono::microseconds maximum_reported_queue_age = std::chrono::seconds(1);

inline constexpr std::chrono::microseconds minimum_silence_limit = std::chrono::milliseconds(250);
inline constexpr std::int64_t silence_factor = 3;
/// A probe without any outcome is given up after this time.
inline constexpr std::chrono::microseconds probe_time = std::chrono::seconds(2);

inline constexpr std::size_t straggler_window = 20;
inline constexpr std::int64_t straggler_factor = 3;
inline constexpr std::chrono::microseconds straggler_unanswered_age = std::chrono::milliseconds(300);
/// A straggler is chosen this many times less often than another backend server.
inline constexpr std::uint64_t straggler_divisor = 10;

/// Answers of a service that the latency percentiles cover.
inline constexpr std::size_t service_latency_window = 256;

inline constexpr std::int32_t ramp_first_rate = 20;
inline constexpr std::int32_t ramp_last_rate = 2000;
inline constexpr std::int32_t answers_per_ramp_step = 20;
/// Answers below this are in time whatever the median of the service: with medians well under a millisecond, scheduling
/// alone makes an answer take twice as long.
inline constexpr std::chrono::microseconds ramp_latency_floor = std::chrono::milliseconds(5);
/// A backend server first seen with this uptime counts as warm. The figure is a guess until servers are measured.
inline constexpr std::chrono::microseconds warm_uptime = std::chrono::seconds(30);
/// A new home trusts what it knows of the ramp for this long after the last observation.
inline constexpr std::chrono::microseconds maximum_observation_age = std::chrono::seconds(1);
/// Errors among the last 20 answers that show a cold server.
inline constexpr std::int32_t cold_errors = 5;
/// Errors that suffice when the latency is that of a straggler too.
inline constexpr std::int32_t cold_errors_when_slow = 2;

/// Retry tokens are counted in tenths: a request earns one, a retry costs ten.
inline constexpr std::int32_t retry_cost_tenths = 10;
inline constexpr std::int32_t maximum_retry_tenths = 100;

/// Requests with a longer body are not sent again after a silent connection, since the shell buffers no more.
inline constexpr std::uint64_t maximum_resend_body_bytes = 64ULL * 1024;

inline constexpr std::chrono::microseconds claim_batch_time = std::chrono::milliseconds(5);
inline constexpr std::size_t claim_batch_rows = 64;
/// Transactions of claims under way at once; while the store is slow the batches grow instead.
inline constexpr std::size_t maximum_claim_transactions = 4;
inline constexpr std::size_t maximum_waiting_claims = 512;
inline constexpr std::int32_t maximum_claim_tries = 3;
inline constexpr std::chrono::microseconds claim_retry_after = std::chrono::seconds(1);
/// Released rows that are remembered until their deletion is confirmed.
inline constexpr std::size_t maximum_released_rows = 1024;
/// The longest body of an answer that is kept for repeats.
inline constexpr std::size_t maximum_stored_body_bytes = 16UL * 1024;

inline constexpr std::chrono::microseconds report_period = std::chrono::seconds(2);
inline constexpr std::size_t hot_key_counters = 64;
/// Hot keys in a report, per service, and the least share of the requests (1 in this many) that is reported.
inline constexpr std::size_t maximum_reported_keys = 8;
inline constexpr std::uint64_t reported_key_divisor = 100;
inline constexpr std::chrono::microseconds median_period = std::chrono::milliseconds(100);

/// Told to callers with refusals whose end cannot be estimated.
inline constexpr std::chrono::microseconds default_retry_after = std::chrono::seconds(1);

} // namespace lovagetack::requests
