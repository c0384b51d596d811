#include "peers/peer_transport.hpp"

#include <algorithm>
#include <utility>

#include "peers/message_conversion.hpp"

namespace lovagetack::peers {
namespace {

std::string endpoint_of(const model::address& address) {
    return "tcp://" + model::to_text(address);
}

/// The port at the end of "tcp://host:port".
std::uint16_t port_of(const std::string& endpoint) {
    return static_cast<std::uint16_t>(std::stoul(endpoint.substr(endpoint.rfind(':') + 1)));
}

} // namespace

base::result<std::unique_ptr<peer_transport>> peer_transport::create(peer_identity identity, const peer_limits& limits,
                                                                     receiver on_message) {
    const std::string endpoint = endpoint_of(identity.address);
    try {
        std::unique_ptr<peer_transport> transport(
            new peer_transport(std::move(identity), limits, std::move(on_message)));
        transport->bind();
        return transport;
    } catch (const zmq::error_t& error) {
        return base::failure(base::result_code::address_in_use, "cannot bind " + endpoint + ": " + error.what());
    }
}

peer_transport::peer_transport(peer_identity identity, const peer_limits& limits, receiver on_message)
    : identity_(std::move(identity)), limits_(limits), on_message_(std::move(on_message)), context_(1),
      router_(context_, zmq::socket_type::router) {}

void peer_transport::bind() {
    router_.set(zmq::sockopt::linger, 0);
    router_.set(zmq::sockopt::rcvhwm, limits_.receive_queue_messages);
    router_.set(zmq::sockopt::maxmsgsize, limits_.message_bytes);
    router_.set(zmq::sockopt::heartbeat_ivl, 0);
    router_.bind(endpoint_of(identity_.address));
    identity_.address.port = port_of(router_.get(zmq::sockopt::last_endpoint));
    notifier_ = std::make_unique<QSocketNotifier>(router_.get(zmq::sockopt::fd), QSocketNotifier::Read);
    QObject::connect(notifier_.get(), &QSocketNotifier::activated, notifier_.get(), [this] { receive_available(); });
    resume_timer_.setSingleShot(true);
    QObject::connect(&resume_timer_, &QTimer::timeout, &resume_timer_, [this] { receive_available(); });
    // The descriptor is edge-triggered: messages that arrived before the notifier existed would not be signalled.
    resume_timer_.start(0);
}

void peer_transport::receive_available() {
    // The descriptor signals only a change from empty to non-empty, so everything is read until nothing is left.
    for (std::size_t count = 0; count < limits_.messages_per_wakeup; ++count) {
        if (!receive_one()) {
            return;
        }
    }
    resume_timer_.start(0);
}

bool peer_transport::receive_one() {
    zmq::message_t frame;
    if (!router_.recv(frame, zmq::recv_flags::dontwait)) {
        return false;
    }
    // The first frame is the connection's routing id, the second one the message; more frames are not part of the
    // protocol.
    std::size_t frames = 1;
    zmq::message_t payload;
    while (frame.more()) {
        if (!router_.recv(frame, zmq::recv_flags::dontwait)) {
            break;
        }
        ++frames;
        if (frames == 2) {
            payload.copy(frame);
        }
    }
    ++counters_.messages_received;
    counters_.bytes_received += payload.size();
    if (frames != 2) {
        ++counters_.malformed;
        return true;
    }
    deliver(payload.to_string_view());
    return true;
}

void peer_transport::deliver(std::string_view bytes) {
    model::peer_message message;
    switch (decode(bytes, message)) {
    case decode_status::ok:
        if (clock_ != nullptr) {
            clock_->observe(message.stamp);
        }
        on_message_(message);
        return;
    case decode_status::malformed:
        ++counters_.malformed;
        return;
    case decode_status::unknown_body:
        ++counters_.unknown_body;
        return;
    }
}

void peer_transport::send(const model::send_peer_message& message) {
    // Addresses come from other instances and may be empty.
    if (message.to_address.host.empty() || message.to_address.port == 0) {
        ++counters_.dropped;
        return;
    }
    const std::uint64_t stamp = clock_ == nullptr ? 0 : clock_->next();
    const std::string bytes = encode({identity_.id, identity_.incarnation, identity_.address, message.body, stamp});
    const auto now = base::boot_clock::now();
    try {
        peer_connection& connection = connection_to(endpoint_of(message.to_address), now);
        const auto opened_before = connection.opened();
        if (!connection.send(bytes, now)) {
            ++counters_.dropped;
            return;
        }
        counters_.connections_opened += connection.opened() - opened_before;
        ++counters_.messages_sent;
        counters_.bytes_sent += bytes.size();
    } catch (const zmq::error_t&) {
        // The host is not a valid address.
        ++counters_.dropped;
    }
}

peer_connection& peer_transport::connection_to(const std::string& endpoint, base::boot_time now) {
    const auto found = connections_.find(endpoint);
    if (found != connections_.end()) {
        return found->second;
    }
    if (connections_.size() >= limits_.connections) {
        close_least_recently_used();
    }
    auto& connection = connections_.try_emplace(endpoint, context_, endpoint, limits_, now).first->second;
    ++counters_.connections_opened;
    return connection;
}

void peer_transport::close_least_recently_used() {
    const auto oldest = std::min_element(connections_.begin(), connections_.end(), [](const auto& a, const auto& b) {
        return a.second.last_used() < b.second.last_used();
    });
    if (oldest != connections_.end()) {
        connections_.erase(oldest);
    }
}

} // namespace lovagetack::peers
