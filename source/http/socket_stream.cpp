#include "http/socket_stream.hpp"

#include <algorithm>
#include <utility>

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <QHostAddress>
#include <QMetaEnum>
#include <QNetworkProxy>

namespace lovagetack::http {
namespace {

/// Most bytes moved to the parse buffer by one fetch.
constexpr qint64 fetch_bytes = qint64(16) * 1024;

/// Sets a flag for its lifetime and then restores it.
class call_guard {
public:
    explicit call_guard(bool& flag) : flag_(flag), before_(std::exchange(flag, true)) {}
    call_guard(const call_guard&) = delete;
    call_guard& operator=(const call_guard&) = delete;
    ~call_guard() { flag_ = before_; }

private:
    bool& flag_;
    bool before_;
};

} // namespace

socket_stream::socket_stream(QTcpSocket* socket, observer& watcher) : observer_(watcher), socket_(socket) {
    socket_->setParent(nullptr);
    socket_->setProxy(QNetworkProxy(QNetworkProxy::NoProxy));
    socket_->setReadBufferSize(static_cast<qint64>(stream_buffer_bytes));
    socket_->setSocketOption(QAbstractSocket::LowDelayOption, 1);
    connect_signals();
}

socket_stream::~socket_stream() {
    QObject::disconnect(socket_.get(), nullptr, &context_, nullptr);
    socket_->abort();
    disable_reset_detection();
}

void socket_stream::enable_reset_detection() {
    if (reset_detection_descriptor_ < 0 && !closed_) {
        reset_detection_descriptor_ = ::dup(static_cast<int>(socket_->socketDescriptor()));
    }
}

void socket_stream::disable_reset_detection() {
    if (reset_detection_descriptor_ >= 0) {
        ::close(std::exchange(reset_detection_descriptor_, -1));
    }
}

bool socket_stream::was_reset() const {
    if (reset_detection_descriptor_ < 0) {
        return false;
    }
    // A reset closes both directions; after a regular close by the peer the sending direction is still open.
    pollfd query{reset_detection_descriptor_, POLLIN, 0};
    return ::poll(&query, 1, 0) > 0 && (query.revents & (POLLHUP | POLLERR)) != 0;
}

void socket_stream::connect_signals() {
    QObject::connect(socket_.get(), &QTcpSocket::connected, &context_, [this] {
        socket_->setSocketOption(QAbstractSocket::LowDelayOption, 1);
        observer_.stream_connected();
    });
    QObject::connect(socket_.get(), &QTcpSocket::readyRead, &context_, [this] {
        if (!in_call_) {
            observer_.stream_readable();
            return;
        }
        post([this] { observer_.stream_readable(); });
    });
    QObject::connect(socket_.get(), &QTcpSocket::bytesWritten, &context_, [this] {
        if (!in_call_ && unsent() < stream_buffer_bytes / 2) {
            observer_.stream_writable();
        }
    });
    QObject::connect(socket_.get(), &QTcpSocket::disconnected, &context_, [this] { handle_end(true); });
    QObject::connect(socket_.get(), &QTcpSocket::errorOccurred, &context_, [this](QAbstractSocket::SocketError error) {
        if (error != QAbstractSocket::RemoteHostClosedError) {
            refused_ = error == QAbstractSocket::ConnectionRefusedError;
            const char* const name = QMetaEnum::fromType<QAbstractSocket::SocketError>().valueToKey(error);
            error_ = name != nullptr ? name : "unknown_error";
            handle_end(false);
        }
    });
}

void socket_stream::handle_end(bool by_peer) {
    if (closed_) {
        return;
    }
    closed_ = true;
    closed_by_peer_ = by_peer && !was_reset();
    disable_reset_detection();
    // The observer may be in the middle of a state change while it calls the stream, so the event is posted.
    if (in_call_) {
        post([this] { observer_.stream_closed(); });
        return;
    }
    observer_.stream_closed();
}

void socket_stream::connect_to(const model::address& address) {
    const call_guard guard(in_call_);
    const QString host = QString::fromStdString(address.host);
    const QHostAddress parsed(host);
    if (parsed.isNull()) {
        socket_->connectToHost(host, address.port);
        return;
    }
    socket_->connectToHost(parsed, address.port);
}

bool socket_stream::fetch() {
    const call_guard guard(in_call_);
    const qint64 size = std::min(socket_->bytesAvailable(), fetch_bytes);
    if (size <= 0) {
        return false;
    }
    const auto space = input_.prepare(static_cast<std::size_t>(size));
    const qint64 read = socket_->read(static_cast<char*>(space.data()), size);
    if (read <= 0) {
        return false;
    }
    input_.commit(static_cast<std::size_t>(read));
    return true;
}

bool socket_stream::has_received() const {
    return input_.size() > 0 || socket_->bytesAvailable() > 0;
}

bool socket_stream::has_unread() const {
    if (has_received()) {
        return true;
    }
    char byte = 0;
    const auto descriptor = static_cast<int>(socket_->socketDescriptor());
    return descriptor >= 0 && ::recv(descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

void socket_stream::write(std::string_view bytes) {
    if (closed_ || bytes.empty()) {
        return;
    }
    const call_guard guard(in_call_);
    written_ += bytes.size();
    socket_->write(bytes.data(), static_cast<qint64>(bytes.size()));
    // Without this the bytes would be sent only in the next iteration of the event loop.
    socket_->flush();
}

std::size_t socket_stream::unsent() const {
    return closed_ ? 0 : static_cast<std::size_t>(socket_->bytesToWrite());
}

std::size_t socket_stream::buffered() const {
    return input_.size() + static_cast<std::size_t>(socket_->bytesAvailable()) + unsent();
}

void socket_stream::set_read_buffer(std::size_t bytes) {
    socket_->setReadBufferSize(static_cast<qint64>(bytes));
}

void socket_stream::post(std::function<void()> function) {
    context_.post(std::move(function));
}

void socket_stream::shut_down_sending() {
    if (!closed_) {
        ::shutdown(static_cast<int>(socket_->socketDescriptor()), SHUT_WR);
    }
}

void socket_stream::close() {
    const call_guard guard(in_call_);
    socket_->disconnectFromHost();
}

void socket_stream::close_at_once() {
    const call_guard guard(in_call_);
    closed_ = true;
    QObject::disconnect(socket_.get(), nullptr, &context_, nullptr);
    socket_->abort();
    disable_reset_detection();
}

void socket_stream::abort() {
    const auto descriptor = static_cast<int>(socket_->socketDescriptor());
    if (descriptor >= 0) {
        const linger reset{1, 0};
        ::setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
    }
    close_at_once();
}

} // namespace lovagetack::http
