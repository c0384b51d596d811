#include "stand_ins/http_connection.hpp"

#include <algorithm>
#include <string_view>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/status.hpp>

#include "stand_ins/body_pattern.hpp"

namespace lovagetack::stand_ins {

namespace {

namespace http = boost::beast::http;

constexpr std::uint32_t header_limit_bytes = 64 * 1024;
constexpr std::uint64_t body_limit_bytes = 256ULL * 1024 * 1024;
constexpr std::uint64_t write_chunk_bytes = 64ULL * 1024;
constexpr qint64 write_buffer_bytes = 256LL * 1024;

std::string head_of(const http_response& response, std::uint64_t length, bool close) {
    const auto reason = http::obsolete_reason(static_cast<http::status>(response.status));
    std::string head;
    head.reserve(256);
    head += "HTTP/1.1 " + std::to_string(response.status) + ' ';
    head.append(reason.data(), reason.size());
    head += "\r\ncontent-type: " + response.content_type + "\r\ncontent-length: " + std::to_string(length) + "\r\n";
    for (const auto& [name, value] : response.headers) {
        head += name + ": " + value + "\r\n";
    }
    head += close ? "connection: close\r\n\r\n" : "\r\n";
    return head;
}

std::string to_string(boost::beast::string_view text) {
    return {text.data(), text.size()};
}

} // namespace

http_exchange::http_exchange(std::weak_ptr<http_connection> connection, http_request request)
    : connection_(std::move(connection)), request_(std::move(request)) {}

void http_exchange::answer(const http_response& response) {
    if (const auto connection = connection_.lock()) {
        connection_.reset();
        connection->send(response);
    }
}

void http_exchange::close() {
    if (const auto connection = connection_.lock()) {
        connection_.reset();
        connection->abort();
    }
}

http_connection::http_connection(QTcpSocket* socket, const http_handler& handler) : socket_(socket), handler_(handler) {
    socket_->setSocketOption(QAbstractSocket::LowDelayOption, 1);
}

http_connection::~http_connection() {
    socket_->disconnect();
    socket_->deleteLater();
}

void http_connection::start() {
    const std::weak_ptr<http_connection> self = weak_from_this();
    QObject::connect(socket_, &QTcpSocket::readyRead, socket_, [self] {
        if (const auto connection = self.lock()) {
            connection->read();
        }
    });
    QObject::connect(socket_, &QTcpSocket::bytesWritten, socket_, [self] {
        if (const auto connection = self.lock()) {
            connection->write_generated();
        }
    });
    read();
}

void http_connection::read() {
    const QByteArray bytes = socket_->readAll();
    input_.append(bytes.constData(), static_cast<std::size_t>(bytes.size()));
    parse_all();
}

void http_connection::parse_all() {
    if (parsing_) {
        return;
    }
    parsing_ = true;
    while (!answering_ && !input_.empty() && parse_one()) {
        handle();
    }
    parsing_ = false;
}

// Returns true when parser_ holds a complete request.
bool http_connection::parse_one() {
    if (!parser_) {
        parser_.emplace();
        parser_->eager(true);
        parser_->header_limit(header_limit_bytes);
        parser_->body_limit(body_limit_bytes);
    }
    boost::system::error_code error;
    const std::size_t consumed = parser_->put(boost::asio::buffer(input_), error);
    input_.erase(0, consumed);
    if (error && error != http::error::need_more) {
        refuse_malformed();
        return false;
    }
    return parser_->is_done();
}

void http_connection::refuse_malformed() {
    http_response response;
    response.status = 400;
    response.body = "malformed request\n";
    response.close = true;
    answering_ = true;
    send(response);
}

void http_connection::handle() {
    auto message = parser_->release();
    parser_.reset();
    http_request request;
    request.method = to_string(message.method_string());
    request.target = to_string(message.target());
    request.keep_alive = message.keep_alive();
    request.body = std::move(message.body());
    request.headers = std::move(static_cast<http::fields&>(message.base()));
    answering_ = true;
    close_after_answer_ = !request.keep_alive;
    head_only_ = request.method == "HEAD";
    handler_(std::make_shared<http_exchange>(weak_from_this(), std::move(request)));
}

void http_connection::send(const http_response& response) {
    close_after_answer_ = close_after_answer_ || response.close;
    generated_ = response.generated;
    generated_sent_ = 0;
    if (generated_ && generated_->sent < generated_->announced) {
        close_after_answer_ = true;
    }
    const std::uint64_t length = generated_ ? generated_->announced : response.body.size();
    std::string bytes = head_of(response, length, close_after_answer_);
    if (head_only_) {
        generated_.reset();
    } else if (!generated_) {
        bytes += response.body;
    }
    socket_->write(bytes.data(), static_cast<qint64>(bytes.size()));
    socket_->flush();
    if (generated_) {
        write_generated();
    } else {
        finish_answer();
    }
}

void http_connection::write_generated() {
    if (!generated_) {
        return;
    }
    while (generated_sent_ < generated_->sent && socket_->bytesToWrite() < write_buffer_bytes) {
        const auto count = std::min(write_chunk_bytes, generated_->sent - generated_sent_);
        const std::string chunk = body_pattern(generated_->seed, generated_sent_, count);
        generated_sent_ += count;
        socket_->write(chunk.data(), static_cast<qint64>(chunk.size()));
    }
    if (generated_sent_ == generated_->sent) {
        generated_.reset();
        finish_answer();
    }
}

void http_connection::finish_answer() {
    if (close_after_answer_) {
        socket_->disconnectFromHost();
        return;
    }
    answering_ = false;
    parse_all();
}

void http_connection::abort() {
    socket_->abort();
}

} // namespace lovagetack::stand_ins
