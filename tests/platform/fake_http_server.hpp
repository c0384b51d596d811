#pragma once

#include <functional>
#include <optional>
#include <vector>

#include <QByteArray>
#include <QCoreApplication>
#include <QElapsedTimer>
#include <QHostAddress>
#include <QPointer>
#include <QTcpServer>
#include <QTcpSocket>

#include "model/address.hpp"

namespace lovagetack::platform {

struct application {
    int count = 1;
    char name[5] = "test";
    char* arguments[2] = {name, nullptr};
    QCoreApplication instance{count, arguments};
};

/// Runs the event loop until the condition holds; gives up after 20 s so that a fault ends the test.
inline bool wait_until(const std::function<bool()>& condition) {
    QElapsedTimer timer;
    timer.start();
    while (!condition() && timer.elapsed() < 20000) {
        QCoreApplication::processEvents(QEventLoop::WaitForMoreEvents | QEventLoop::AllEvents, 20);
    }
    return condition();
}

struct fake_request {
    QByteArray method;
    QByteArray path;
    QByteArray body;
};

struct fake_answer {
    int status = 200;
    QByteArray body;
    /// Complete field lines.
    QByteArray fields;
};

/// HTTP server for tests. The handler's answer is sent at once; without one the request is never answered.
class fake_http_server {
public:
    using handler = std::function<std::optional<fake_answer>(const fake_request&)>;

    explicit fake_http_server(handler on_request) : on_request_(std::move(on_request)) {
        server_.listen(QHostAddress::LocalHost);
        QObject::connect(&server_, &QTcpServer::newConnection, &server_, [this] { accept(); });
    }

    [[nodiscard]] model::address address() const { return {"127.0.0.1", server_.serverPort()}; }

    /// Sends bytes on every open connection.
    void send_to_all(const QByteArray& bytes) {
        for (const auto& socket : sockets_) {
            if (socket) {
                socket->write(bytes);
            }
        }
    }

    /// Sends bytes on the first connection.
    void send_to_first(const QByteArray& bytes) {
        if (!sockets_.empty() && sockets_.front()) {
            sockets_.front()->write(bytes);
        }
    }

    /// Closes every open connection.
    void close_all() {
        for (const auto& socket : sockets_) {
            if (socket) {
                socket->disconnectFromHost();
            }
        }
    }

    int connections = 0;

private:
    void accept() {
        while (QTcpSocket* socket = server_.nextPendingConnection()) {
            ++connections;
            sockets_.emplace_back(socket);
            auto received = std::make_shared<QByteArray>();
            QObject::connect(socket, &QTcpSocket::readyRead, socket, [this, socket, received] {
                received->append(socket->readAll());
                while (serve_request(*socket, *received)) {
                }
            });
        }
    }

    bool serve_request(QTcpSocket& socket, QByteArray& received) {
        const auto end = received.indexOf("\r\n\r\n");
        if (end < 0) {
            return false;
        }
        const QByteArray header = received.left(end);
        const auto length_at = header.toLower().indexOf("content-length:");
        const auto length = length_at < 0 ? 0 : header.mid(length_at + 15).split('\r').front().trimmed().toLongLong();
        if (received.size() < end + 4 + length) {
            return false;
        }
        const auto first_line = header.split('\r').front().split(' ');
        const fake_request request{first_line.value(0), first_line.value(1), received.mid(end + 4, length)};
        received.remove(0, end + 4 + length);
        const auto answer = on_request_(request);
        if (answer) {
            socket.write("HTTP/1.1 " + QByteArray::number(answer->status) + " X\r\n" + answer->fields +
                         "Content-Length: " + QByteArray::number(answer->body.size()) + "\r\n\r\n" + answer->body);
        }
        return true;
    }

    handler on_request_;
    QTcpServer server_;
    std::vector<QPointer<QTcpSocket>> sockets_;
};

} // namespace lovagetack::platform
