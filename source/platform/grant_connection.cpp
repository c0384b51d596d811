#include "platform/grant_connection.hpp"

#include <array>
#include <cassert>
#include <utility>

#include <QNetworkProxy>
#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include "base/json.hpp"

namespace lovagetack::platform {
namespace {

namespace http = boost::beast::http;

constexpr std::size_t read_bytes = 16384;
constexpr unsigned status_ok = 200;

QByteArray request_text(const model::address& address, const model::grant_poll& poll) {
    const std::string body = base::to_json_text(poll);
    QByteArray text;
    text.reserve(static_cast<qsizetype>(body.size()) + 160);
    text.append("POST /lovagetack/grant HTTP/1.1\r\nHost: ");
    text.append(address.host.c_str()).append(':').append(QByteArray::number(address.port));
    text.append("\r\nContent-Type: application/json\r\nContent-Length: ");
    text.append(QByteArray::number(static_cast<qulonglong>(body.size()))).append("\r\n\r\n");
    text.append(body.data(), static_cast<qsizetype>(body.size()));
    return text;
}

} // namespace

/// Parses one HTTP answer.
class grant_connection::answer_parser {
public:
    explicit answer_parser(std::uint32_t answer_bytes) {
        parser_.eager(true);
        parser_.body_limit(answer_bytes);
    }

    /// False when the bytes are not a valid answer or go beyond its end.
    bool put(const char* data, std::size_t size) {
        while (size > 0) {
            if (parser_.is_done()) {
                return false;
            }
            boost::system::error_code error;
            const auto used = parser_.put(boost::asio::const_buffer(data, size), error);
            if (error == http::error::need_more) {
                unparsed_.append(data + used, size - used);
                return true;
            }
            if (error) {
                return false;
            }
            data += used;
            size -= used;
        }
        return true;
    }

    /// Removes and returns the bytes that the parser could not use yet; they go in front of the next ones.
    std::string take_unparsed() { return std::exchange(unparsed_, {}); }
    [[nodiscard]] bool done() const { return parser_.is_done(); }
    [[nodiscard]] bool keep_alive() const { return parser_.keep_alive(); }

    [[nodiscard]] std::optional<model::grant_answer> answer() const {
        model::grant_answer answer;
        const auto& message = parser_.get();
        if (message.result_int() != status_ok || !base::from_json_text(message.body(), answer)) {
            return std::nullopt;
        }
        return answer;
    }

private:
    http::response_parser<http::string_body> parser_;
    std::string unparsed_;
};

grant_connection::grant_connection(model::address address, std::uint32_t answer_bytes)
    : address_(std::move(address)), answer_bytes_(answer_bytes) {
    socket_.setProxy(QNetworkProxy(QNetworkProxy::NoProxy));
    timer_.setSingleShot(true);
    timer_.setTimerType(Qt::PreciseTimer);
    QObject::connect(&socket_, &QTcpSocket::connected, &socket_,
                     [this] { socket_.setSocketOption(QAbstractSocket::LowDelayOption, 1); });
    QObject::connect(&socket_, &QTcpSocket::readyRead, &socket_, [this] { read(); });
    QObject::connect(&socket_, &QTcpSocket::disconnected, &socket_, [this] { fail(); });
    QObject::connect(&socket_, &QTcpSocket::errorOccurred, &socket_, [this] { fail(); });
    QObject::connect(&timer_, &QTimer::timeout, &timer_, [this] { fail(); });
}

grant_connection::~grant_connection() {
    socket_.disconnect();
    socket_.abort();
}

void grant_connection::post(const model::grant_poll& poll, std::chrono::milliseconds timeout, handler on_answer) {
    assert(!busy());
    on_answer_ = std::move(on_answer);
    parser_ = std::make_unique<answer_parser>(answer_bytes_);
    timer_.start(timeout);
    posting_ = true;
    if (!connected()) {
        socket_.connectToHost(QString::fromStdString(address_.host), address_.port);
    }
    // Qt buffers what is written before the connection is open.
    socket_.write(request_text(address_, poll));
    posting_ = false;
}

void grant_connection::read() {
    if (!busy()) {
        // Bytes without a poll: the next answer could not be distinguished from them.
        socket_.abort();
        return;
    }
    std::array<char, read_bytes> buffer; // NOLINT(cppcoreguidelines-pro-type-member-init)
    while (socket_.bytesAvailable() > 0) {
        const auto size = socket_.read(buffer.data(), static_cast<qint64>(buffer.size()));
        if (size <= 0) {
            break;
        }
        std::string bytes = parser_->take_unparsed();
        bytes.append(buffer.data(), static_cast<std::size_t>(size));
        if (!parser_->put(bytes.data(), bytes.size())) {
            fail();
            return;
        }
    }
    if (parser_->done()) {
        finish(parser_->answer());
    }
}

void grant_connection::finish(std::optional<model::grant_answer> answer) {
    timer_.stop();
    const bool reuse = answer && parser_->keep_alive();
    // The handler may post the next poll, so the state is cleared first.
    const handler on_answer = std::exchange(on_answer_, nullptr);
    parser_.reset();
    if (!reuse) {
        socket_.abort();
    }
    on_answer(std::move(answer));
}

void grant_connection::fail() {
    if (!busy()) {
        return;
    }
    if (posting_) {
        // Some errors are signalled before connectToHost returns, but the handler must only be called after post
        // returns.
        timer_.start(0);
        return;
    }
    timer_.stop();
    const handler on_answer = std::exchange(on_answer_, nullptr);
    parser_.reset();
    socket_.abort();
    on_answer(std::nullopt);
}

} // namespace lovagetack::platform
