#include "integration/http_call.hpp"

#include <algorithm>
#include <cctype>
#include <limits>

#include <QHostAddress>
#include <QTcpSocket>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include "base/boot_time.hpp"

namespace lovagetack::harness {

namespace {

namespace http = boost::beast::http;
using response_parser = http::response_parser<http::string_body>;

std::string lower_case(boost::beast::string_view text) {
    std::string result(text.data(), text.size());
    std::transform(result.begin(), result.end(), result.begin(),
                   [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    return result;
}

std::string request_text(const http_call& call) {
    std::string text = call.method + ' ' + call.target + " HTTP/1.1\r\nhost: " + call.address + "\r\n";
    for (const auto& [name, value] : call.headers) {
        text += name + ": " + value + "\r\n";
    }
    if (!call.body.empty() || call.method == "POST" || call.method == "PUT") {
        text += "content-length: " + std::to_string(call.body.size()) + "\r\n";
    }
    return text + "connection: close\r\n\r\n" + call.body;
}

int milliseconds_until(base::boot_time limit) {
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(limit - base::boot_clock::now());
    return static_cast<int>(std::max<std::int64_t>(left.count(), 0));
}

bool connect_to(QTcpSocket& socket, const std::string& address, base::boot_time limit) {
    const auto colon = address.rfind(':');
    const QHostAddress host(QString::fromStdString(address.substr(0, colon)));
    socket.connectToHost(host, static_cast<quint16>(std::stoi(address.substr(colon + 1))));
    return socket.waitForConnected(milliseconds_until(limit));
}

call_end end_of_stream(response_parser& parser) {
    // put_eof takes a stream without any byte for a complete message.
    if (!parser.got_some()) {
        return call_end::closed;
    }
    boost::system::error_code error;
    parser.put_eof(error);
    if (!error && parser.is_done()) {
        return call_end::answered;
    }
    return parser.is_header_done() ? call_end::cut_short : call_end::closed;
}

call_end read_answer(QTcpSocket& socket, response_parser& parser, base::boot_time limit) {
    std::string input;
    while (!parser.is_done()) {
        if (socket.bytesAvailable() == 0 && !socket.waitForReadyRead(milliseconds_until(limit))) {
            const bool open = socket.state() == QAbstractSocket::ConnectedState;
            return open ? call_end::timed_out : end_of_stream(parser);
        }
        input += socket.readAll().toStdString();
        boost::system::error_code error;
        input.erase(0, parser.put(boost::asio::buffer(input), error));
        if (error && error != http::error::need_more) {
            return call_end::malformed;
        }
    }
    return call_end::answered;
}

} // namespace

std::string http_result::header(const std::string& name) const {
    const auto found = headers.find(name);
    return found == headers.end() ? std::string() : found->second;
}

http_result http_call::run() const {
    const auto deadline = base::boot_clock::now() + limit;
    http_result result;
    QTcpSocket socket;
    if (!connect_to(socket, address, deadline)) {
        result.end = socket.error() == QAbstractSocket::SocketTimeoutError ? call_end::timed_out : call_end::refused;
        return result;
    }
    const auto text = request_text(*this);
    socket.write(text.data(), static_cast<qint64>(text.size()));
    response_parser parser;
    parser.eager(true);
    parser.skip(method == "HEAD");
    parser.body_limit(std::numeric_limits<std::uint64_t>::max());
    result.end = read_answer(socket, parser, deadline);
    const auto& message = parser.get();
    if (parser.is_header_done()) {
        result.status = static_cast<int>(message.result_int());
        result.body = message.body();
    }
    for (const auto& field : message) {
        result.headers[lower_case(field.name_string())] = std::string(field.value().data(), field.value().size());
    }
    return result;
}

http_result http_get(const std::string& address, const std::string& target) {
    http_call call;
    call.address = address;
    call.target = target;
    return call.run();
}

http_result http_post(const std::string& address, const std::string& target, const std::string& body) {
    http_call call;
    call.address = address;
    call.method = "POST";
    call.target = target;
    call.body = body;
    return call.run();
}

} // namespace lovagetack::harness
