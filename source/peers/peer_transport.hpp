#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include <QSocketNotifier>
#include <QTimer>
#include <zmq.hpp>

#include "base/hybrid_clock.hpp"
#include "base/result.hpp"
#include "model/peer_message.hpp"
#include "peers/peer_connection.hpp"
#include "peers/peer_counters.hpp"
#include "peers/peer_limits.hpp"

/// Messages between instances: ZeroMQ sockets in Qt's event loop, protobuf on the wire.
namespace lovagetack::peers {

/// The sender of this instance's messages.
struct peer_identity {
    model::instance_id id;
    model::incarnation incarnation;
    /// Address on which the ROUTER socket listens; with port 0 the system chooses a free port.
    model::address address;
};

/// Sends messages to peers and receives theirs. Delivery is not guaranteed: a message is lost without an error when the
/// peer cannot be reached. Must be used from one thread with a Qt event loop.
class peer_transport {
public:
    using receiver = std::function<void(const model::peer_message&)>;

    /// Binds the address. Errors: address_in_use when it cannot be bound.
    [[nodiscard]] static base::result<std::unique_ptr<peer_transport>>
    create(peer_identity identity, const peer_limits& limits, receiver on_message);

    peer_transport(const peer_transport&) = delete;
    peer_transport& operator=(const peer_transport&) = delete;
    ~peer_transport() = default;

    void send(const model::send_peer_message& message);

    /// Sets the clock that stamps messages sent and is advanced by the stamps of messages received. It must outlive the
    /// transport. Without a clock the stamps are 0.
    void use_clock(base::hybrid_clock& clock) { clock_ = &clock; }

    /// The identity with the port that was bound.
    [[nodiscard]] const peer_identity& identity() const { return identity_; }
    [[nodiscard]] const peer_counters& counters() const { return counters_; }

private:
    peer_transport(peer_identity identity, const peer_limits& limits, receiver on_message);

    void bind();
    void receive_available();
    bool receive_one();
    void deliver(std::string_view bytes);
    peer_connection& connection_to(const std::string& endpoint, base::boot_time now);
    void close_least_recently_used();

    peer_identity identity_;
    peer_limits limits_;
    receiver on_message_;
    peer_counters counters_;
    base::hybrid_clock* clock_ = nullptr;
    zmq::context_t context_;
    zmq::socket_t router_;
    std::map<std::string, peer_connection> connections_;
    std::unique_ptr<QSocketNotifier> notifier_;
    /// Continues reading after other events were handled.
    QTimer resume_timer_;
};

} // namespace lovagetack::peers
