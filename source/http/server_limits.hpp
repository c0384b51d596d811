#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace lovagetack::http {

/// Bounds on what callers can make the server hold. The header limit is message_reader::header_limit.
struct server_limits {
    /// Bytes of a request body; a handler can lower it for one request.
    std::uint64_t body_bytes = std::uint64_t(64) * 1024 * 1024;
    /// From the first byte of a request to the end of its header.
    std::chrono::milliseconds header_time = std::chrono::seconds(5);
    /// Without any byte between requests, of a request body, or taken by the caller from an answer.
    std::chrono::milliseconds idle_time = std::chrono::seconds(30);
    /// Kept open for callers that still send while the last answer goes out.
    std::chrono::milliseconds linger_time = std::chrono::seconds(2);
    /// Idle connections stay open for this long after stop(), since a request may be on its way.
    std::chrono::milliseconds stop_grace = std::chrono::milliseconds(500);
    std::size_t connections = 4096;
};

} // namespace lovagetack::http
