#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace lovagetack::http {

/// Limits on the memory and time that callers can use. The header limit is message_reader::header_limit.
struct server_limits {
    /// Bytes of a request body; a handler can lower it for one request.
    std::uint64_t body_bytes = std::uint64_t(64) * 1024 * 1024;
    /// Time from the first byte of a request to the end of its header.
    std::chrono::milliseconds header_time = std::chrono::seconds(5);
    /// Time without a byte received between requests or of a request body, or without a byte of an answer sent.
    std::chrono::milliseconds idle_time = std::chrono::seconds(30);
    /// A connection stays open for this long after the last answer, as the caller may still be sending.
    std::chrono::milliseconds linger_time = std::chrono::seconds(2);
    /// Idle connections stay open for this long after stop(), since a request may be in transit.
    std::chrono::milliseconds stop_grace = std::chrono::milliseconds(500);
    /// Connections open at the same time.
    std::size_t connections = 4096;
};

} // namespace lovagetack::http
