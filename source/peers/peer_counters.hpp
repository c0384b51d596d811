#pragma once

#include <cstdint>

namespace lovagetack::peers {

/// Totals since the start. Bytes are message payloads, without the framing of ZeroMQ and TCP.
struct peer_counters {
    std::uint64_t messages_sent = 0;
    std::uint64_t bytes_sent = 0;
    std::uint64_t messages_received = 0;
    std::uint64_t bytes_received = 0;
    /// Not sent since the queue of the peer was full or its address is not valid.
    std::uint64_t dropped = 0;
    std::uint64_t malformed = 0;
    std::uint64_t unknown_body = 0;
    std::uint64_t connections_opened = 0;
};

} // namespace lovagetack::peers
