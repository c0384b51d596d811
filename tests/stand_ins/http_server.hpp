#pragma once

#include <cstdint>
#include <memory>
#include <unordered_map>

#include <QTcpServer>

#include "base/result.hpp"
#include "model/address.hpp"
#include "stand_ins/http_connection.hpp"

namespace lovagetack::stand_ins {

/// Parses "host:port"; fails with usage, and the message contains the text.
[[nodiscard]] base::result<model::address> parse_address(const std::string& text);

/// HTTP/1.1 server on the event loop of its thread.
class http_server {
public:
    explicit http_server(http_handler handler);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /// Port 0 selects a free port; the result is the address in use.
    [[nodiscard]] base::result<model::address> listen(const model::address& address);

    /// Connections above the limit are closed at once.
    void set_connection_limit(std::int32_t limit) { connection_limit_ = limit; }
    /// Closes every connection except that of the exchange, which may be null.
    void close_connections(const http_exchange* except);

    [[nodiscard]] std::int32_t connections() const { return static_cast<std::int32_t>(connections_.size()); }
    [[nodiscard]] std::int32_t highest_connections() const { return highest_connections_; }
    [[nodiscard]] std::int32_t refused_connections() const { return refused_connections_; }

private:
    void accept();
    void remove(QTcpSocket* socket);

    http_handler handler_;
    QTcpServer listener_;
    std::unordered_map<QTcpSocket*, std::shared_ptr<http_connection>> connections_;
    std::int32_t connection_limit_ = 65536;
    std::int32_t highest_connections_ = 0;
    std::int32_t refused_connections_ = 0;
};

} // namespace lovagetack::stand_ins
