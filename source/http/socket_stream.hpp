#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

#include <QObject>
#include <QTcpSocket>
#include <boost/beast/core/flat_buffer.hpp>

#include "http/deferred_calls.hpp"
#include "model/address.hpp"

namespace lovagetack::http {

/// Most bytes that one direction of a connection holds before its source is no longer read.
constexpr std::size_t stream_buffer_bytes = std::size_t(64) * 1024;

/// A TCP connection with a bounded read buffer and a parse buffer.
///
/// Observer functions are only called from the event loop, never from within a call of the stream.
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
        /// Fewer than half of stream_buffer_bytes wait to be sent.
        virtual void stream_writable() = 0;
        /// The peer closed the connection or it failed; received bytes can still be fetched.
        virtual void stream_closed() = 0;
    };

    /// Takes over an accepted or unconnected socket.
    socket_stream(QTcpSocket* socket, observer& watcher);
    socket_stream(const socket_stream&) = delete;
    socket_stream& operator=(const socket_stream&) = delete;
    ~socket_stream();

    void connect_to(const model::address& address);

    /// Received bytes that are not parsed yet.
    [[nodiscard]] boost::beast::flat_buffer& input() { return input_; }
    /// Moves received bytes to input(); false when there are none at present.
    bool fetch();
    [[nodiscard]] bool has_received() const;
    /// Bytes are waiting to be fetched, or in the kernel, where a busy event loop has not seen them yet.
    [[nodiscard]] bool has_unread() const;
    /// The connection ended, in whatever way.
    [[nodiscard]] bool is_closed() const { return closed_; }
    /// The connection was ended by the peer in the regular way. A reset counts as such unless watch_end was called.
    [[nodiscard]] bool closed_by_peer() const { return closed_by_peer_; }
    /// From now on the end of the connection is told from a reset, which Qt reports as the same.
    void watch_end();

    void write(std::string_view bytes);
    /// Bytes written that the kernel has not taken yet.
    [[nodiscard]] std::size_t unsent() const;
    /// Bytes that the kernel has taken since the connection began.
    [[nodiscard]] std::uint64_t sent() const { return written_ - unsent(); }

    /// Calls the function from the event loop unless the stream is destroyed before.
    void post(std::function<void()> function);

    /// Ends the sending direction; the peer can still send.
    void shut_down_sending();
    /// Closes after everything written is sent.
    void close();
    /// Drops the connection with a reset, so that the peer cannot take what it received for complete.
    void abort();

private:
    struct delete_later {
        void operator()(QTcpSocket* socket) const { socket->deleteLater(); }
    };

    void watch_signals();
    [[nodiscard]] bool was_reset() const;
    void unwatch_end();
    void note_end(bool by_peer);

    observer& observer_;
    std::unique_ptr<QTcpSocket, delete_later> socket_;
    boost::beast::flat_buffer input_;
    std::uint64_t written_ = 0;
    bool closed_ = false;
    bool closed_by_peer_ = false;
    bool in_call_ = false;
    /// A second descriptor of the connection, which outlives Qt's; -1 if there is none.
    int watched_ = -1;
    /// Receiver of all signals; destroyed first, which ends them.
    deferred_calls context_;
};

} // namespace lovagetack::http
