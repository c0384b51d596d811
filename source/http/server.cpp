#include "http/server.hpp"

#include <algorithm>
#include <chrono>
#include <utility>
#include <vector>

#include <QHostAddress>
#include <QNetworkProxy>
#include <QSignalBlocker>
#include <QTcpSocket>

namespace lovagetack::http {
namespace {

/// Length of the kernel's queue of connections that are not accepted yet.
constexpr int backlog = 1024;
/// Connections above the limit that may be open at once to receive the error answer; further ones are reset.
constexpr std::size_t maximum_refused_connections = 64;

} // namespace

server::server(server_connection::handler& requests, const server_limits& limits)
    : handler_(requests), limits_(limits) {
    listener_.setProxy(QNetworkProxy(QNetworkProxy::NoProxy));
    listener_.setListenBacklogSize(backlog);
    listener_.setMaxPendingConnections(backlog);
    QObject::connect(&listener_, &QTcpServer::newConnection, &listener_, [this] { accept_pending_connections(); });
    QObject::connect(&listener_, &QTcpServer::acceptError, &listener_, [this] { accepting_paused_ = true; });
    QObject::connect(&timer_, &QTimer::timeout, &timer_, [this] { check_times(); });
    timer_.start(check_period);
}

server::~server() {
    stopped_ = nullptr;
    const auto connections = connections_;
    for (const auto& [pointer, connection] : connections) {
        connection->close();
    }
}

base::result<void> server::listen(const model::address& address) {
    if (!listener_.listen(QHostAddress(QString::fromStdString(address.host)), address.port)) {
        return base::failure(base::result_code::address_in_use, "cannot listen on " + model::to_text(address) + ": " +
                                                                    listener_.errorString().toStdString());
    }
    return base::success();
}

std::uint16_t server::port() const {
    return listener_.serverPort();
}

void server::accept_pending_connections() {
    while (QTcpSocket* socket = listener_.nextPendingConnection()) {
        if (connections_.size() >= limits_.connections + maximum_refused_connections) {
            socket->abort();
            socket->deleteLater();
            continue;
        }
        const bool too_many = connections_.size() >= limits_.connections;
        const auto connection =
            std::make_shared<server_connection>(socket, handler_, limits_, [this](server_connection& closed) {
                connections_.erase(&closed);
                report_stopped();
            });
        connections_.emplace(connection.get(), connection);
        if (closing_) {
            connection->announce_close();
        }
        if (too_many) {
            connection->refuse_connection();
        }
    }
}

void server::accept_backlog() {
    // With its signal blocked, the listener accepts at most `backlog` connections, however fast callers open new ones.
    const QSignalBlocker blocker(&listener_);
    listener_.waitForNewConnection(0);
    accept_pending_connections();
}

void server::check_times() {
    // Qt pauses a listener that cannot accept a connection, for example for lack of file descriptors.
    if (std::exchange(accepting_paused_, false) && listener_.isListening()) {
        listener_.resumeAccepting();
    }
    const auto now = server_connection::clock::now();
    std::vector<std::shared_ptr<server_connection>> connections;
    connections.reserve(connections_.size());
    std::transform(connections_.begin(), connections_.end(), std::back_inserter(connections),
                   [](const auto& entry) { return entry.second; });
    buffered_ = 0;
    for (const auto& connection : connections) {
        connection->check_time(now);
        buffered_ += connection->buffered();
    }
}

std::size_t server::shed(std::uint64_t bytes, std::chrono::milliseconds stalled) {
    const auto now = server_connection::clock::now();
    std::vector<std::shared_ptr<server_connection>> candidates;
    for (const auto& [pointer, connection] : connections_) {
        const bool receives_body = connection->request_open() && !connection->request_complete();
        if (!receives_body && connection->buffered() > 0 && now - connection->last_progress() >= stalled) {
            candidates.push_back(connection);
        }
    }
    std::sort(candidates.begin(), candidates.end(),
              [](const auto& left, const auto& right) { return left->buffered() > right->buffered(); });
    std::size_t count = 0;
    for (const auto& connection : candidates) {
        if (buffered_ <= bytes) {
            break;
        }
        buffered_ -= std::min<std::uint64_t>(buffered_, connection->buffered());
        connection->shed("memory_full");
        ++count;
    }
    return count;
}

void server::set_limits(std::uint64_t body_bytes, std::chrono::milliseconds header_time,
                        std::chrono::milliseconds idle_time) {
    limits_.body_bytes = body_bytes;
    limits_.header_time = header_time;
    limits_.idle_time = idle_time;
}

void server::begin_closing() {
    closing_ = true;
    for (const auto& [pointer, connection] : connections_) {
        connection->announce_close();
    }
}

void server::stop(std::function<void()> stopped) {
    // The kernel resets connections that are still in the backlog when the listener closes.
    accept_backlog();
    listener_.close();
    stopping_ = true;
    stopped_ = std::move(stopped);
    for (const auto& [pointer, connection] : connections_) {
        connection->finish();
    }
    report_stopped();
}

void server::report_stopped() {
    if (!stopping_ || !stopped_ || !connections_.empty()) {
        return;
    }
    calls_.post(std::exchange(stopped_, nullptr));
}

} // namespace lovagetack::http
