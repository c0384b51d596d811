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

/// How this instance names itself in its messages.
struct peer_identity {
    model::instance_id id;
    model::incarnation incarnation;
    /// Where the ROUTER socket listens; port 0 takes a free one.
    model::address address;
};

/// Sends to peers and receives from them. Delivery is not promised: a message is lost without notice when the peer
/// cannot be reached. Lives in one thread with a Qt event loop.
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

    /// The clock that stamps messages and follows the stamps of others; it must live longer. Without one the stamps
    /// are 0.
    void use_clock(base::hybrid_clock& clock) { clock_ = &clock; }

    /// The identity with the port that was bound.
    [[nodiscard]] const peer_identity& identity() const { return identity_; }
    [[nodiscard]] const peer_counters& counters() const { return counters_; }

private:
    peer_transport(peer_identity identity, const peer_limits& limits, receiver on_message);

    void bind();
    void drain();
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
    /// Goes on reading after other events had their turn.
    QTimer continue_;
};

} // namespace lovagetack::peers
