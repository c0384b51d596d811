#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <QTcpServer>
#include <QTcpSocket>

namespace lovagetack::test {

/// Creates the application object that Qt's event loop needs, if there is none yet.
void ensure_application();

/// Runs the event loop until the condition holds. Throws std::runtime_error after 30 s, which only a hang reaches.
void run_until(const std::function<bool()>& condition);
/// Runs the event loop until all bytes already sent over loopback have been handled.
void settle();

/// The remote end of a connection in a test; collects the bytes it receives.
class raw_socket {
public:
    /// Connects to a port of this machine.
    explicit raw_socket(std::uint16_t port);
    explicit raw_socket(QTcpSocket* accepted);
    raw_socket(const raw_socket&) = delete;
    raw_socket& operator=(const raw_socket&) = delete;
    ~raw_socket();

    /// Waits until the connection is open. The event loop does not run, so a listener of this process accepts nothing.
    void wait_until_connected();
    void send(std::string_view bytes);
    void send_byte_by_byte(std::string_view bytes);
    /// Closes regularly after all bytes have been sent.
    void close() { socket_->disconnectFromHost(); }
    /// Closes with a reset.
    void reset();
    /// Stops reading from the kernel until resume_reading; Qt's buffer is limited to one byte meanwhile.
    void stop_reading();
    void resume_reading();

    [[nodiscard]] const std::string& received() const { return received_; }
    [[nodiscard]] bool is_closed() const { return socket_->state() == QAbstractSocket::UnconnectedState; }
    [[nodiscard]] std::size_t unsent() const { return static_cast<std::size_t>(socket_->bytesToWrite()); }
    void forget_received() { received_.clear(); }

    void wait_for(std::string_view text) const;
    void wait_for_close() const;

private:
    void connect_signals();
    void read_available();

    std::unique_ptr<QTcpSocket> socket_;
    std::string received_;
    bool reading_ = true;
};

/// A listener whose connections the test reads and writes directly.
class raw_listener {
public:
    raw_listener();

    [[nodiscard]] std::uint16_t port() const { return listener_.serverPort(); }
    [[nodiscard]] std::size_t connections() const { return accepted_.size(); }
    /// Waits for the connection with this number, counted from 0.
    raw_socket& connection(std::size_t number);
    void stop_listening() { listener_.close(); }

private:
    QTcpServer listener_;
    std::vector<std::unique_ptr<raw_socket>> accepted_;
};

/// A port on which nothing listens.
std::uint16_t unused_port();

/// Number of non-overlapping occurrences of `part` in `text`.
std::size_t count_of(std::string_view text, std::string_view part);

} // namespace lovagetack::test
