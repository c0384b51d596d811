#include "platform/store_client.hpp"

#include <utility>

#include <QNetworkProxy>
#include <QNetworkRequest>
#include <QTimer>
#include <QUrl>

#include "platform/store_protocol.hpp"

namespace lovagetack::platform {
namespace {

/// The HTTP status of a finished call, or 0 without a complete answer.
int status_of(const QNetworkReply& reply) {
    const int status = reply.attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
    // Qt also reports statuses of 400 and above as errors, but their answers are complete.
    const bool complete = reply.error() == QNetworkReply::NoError || status >= 400;
    return complete && reply.error() != QNetworkReply::OperationCanceledError ? status : 0;
}

/// The body received; empty for an aborted call, whose reply is closed.
QByteArray body_of(QNetworkReply& reply) {
    return reply.isOpen() ? reply.readAll() : QByteArray();
}

} // namespace

store_client::store_client(model::address platform, std::chrono::milliseconds timeout, reply_handler on_reply,
                           list_handler on_list)
    : platform_(std::move(platform)), timeout_(timeout), on_reply_(std::move(on_reply)), on_list_(std::move(on_list)),
      manager_(std::make_unique<QNetworkAccessManager>()) {
    manager_->setProxy(QNetworkProxy(QNetworkProxy::NoProxy));
}

store_client::~store_client() {
    // Replies are children of the manager; their handlers must not run on a client that is being destroyed.
    for (QNetworkReply* reply : manager_->findChildren<QNetworkReply*>()) {
        reply->disconnect();
    }
}

QNetworkRequest store_client::request(const QString& path) const {
    // The path is encoded already, so the URL is parsed as a whole.
    const QString base = QStringLiteral("http://%1:%2").arg(QString::fromStdString(platform_.host)).arg(platform_.port);
    QNetworkRequest request(QUrl(base + path));
    request.setHeader(QNetworkRequest::ContentTypeHeader, QStringLiteral("application/json"));
    request.setAttribute(QNetworkRequest::RedirectPolicyAttribute, QNetworkRequest::ManualRedirectPolicy);
    request.setAttribute(QNetworkRequest::CacheLoadControlAttribute, QNetworkRequest::AlwaysNetwork);
    request.setAttribute(QNetworkRequest::Http2AllowedAttribute, false);
    return request;
}

void store_client::start_timeout(QNetworkReply* reply) const {
    // setTransferTimeout restarts with each byte, so it would not end a call to a store that sends slowly.
    auto* const timer = new QTimer(reply);
    timer->setSingleShot(true);
    QObject::connect(timer, &QTimer::timeout, reply, [reply] { reply->abort(); });
    timer->start(timeout_);
}

void store_client::finish(const model::store_reply& reply) {
    counters_.conflicts += reply.status == model::store_status::conflict ? 1 : 0;
    counters_.unknown += reply.status == model::store_status::unknown ? 1 : 0;
    on_reply_(reply);
}

void store_client::execute(const model::store_read& read) {
    ++counters_.calls;
    QNetworkReply* reply = manager_->get(request(path_of(read)));
    QObject::connect(reply, &QNetworkReply::finished, reply, [this, reply, read] {
        reply->deleteLater();
        finish(read_reply(read, status_of(*reply), body_of(*reply)));
    });
    start_timeout(reply);
}

void store_client::execute(const model::store_transaction& transaction) {
    ++counters_.calls;
    QNetworkReply* reply = manager_->post(request(QStringLiteral("/v1/transactions")), body_of(transaction));
    QObject::connect(reply, &QNetworkReply::finished, reply, [this, reply, transaction] {
        reply->deleteLater();
        finish(read_reply(transaction, status_of(*reply), body_of(*reply)));
    });
    start_timeout(reply);
}

void store_client::list_instances() {
    ++counters_.calls;
    QNetworkReply* reply = manager_->get(request(QStringLiteral("/v1/instances")));
    QObject::connect(reply, &QNetworkReply::finished, reply, [this, reply] {
        reply->deleteLater();
        const auto listed = read_instances(status_of(*reply), body_of(*reply));
        if (!listed) {
            ++counters_.unknown;
            return;
        }
        on_list_(*listed);
    });
    start_timeout(reply);
}

} // namespace lovagetack::platform
