#include "stand_ins/proxied_connection.hpp"

#include <utility>

#include <QHostAddress>

namespace lovagetack::stand_ins {

proxied_connection::proxied_connection(QTcpSocket* client, link_condition& condition, link_counters& counters,
                                       delayed_calls& calls)
    : client_(client), server_(new QTcpSocket), calls_(calls),
      to_server_(*client_, *server_, condition, link_mode::drop_to_server, counters.bytes_to_server,
                 counters.dropped_to_server),
      to_client_(*server_, *client_, condition, link_mode::drop_to_client, counters.bytes_to_client,
                 counters.dropped_to_client) {}

proxied_connection::~proxied_connection() {
    for (QTcpSocket* socket : {client_, server_}) {
        socket->disconnect();
        socket->deleteLater();
    }
}

void proxied_connection::start(const model::address& server, std::function<void()> both_closed) {
    both_closed_ = std::move(both_closed);
    const std::weak_ptr<proxied_connection> self = weak_from_this();
    const auto pump_scheduler = [self, this](base::boot_time due) {
        calls_.call_at(due, [self] {
            if (const auto connection = self.lock()) {
                connection->pump();
            }
        });
    };
    to_server_.set_pump_scheduler(pump_scheduler);
    to_client_.set_pump_scheduler(pump_scheduler);
    watch(client_, &proxied_connection::to_server_);
    watch(server_, &proxied_connection::to_client_);
    client_->setSocketOption(QAbstractSocket::LowDelayOption, 1);
    server_->connectToHost(QHostAddress(QString::fromStdString(server.host)), server.port);
}

void proxied_connection::watch(QTcpSocket* socket, proxy_flow proxied_connection::*incoming) {
    const std::weak_ptr<proxied_connection> self = weak_from_this();
    const auto pump = [self] {
        if (const auto connection = self.lock()) {
            connection->pump();
        }
    };
    // A connection attempt that fails changes the state without the signal disconnected.
    const auto change_state = [self, incoming](QAbstractSocket::SocketState state) {
        const auto connection = self.lock();
        if (connection && state == QAbstractSocket::UnconnectedState) {
            (connection.get()->*incoming).source_closed();
            connection->notify_when_closed();
        }
    };
    QObject::connect(socket, &QTcpSocket::connected, socket, [socket, pump] {
        socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
        pump();
    });
    QObject::connect(socket, &QTcpSocket::readyRead, socket, pump);
    QObject::connect(socket, &QTcpSocket::bytesWritten, socket, pump);
    QObject::connect(socket, &QTcpSocket::stateChanged, socket, change_state);
}

void proxied_connection::abort() {
    client_->abort();
    server_->abort();
    notify_when_closed();
}

void proxied_connection::silence() {
    silent_ = true;
    to_server_.silence();
    to_client_.silence();
}

void proxied_connection::pump() {
    to_server_.pump();
    to_client_.pump();
}

void proxied_connection::notify_when_closed() {
    const bool closed =
        client_->state() == QAbstractSocket::UnconnectedState && server_->state() == QAbstractSocket::UnconnectedState;
    if (closed && both_closed_) {
        std::exchange(both_closed_, nullptr)();
    }
}

} // namespace lovagetack::stand_ins
