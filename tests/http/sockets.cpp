#include "http/sockets.hpp"

#include <chrono>
#include <stdexcept>
#include <thread>

#include <sys/socket.h>

#include <QCoreApplication>
#include <QHostAddress>

namespace lovagetack::test {
namespace {

constexpr auto condition_timeout = std::chrono::seconds(30);

} // namespace

void ensure_application() {
    static int count = 1;
    static char name[] = "test";
    static char* arguments[] = {name, nullptr};
    static QCoreApplication application(count, arguments);
}

void run_until(const std::function<bool()>& condition) {
    const auto start = std::chrono::steady_clock::now();
    while (!condition()) {
        QCoreApplication::processEvents(QEventLoop::AllEvents);
        QCoreApplication::sendPostedEvents(nullptr, QEvent::DeferredDelete);
        if (std::chrono::steady_clock::now() - start > condition_timeout) {
            throw std::runtime_error("timed out while waiting for a condition of the test");
        }
        std::this_thread::sleep_for(std::chrono::microseconds(50));
    }
}

void settle() {
    // Each iteration polls all sockets; a byte needs few iterations to pass from one end to the other.
    int turns = 0;
    run_until([&turns] { return ++turns > 100; });
}

raw_socket::raw_socket(std::uint16_t port) {
    ensure_application();
    socket_ = std::make_unique<QTcpSocket>();
    connect_signals();
    socket_->connectToHost(QHostAddress(QHostAddress::LocalHost), port);
}

raw_socket::raw_socket(QTcpSocket* accepted) : socket_(accepted) {
    socket_->setParent(nullptr);
    connect_signals();
    read_available();
}

raw_socket::~raw_socket() {
    QObject::disconnect(socket_.get(), nullptr, nullptr, nullptr);
}

void raw_socket::connect_signals() {
    QObject::connect(socket_.get(), &QTcpSocket::readyRead, socket_.get(), [this] { read_available(); });
    QObject::connect(socket_.get(), &QTcpSocket::disconnected, socket_.get(), [this] { read_available(); });
}

void raw_socket::read_available() {
    if (reading_ && socket_->isOpen()) {
        received_ += socket_->readAll().toStdString();
    }
}

void raw_socket::wait_until_connected() {
    if (!socket_->waitForConnected()) {
        throw std::runtime_error("the connection of the test did not open");
    }
}

void raw_socket::send(std::string_view bytes) {
    run_until([this] { return socket_->state() != QAbstractSocket::ConnectingState; });
    socket_->write(bytes.data(), static_cast<qint64>(bytes.size()));
    socket_->flush();
}

void raw_socket::send_byte_by_byte(std::string_view bytes) {
    for (const char byte : bytes) {
        send(std::string_view(&byte, 1));
        // Allows the other end to read this byte separately.
        for (int turn = 0; turn < 3; ++turn) {
            QCoreApplication::processEvents(QEventLoop::AllEvents);
        }
    }
}

void raw_socket::reset() {
    const linger hard{1, 0};
    ::setsockopt(static_cast<int>(socket_->socketDescriptor()), SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
    socket_->abort();
}

void raw_socket::stop_reading() {
    reading_ = false;
    socket_->setReadBufferSize(1);
}

void raw_socket::resume_reading() {
    reading_ = true;
    socket_->setReadBufferSize(0);
    read_available();
}

void raw_socket::wait_for(std::string_view text) const {
    run_until([this, text] { return received_.find(text) != std::string::npos; });
}

void raw_socket::wait_for_close() const {
    run_until([this] { return is_closed(); });
}

raw_listener::raw_listener() {
    ensure_application();
    listener_.listen(QHostAddress(QHostAddress::LocalHost), 0);
    QObject::connect(&listener_, &QTcpServer::newConnection, &listener_, [this] {
        while (QTcpSocket* const socket = listener_.nextPendingConnection()) {
            accepted_.push_back(std::make_unique<raw_socket>(socket));
        }
    });
}

raw_socket& raw_listener::connection(std::size_t number) {
    run_until([this, number] { return accepted_.size() > number; });
    return *accepted_[number];
}

std::uint16_t unused_port() {
    raw_listener listener;
    return listener.port();
}

std::size_t count_of(std::string_view text, std::string_view part) {
    std::size_t count = 0;
    for (auto at = text.find(part); at != std::string_view::npos; at = text.find(part, at + part.size())) {
        ++count;
    }
    return count;
}

} // namespace lovagetack::test
