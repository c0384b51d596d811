#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace lovagetack::peers {

/// Bounds of the transport between instances.
struct peer_limits {
    /// Messages queued for a peer that is not connected; more are dropped. The queue is short, since heartbeats that
    /// arrive late are of no use.
    int send_queue_messages = 64;
    /// Messages received and not yet read, per peer.
    int receive_queue_messages = 256;
    /// A longer message closes the connection on which it was received.
    std::int64_t message_bytes = 8LL * 1024 * 1024;
    /// Open outgoing connections; beyond this the least recently used one is closed, which bounds memory with 490
    /// instances.
    std::size_t connections = 64;
    std::chrono::milliseconds initial_reconnect_interval = std::chrono::milliseconds(10);
    std::chrono::milliseconds maximum_reconnect_interval = std::chrono::milliseconds(500);
    std::chrono::milliseconds connect_timeout = std::chrono::milliseconds(1000);
    /// The connection is closed when sent bytes are not acknowledged for this time.
    std::chrono::milliseconds retransmission_limit = std::chrono::milliseconds(1000);
    /// A connection is replaced at this age: messages go one way, so a connection that no longer delivers anything
    /// cannot be told from a peer that sends nothing.
    std::chrono::milliseconds connection_age = std::chrono::milliseconds(10000);
    /// A replaced connection stays open for this time, so that the messages queued on it are still sent.
    std::chrono::milliseconds replaced_connection_linger = std::chrono::milliseconds(1000);
    /// Messages read at once before other events of the event loop are handled.
    std::size_t messages_per_wakeup = 256;
};

} // namespace lovagetack::peers
