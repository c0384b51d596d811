#pragma once

#include <chrono>
#include <cstdint>

namespace lovagetack::http {

/// How far the body of one request has arrived.
struct body_progress {
    std::chrono::steady_clock::time_point begun;
    std::chrono::steady_clock::time_point last_received;
    /// Bytes received.
    std::uint64_t bytes = 0;
};

/// Whether a body arrives so slowly that it may be refused while memory is scarce. The load it answers: callers that
/// begin many bodies and do not finish them.
[[nodiscard]] bool is_slow(const body_progress& progress, std::chrono::steady_clock::time_point now);

/// A body is judged only after this time, and one of which nothing arrives for this long is slow: a lost packet is sent
/// again sooner.
constexpr auto pace_time = std::chrono::seconds(2);
/// Least bytes per second on average; a telephone line carries more.
constexpr std::uint64_t least_pace = std::uint64_t(4) * 1024;

} // namespace lovagetack::http
