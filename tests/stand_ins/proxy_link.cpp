#include "stand_ins/proxy_link.hpp"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <utility>
#include <vector>

namespace lovagetack::stand_ins {

namespace {

constexpr int listen_backlog = 1024;

base::result<sockaddr_in> socket_address(const model::address& address) {
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(address.port);
    if (inet_pton(AF_INET, address.host.c_str(), &result.sin_addr) != 1) {
        return base::failure(base::result_code::usage, "'" + address.host + "' is not an IPv4 address");
    }
    return result;
}

std::uint16_t port_of(int socket) {
    sockaddr_in address{};
    socklen_t size = sizeof address;
    getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size);
    return ntohs(address.sin_port);
}

bool stops_listening(link_mode mode) {
    return mode == link_mode::cut || mode == link_mode::refuse;
}

} // namespace

proxy_link::proxy_link(std::string name, model::address server) : server_(std::move(server)) {
    counters_.name = std::move(name);
    counters_.to = to_text(server_);
    listener_.setMaxPendingConnections(listen_backlog);
    QObject::connect(&listener_, &QTcpServer::newConnection, &listener_, [this] { accept(); });
}

proxy_link::~proxy_link() {
    close_all();
    if (reserved_socket_ >= 0) {
        close(reserved_socket_);
    }
}

base::result<model::address> proxy_link::listen(const model::address& address) {
    address_ = address;
    BOOST_OUTCOME_TRY(reserve_port());
    address_.port = port_of(reserved_socket_);
    counters_.listen = to_text(address_);
    BOOST_OUTCOME_TRY(accept_connections());
    return address_;
}

base::result<void> proxy_link::reserve_port() {
    BOOST_OUTCOME_TRY(address, socket_address(address_));
    reserved_socket_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int enabled = 1;
    setsockopt(reserved_socket_, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
    if (bind(reserved_socket_, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
        return base::failure(base::result_code::address_in_use,
                             "cannot bind " + to_text(address_) + ": " + std::strerror(errno));
    }
    return base::success();
}

base::result<void> proxy_link::accept_connections() {
    if (listener_.isListening()) {
        return base::success();
    }
    const int socket = std::exchange(reserved_socket_, -1);
    if (::listen(socket, listen_backlog) != 0 || !listener_.setSocketDescriptor(socket)) {
        return base::failure(base::result_code::address_in_use, "cannot listen on " + to_text(address_));
    }
    return base::success();
}

base::result<void> proxy_link::refuse_connections() {
    if (!listener_.isListening()) {
        return base::success();
    }
    listener_.close();
    return reserve_port();
}

void proxy_link::set_condition(const link_condition& condition) {
    condition_ = condition;
    if (condition_.mode == link_mode::cut) {
        close_all();
    }
    const auto changed = stops_listening(condition_.mode) ? refuse_connections() : accept_connections();
    if (!changed) {
        qWarning("%s", changed.error().message.c_str());
    }
    if (condition_.mode != link_mode::drop_to_server && condition_.mode != link_mode::drop_to_client) {
        close_lossy_connections();
    }
}

void proxy_link::silence_open() {
    for (const auto& connection : connections_) {
        connection->silence();
    }
}

link_counters proxy_link::counters() const {
    link_counters counters = counters_;
    counters.open = static_cast<std::int32_t>(connections_.size());
    return counters;
}

void proxy_link::accept() {
    while (QTcpSocket* client = listener_.nextPendingConnection()) {
        ++counters_.accepted;
        client->setParent(nullptr);
        const auto connection = std::make_shared<proxied_connection>(client, condition_, counters_, calls_);
        connections_.insert(connection);
        const std::weak_ptr<proxied_connection> self = connection;
        connection->start(server_, [this, self] { connections_.erase(self.lock()); });
    }
}

void proxy_link::close_all() {
    const std::vector<std::shared_ptr<proxied_connection>> closing(connections_.begin(), connections_.end());
    for (const auto& connection : closing) {
        connection->abort();
    }
}

void proxy_link::close_lossy_connections() {
    const std::vector<std::shared_ptr<proxied_connection>> open(connections_.begin(), connections_.end());
    for (const auto& connection : open) {
        if (connection->lost_bytes() && !connection->silent()) {
            connection->abort();
        }
    }
}

} // namespace lovagetack::stand_ins
