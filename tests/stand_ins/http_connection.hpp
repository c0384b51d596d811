#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <QTcpSocket>

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include "stand_ins/http_message.hpp"

namespace lovagetack::stand_ins {

class http_connection;

/// One request, which can be answered once, now or later. The answer is dropped if the connection is closed.
class http_exchange {
public:
    http_exchange(std::weak_ptr<http_connection> connection, http_request request);

    [[nodiscard]] const http_request& request() const { return request_; }
    [[nodiscard]] std::shared_ptr<http_connection> connection() const { return connection_.lock(); }

    void answer(const http_response& response);
    /// Closes the connection without an answer.
    void close();

private:
    std::weak_ptr<http_connection> connection_;
    http_request request_;
};

using exchange_pointer = std::shared_ptr<http_exchange>;
using http_handler = std::function<void(const exchange_pointer&)>;

/// One accepted connection; it handles a request only after the previous one was answered.
class http_connection : public std::enable_shared_from_this<http_connection> {
public:
    /// Takes ownership of the socket; the event loop deletes it after this object.
    http_connection(QTcpSocket* socket, const http_handler& handler);
    ~http_connection();
    http_connection(const http_connection&) = delete;
    http_connection& operator=(const http_connection&) = delete;

    void start();
    void send(const http_response& response);
    void abort();

private:
    using request_parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    void read();
    void parse_all();
    bool parse_one();
    void refuse_malformed();
    void handle();
    void write_generated();
    void finish_answer();

    QTcpSocket* socket_;
    const http_handler& handler_;
    std::string input_;
    std::optional<request_parser> parser_;
    std::optional<generated_body> generated_;
    std::uint64_t generated_sent_ = 0;
    bool parsing_ = false;
    bool answering_ = false;
    bool close_after_answer_ = false;
    bool head_only_ = false;
};

} // namespace lovagetack::stand_ins
