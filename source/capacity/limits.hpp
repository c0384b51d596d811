#pragma once

#include <chrono>
#include <cstdint>

/// Constants of what is learned of a backend server; docs/design/capacity.md says what was weighed.
namespace lovagetack::capacity {

using namespace std::chrono_literals;

// Time of one request.

/// Weight of an answer in the recent time, which follows a change within about seven answers, and in the usual time,
/// which a spell of slow answers leaves nearly as it was.
inline constexpr double recent_weight = 0.15;
inline constexpr double usual_weight = 0.02;
/// An answer counts as at most this multiple of the time known so far, and at least its inverse: work times have long
/// tails, and one long request says little of the server.
inline constexpr double largest_step = 3.0;
/// The usual time follows more slowly by this factor while the recent time differs from it by more than the ratio.
inline constexpr double spell_ratio = 1.7;
inline constexpr double spell_weight_share = 0.25;
/// Without answers, the recent time is trusted for the first time and no longer after the second. A server that gets no
/// work because it was slow is tried again then by an ordinary request.
inline constexpr std::chrono::microseconds recent_fades_after = 500ms;
inline constexpr std::chrono::microseconds recent_forgotten_after = 2s;
/// Without answers, the usual time gives way to the average of the service between these times.
inline constexpr std::chrono::microseconds usual_fades_after = 10s;
inline constexpr std::chrono::microseconds usual_forgotten_after = 30s;
/// Times that other instances report are not counted while this one has answers of its own: it may have had the same.
inline constexpr std::chrono::microseconds own_answers_suffice = 500ms;

// Requests at once.

/// Answers that a band needs before it is compared, and the number above which older answers lose weight.
inline constexpr std::uint32_t fewest_answers = 12;
/// Loss of throughput that has to be exceeded beyond the noise, and the noise in standard errors.
inline constexpr double least_loss = 0.1;
inline constexpr double noise_errors = 2.5;
/// Age up to which the answers of the fuller band, and those of the band that it is compared with, say something.
inline constexpr std::chrono::microseconds loss_age = 3s;
inline constexpr std::chrono::microseconds reference_age = 4s;
/// A lowered limit is kept for the first time, twice as long each time that the loss shows again, and at most for the
/// second; then it rises by one band a period. A server that has recovered has its slots back within three seconds if
/// half of them were left.
inline constexpr std::chrono::microseconds limit_kept = 750ms;
inline constexpr std::chrono::microseconds longest_limit_kept = 2s;
inline constexpr std::chrono::microseconds limit_rise_period = 500ms;
/// A server that takes this multiple of the service's time and is always full gets half of its slots for a moment, once
/// in this period: nothing else would show that it is slow because it is full.
inline constexpr double slow_ratio = 2.0;
inline constexpr std::chrono::microseconds trial_period = 20s;
/// Largest factor by which requests in progress are taken to slow a server down.
inline constexpr double largest_slowdown = 4.0;

// Rejections.

/// Weight of one outcome in the share of rejections, and the share at which a server is backed off: three rejections in
/// a row, or a third for some time. One or two say nothing.
inline constexpr double outcome_weight = 0.15;
inline constexpr double backoff_share = 0.3;
/// Pause after which one request tries the server again. It doubles with each rejection after a pause, so that a server
/// that goes on rejecting costs little; the longest is what a recovered server waits at most.
inline constexpr std::chrono::microseconds first_backoff = 200ms;
inline constexpr std::chrono::microseconds longest_backoff = 2s;
/// Requests in progress after a pause double with each answer up to this number, which ends the backoff.
inline constexpr std::int32_t readmitted_at = 8;

} // namespace lovagetack::capacity
