#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

/// Constants of the request path; the reasons are in section 5 of docs/design.md unless stated here.
namespace lovagetack::requests {

/// A new home uses half its slots and connections for this long, since the old home may not know of it yet.
inline constexpr std::chrono::microseconds new_home_time = std::chrono::seconds(1);

/// Time that a cancelled request still takes a slot, until the cancellation has arrived at the backend server.
inline constexpr std::chrono::microseconds cancellation_time = std::chrono::milliseconds(100);

/// Pause before a request that certainly did not run is retried although neither routes nor members changed.
inline constexpr std::chrono::microseconds retry_pause = std::chrono::milliseconds(50);

/// The deadline of a relay is earlier by this margin, so that the outcome reported by the home instance arrives before
/// the deadline of the sender.
inline constexpr std::chrono::microseconds relay_margin = std::chrono::milliseconds(30);
/// Requests with less time left than this are relayed without the margin.
inline constexpr std::chrono::microseconds minimum_relay_margin_deadline = std::chrono::milliseconds(120);

/// A backend server that its home refused to serve is not chosen again for this long.
inline constexpr std::chrono::microseconds refusal_avoid_time = std::chrono::seconds(1);

/// Age up to which a queue length reported by a home instance is used.
inline constexpr std::chrono::microseconds maximum_reported_queue_age = std::chrono::seconds(1);

/// Lower bound of silence_limit().
inline constexpr std::chrono::microseconds minimum_silence_limit = std::chrono::milliseconds(250);
/// Multiple of the 99th percentile of the latency after which a connection counts as silent.
inline constexpr std::int64_t silence_factor = 3;
/// Time after which a probe without an outcome is abandoned.
inline constexpr std::chrono::microseconds probe_time = std::chrono::seconds(2);

/// Answers of a backend server that its latency median covers.
inline constexpr std::size_t straggler_window = 20;
/// A backend server whose median latency exceeds the median of its service by this factor is a straggler.
inline constexpr std::int64_t straggler_factor = 3;
/// A backend server with an unanswered request older than this and than the latency limit is a straggler too.
inline constexpr std::chrono::microseconds straggler_unanswered_age = std::chrono::milliseconds(300);
/// A straggler that was drawn is chosen with a probability of 1 in this many.
inline constexpr std::uint64_t straggler_divisor = 10;

/// Answers of a service that its latency percentiles cover.
inline constexpr std::size_t service_latency_window = 256;

/// Requests per second at the start of a ramp, and the rate above which it can end.
inline constexpr std::int32_t ramp_first_rate = 20;
inline constexpr std::int32_t ramp_last_rate = 2000;
/// Answers without an error after which the ramp may rise by one step.
inline constexpr std::int32_t answers_per_ramp_step = 20;
/// Answers faster than this always count as in time: with a median well under a millisecond, scheduling delays alone
/// can double the latency of an answer.
inline constexpr std::chrono::microseconds ramp_latency_floor = std::chrono::milliseconds(5);
/// A backend server first seen with this uptime counts as warm.
inline constexpr std::chrono::microseconds warm_uptime = std::chrono::seconds(30);
/// A new home instance keeps its own ramp state if its last observation of the backend server is at most this old.
inline constexpr std::chrono::microseconds maximum_observation_age = std::chrono::seconds(1);
/// Errors among the last straggler_window answers from which a backend server counts as cold.
inline constexpr std::int32_t cold_errors = 5;
/// The same for a backend server whose median latency is that of a straggler.
inline constexpr std::int32_t cold_errors_when_slow = 2;

/// Retry tokens are counted in tenths: each request adds one tenth, each retry takes this many.
inline constexpr std::int32_t retry_cost_tenths = 10;
/// Upper bound of the retry budget, and its initial value.
inline constexpr std::int32_t maximum_retry_tenths = 100;

/// Requests with a longer body are not resent after a silent connection, since the shell buffers at most this much.
inline constexpr std::uint64_t maximum_resend_body_bytes = 64ULL * 1024;

inline constexpr std::chrono::microseconds claim_batch_time = std::chrono::milliseconds(5);
inline constexpr std::size_t claim_batch_rows = 64;
/// Claim transactions in flight at the same time. Further claims wait, so batches grow while the store is slow.
inline constexpr std::size_t maximum_claim_transactions = 4;
inline constexpr std::size_t maximum_waiting_claims = 512;
inline constexpr std::int32_t maximum_claim_tries = 3;
inline constexpr std::chrono::microseconds claim_retry_after = std::chrono::seconds(1);
/// Released rows that are tracked until their deletion is confirmed.
inline constexpr std::size_t maximum_released_rows = 1024;
/// Longest body of an answer that is stored for repeats.
inline constexpr std::size_t maximum_stored_body_bytes = 16UL * 1024;

inline constexpr std::chrono::microseconds report_period = std::chrono::seconds(2);
inline constexpr std::size_t hot_key_counters = 64;
/// Hot keys in a report, per service.
inline constexpr std::size_t maximum_reported_keys = 8;
/// A key is reported if it has at least 1 in this many of the requests of its service.
inline constexpr std::uint64_t reported_key_divisor = 100;
inline constexpr std::chrono::microseconds median_period = std::chrono::milliseconds(100);

/// retry-after of refusals whose duration cannot be estimated.
inline constexpr std::chrono::microseconds default_retry_after = std::chrono::seconds(1);

} // namespace lovagetack::requests
