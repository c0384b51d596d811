#include "peers/peer_connection.hpp"

#include <utility>

namespace lovagetack::peers {

peer_connection::peer_connection(zmq::context_t& context, std::string endpoint, const peer_limits& limits,
                                 base::boot_time now)
    : context_(context), endpoint_(std::move(endpoint)), limits_(limits), current_(open()), opened_at_(now),
      last_used_(now) {}

zmq::socket_t peer_connection::open() const {
    zmq::socket_t socket(context_, zmq::socket_type::dealer);
    socket.set(zmq::sockopt::linger, 0);
    socket.set(zmq::sockopt::sndhwm, limits_.send_queue_messages);
    socket.set(zmq::sockopt::rcvhwm, 1);
    socket.set(zmq::sockopt::maxmsgsize, limits_.message_bytes);
    socket.set(zmq::sockopt::heartbeat_ivl, 0);
    socket.set(zmq::sockopt::reconnect_ivl, static_cast<int>(limits_.initial_reconnect_interval.count()));
    socket.set(zmq::sockopt::reconnect_ivl_max, static_cast<int>(limits_.maximum_reconnect_interval.count()));
    socket.set(zmq::sockopt::connect_timeout, static_cast<int>(limits_.connect_timeout.count()));
    socket.set(zmq::sockopt::tcp_maxrt, static_cast<int>(limits_.retransmission_limit.count()));
    socket.connect(endpoint_);
    return socket;
}

void peer_connection::replace_when_old(base::boot_time now) {
    if (replaced_ && now - opened_at_ > limits_.replaced_connection_linger) {
        replaced_.reset();
    }
    if (now - opened_at_ < limits_.connection_age) {
        return;
    }
    replaced_.emplace(std::exchange(current_, open()));
    opened_at_ = now;
    ++opened_;
}

bool peer_connection::send(std::string_view bytes, base::boot_time now) {
    replace_when_old(now);
    last_used_ = now;
    return current_.send(zmq::buffer(bytes), zmq::send_flags::dontwait).has_value();
}

} // namespace lovagetack::peers
