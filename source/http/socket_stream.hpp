#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <QObject>
#include <QTcpSocket>
#include <boost/beast/core/flat_buffer.hpp>

#include "http/deferred_calls.hpp"
#include "model/address.hpp"

namespace lovagetack::http {

/// Bytes buffered in one direction of a connection above which its source is not read.
constexpr std::size_t stream_buffer_bytes = std::size_t(64) * 1024;

/// A TCP connection with a bounded read buffer and a parse buffer.
///
/// Observer functions are only called from the event loop, never from within a call of a stream function.
class socket_stream {
public:
    class observer {
    public:
        observer() = default;
        observer(const observer&) = delete;
        observer& operator=(const observer&) = delete;
        virtual ~observer() = default;

        virtual void stream_connected() {}
        virtual void stream_readable() = 0;
        /// Fewer than half of stream_buffer_bytes are unsent.
        virtual void stream_writable() = 0;
        /// The peer closed the connection or it failed; received bytes can still be fetched.
        virtual void stream_closed() = 0;
    };

    /// Takes ownership of an accepted or unconnected socket.
    socket_stream(QTcpSocket* socket, observer& watcher);
    socket_stream(const socket_stream&) = delete;
    socket_stream& operator=(const socket_stream&) = delete;
    ~socket_stream();

    void connect_to(const model::address& address);

    /// Received bytes that are not parsed yet.
    [[nodiscard]] boost::beast::flat_buffer& input() { return input_; }
    /// Moves received bytes to input(); returns false if there are none.
    bool fetch();
    [[nodiscard]] bool has_received() const;
    /// Bytes can be fetched, or are still in the kernel because the event loop has not read them yet.
    [[nodiscard]] bool has_unread() const;
    /// The connection has ended, by a close, a reset or an error.
    [[nodiscard]] bool is_closed() const { return closed_; }
    /// The peer closed the connection regularly. A reset counts as a regular close unless enable_reset_detection was
    /// called.
    [[nodiscard]] bool closed_by_peer() const { return closed_by_peer_; }
    /// Qt's name of the error that ended the connection; empty if the peer closed or reset it.
    [[nodiscard]] const std::string& error() const { return error_; }
    /// The peer's machine answered the attempt to connect with a reset.
    [[nodiscard]] bool was_refused() const { return refused_; }
    /// Distinguishes a reset from a regular close from now on; Qt reports both in the same way.
    void enable_reset_detection();

    void write(std::string_view bytes);
    /// Bytes written that have not been passed to the kernel yet.
    [[nodiscard]] std::size_t unsent() const;
    /// Bytes that this process holds for the connection, received and not fetched or not parsed, or not sent.
    [[nodiscard]] std::size_t buffered() const;
    /// Most bytes that are read from the kernel before they are fetched.
    void set_read_buffer(std::size_t bytes);
    /// Bytes passed to the kernel since the connection was opened.
    [[nodiscard]] std::uint64_t sent() const { return written_ - unsent(); }

    /// Calls the function from the event loop unless the stream is destroyed first.
    void post(std::function<void()> function);

    /// Ends the sending direction; the peer can still send.
    void shut_down_sending();
    /// Closes the connection after all written bytes have been sent.
    void close();
    /// Closes the connection in both directions; bytes that were passed to the kernel are still sent.
    void close_at_once();
    /// Resets the connection, so that the peer cannot mistake the bytes it received for a complete message.
    void abort();

private:
    struct delete_later {
        void operator()(QTcpSocket* socket) const { socket->deleteLater(); }
    };

    void connect_signals();
    [[nodiscard]] bool was_reset() const;
    void disable_reset_detection();
    void handle_end(bool by_peer);

    observer& observer_;
    std::unique_ptr<QTcpSocket, delete_later> socket_;
    boost::beast::flat_buffer input_;
    std::uint64_t written_ = 0;
    bool closed_ = false;
    bool closed_by_peer_ = false;
    bool refused_ = false;
    std::string error_;
    bool in_call_ = false;
    /// Duplicate descriptor of the connection, which stays open after Qt closes its own; -1 if there is none.
    int reset_detection_descriptor_ = -1;
    /// Receives all signals. It is destroyed before the other members, which disconnects them.
    deferred_calls context_;
};

} // namespace lovagetack::http
