#include "cli/http_call.hpp"

#include <memory>

#include <QEventLoop>
#include <QNetworkAccessManager>
#include <QNetworkReply>
#include <QNetworkRequest>
#include <QUrl>

namespace lovagetack::cli {
namespace {

constexpr int timeout_in_milliseconds = 10'000;

QNetworkRequest request_to(const model::address& address, const std::string& path_and_query) {
    const auto base = "http://" + model::to_text(address);
    QNetworkRequest request(QUrl(QString::fromStdString(base + path_and_query)));
    request.setTransferTimeout(timeout_in_milliseconds);
    request.setHeader(QNetworkRequest::ContentTypeHeader, "application/json");
    return request;
}

base::result<http_answer> wait_for(QNetworkReply* raw_reply, const model::address& address) {
    const std::unique_ptr<QNetworkReply> reply(raw_reply);
    QEventLoop loop;
    QObject::connect(reply.get(), &QNetworkReply::finished, &loop, &QEventLoop::quit);
    loop.exec();
    const auto status = reply->attribute(QNetworkRequest::HttpStatusCodeAttribute);
    if (!status.isValid()) {
        return base::failure(base::result_code::peer_unreachable,
                             model::to_text(address) + " did not answer: " + reply->errorString().toStdString());
    }
    return http_answer{status.toInt(), reply->readAll()};
}

} // namespace

base::result<http_answer> http_get(const model::address& address, const std::string& path_and_query,
                                   const std::vector<header_field>& fields) {
    QNetworkAccessManager manager;
    auto request = request_to(address, path_and_query);
    for (const auto& [name, value] : fields) {
        request.setRawHeader(QByteArray::fromStdString(name), QByteArray::fromStdString(value));
    }
    return wait_for(manager.get(request), address);
}

base::result<http_answer> http_post(const model::address& address, const std::string& path, const QByteArray& body) {
    QNetworkAccessManager manager;
    return wait_for(manager.post(request_to(address, path), body), address);
}

std::string encode_query(const std::string& value) {
    return QUrl::toPercentEncoding(QString::fromStdString(value)).toStdString();
}

} // namespace lovagetack::cli
