#pragma once

#include <optional>
#include <string>
#include <string_view>

#include <zmq.hpp>

#include "base/boot_time.hpp"
#include "peers/peer_limits.hpp"

namespace lovagetack::peers {

/// Outgoing connection to one peer: a DEALER socket that is only used to send.
class peer_connection {
public:
    /// Throws zmq::error_t when the endpoint is not valid.
    peer_connection(zmq::context_t& context, std::string endpoint, const peer_limits& limits, base::boot_time now);

    /// Queues the bytes; false when the queue is full. Replaces a connection older than
    /// peer_limits::connection_age.
    [[nodiscard]] bool send(std::string_view bytes, base::boot_time now);

    [[nodiscard]] base::boot_time last_used() const { return last_used_; }
    /// Sockets opened so far, replacements included.
    [[nodiscard]] std::uint64_t opened() const { return opened_; }

private:
    [[nodiscard]] zmq::socket_t open() const;
    void replace_when_old(base::boot_time now);

    zmq::context_t& context_;
    std::string endpoint_;
    const peer_limits& limits_;
    zmq::socket_t current_;
    std::optional<zmq::socket_t> replaced_;
    base::boot_time opened_at_;
    base::boot_time last_used_;
    std::uint64_t opened_ = 1;
};

} // namespace lovagetack::peers
