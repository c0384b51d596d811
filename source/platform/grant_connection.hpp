#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

#include <QByteArray>
#include <QTcpSocket>
#include <QTimer>

#include "model/address.hpp"
#include "model/grant.hpp"

namespace lovagetack::platform {

/// One persistent HTTP connection to a backend server, with at most one poll at a time.
class grant_connection {
public:
    using handler = std::function<void(std::optional<model::grant_answer>)>;

    grant_connection(model::address address, std::uint32_t answer_bytes);
    grant_connection(const grant_connection&) = delete;
    grant_connection& operator=(const grant_connection&) = delete;
    ~grant_connection();

    /// Sends a poll; the connection must not be busy. The handler is called exactly once, after this
    /// function has returned.
    void post(const model::grant_poll& poll, std::chrono::milliseconds timeout, handler on_answer);

    [[nodiscard]] bool busy() const { return static_cast<bool>(on_answer_); }
    /// Open or being opened.
    [[nodiscard]] bool connected() const { return socket_.state() != QAbstractSocket::UnconnectedState; }

private:
    class answer_parser;

    void read();
    void finish(std::optional<model::grant_answer> answer);
    /// Ends the poll without an answer; a connection in an unknown state is not used again.
    void fail();

    model::address address_;
    std::uint32_t answer_bytes_;
    QTcpSocket socket_;
    QTimer timer_;
    std::unique_ptr<answer_parser> parser_;
    handler on_answer_;
    bool posting_ = false;
};

} // namespace lovagetack::platform
