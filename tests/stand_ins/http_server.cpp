#include "stand_ins/http_server.hpp"

#include <algorithm>
#include <charconv>
#include <string>
#include <vector>

#include <QHostAddress>

namespace lovagetack::stand_ins {

namespace {

constexpr int listen_backlog = 1024;

} // namespace

base::result<model::address> parse_address(const std::string& text) {
    const auto colon = text.rfind(':');
    model::address address;
    if (colon == std::string::npos) {
        return base::failure(base::result_code::usage, "address '" + text + "' is not of the form HOST:PORT");
    }
    address.host = text.substr(0, colon);
    const char* end = text.data() + text.size();
    const auto [last, error] = std::from_chars(text.data() + colon + 1, end, address.port);
    if (error != std::errc() || last != end || address.host.empty()) {
        return base::failure(base::result_code::usage, "address '" + text + "' is not of the form HOST:PORT");
    }
    return address;
}

http_server::http_server(http_handler handler) : handler_(std::move(handler)) {
    listener_.setListenBacklogSize(listen_backlog);
    listener_.setMaxPendingConnections(listen_backlog);
    QObject::connect(&listener_, &QTcpServer::newConnection, &listener_, [this] { accept(); });
}

http_server::~http_server() {
    listener_.disconnect();
}

base::result<model::address> http_server::listen(const model::address& address) {
    if (!listener_.listen(QHostAddress(QString::fromStdString(address.host)), address.port)) {
        return base::failure(base::result_code::address_in_use, "cannot listen on " + model::to_text(address) + ": " +
                                                                    listener_.errorString().toStdString());
    }
    return model::address{address.host, listener_.serverPort()};
}

void http_server::close_connections(const http_exchange* except) {
    const auto excepted = except == nullptr ? nullptr : except->connection();
    std::vector<std::shared_ptr<http_connection>> closing;
    for (const auto& [socket, connection] : connections_) {
        if (connection != excepted) {
            closing.push_back(connection);
        }
    }
    for (const auto& connection : closing) {
        connection->abort();
    }
}

void http_server::accept() {
    while (QTcpSocket* socket = listener_.nextPendingConnection()) {
        if (connections() >= connection_limit_) {
            ++refused_connections_;
            socket->abort();
            socket->deleteLater();
            continue;
        }
        // The connection owns the socket and deletes it with deleteLater; the listener must not delete it as its child.
        socket->setParent(nullptr);
        const auto connection = std::make_shared<http_connection>(socket, handler_);
        connections_.emplace(socket, connection);
        highest_connections_ = std::max(highest_connections_, connections());
        QObject::connect(socket, &QTcpSocket::disconnected, &listener_, [this, socket] { remove(socket); });
        connection->start();
    }
}

void http_server::remove(QTcpSocket* socket) {
    const auto found = connections_.find(socket);
    if (found == connections_.end()) {
        return;
    }
    // Keeps the connection alive until this signal handler returns.
    const std::shared_ptr<http_connection> connection = found->second;
    connections_.erase(found);
}

} // namespace lovagetack::stand_ins
