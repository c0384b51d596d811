#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace lovagetack::peers {

/// Bounds of the transport between instances.
struct peer_limits {
    /// Messages queued for a peer that is not connected; more are dropped. Queued heartbeats are worthless when they
    /// arrive late, so the queue is short.
    int send_queue_messages = 64;
    /// Messages received and not yet read, per peer.
    int receive_queue_messages = 256;
    /// A longer message closes the connection that it came on.
    std::int64_t message_bytes = 8LL * 1024 * 1024;
    /// Outgoing connections kept; beyond it the one unused for longest is closed, which bounds memory at 490 nodes.
    std::size_t connections = 64;
    std::chrono::milliseconds reconnect_first = std::chrono::milliseconds(10);
    std::chrono::milliseconds reconnect_longest = std::chrono::milliseconds(500);
    std::chrono::milliseconds connect_timeout = std::chrono::milliseconds(1000);
    /// Unacknowledged bytes of this age close the connection.
    std::chrono::milliseconds retransmission_limit = std::chrono::milliseconds(1000);
    /// A connection is replaced at this age: messages go one way, so a connection that went silent for good cannot be
    /// told from a peer that has nothing to say.
    std::chrono::milliseconds connection_age = std::chrono::milliseconds(10000);
    /// A replaced connection stays open so long, so that what was handed to it just before is still sent.
    std::chrono::milliseconds replaced_connection_linger = std::chrono::milliseconds(1000);
    /// Messages read in one go before other events of the process get their turn.
    std::size_t messages_per_turn = 256;
};

} // namespace lovagetack::peers
