#include "service/load_poller.hpp"

#include <utility>

#include <QJsonDocument>
#include <QJsonObject>
#include <QNetworkReply>
#include <QNetworkRequest>
#include <QUrl>

namespace lovagetack::service {

load_poller::load_poller(handler on_observation)
    : on_observation_(std::move(on_observation)), manager_(std::make_unique<QNetworkAccessManager>()) {}

void load_poller::poll(const std::vector<model::backend_server>& servers) {
    for (const auto& server : servers) {
        QUrl url;
        url.setScheme("http");
        url.setHost(QString::fromStdString(server.address.host));
        url.setPort(server.address.port);
        url.setPath("/lovagetack/load");
        QNetworkRequest request(url);
        request.setTransferTimeout(static_cast<int>(timeout.count()));
        QNetworkReply* reply = manager_->get(request);
        QObject::connect(reply, &QNetworkReply::finished, reply, [this, reply, id = server.id] {
            reply->deleteLater();
            if (reply->error() == QNetworkReply::NoError) {
                read(id, reply->readAll());
            }
        });
    }
}

void load_poller::read(const model::backend_server_id& server, const QByteArray& body) {
    const auto json = QJsonDocument::fromJson(body).object();
    requests::backend_server_observed observed{server};
    observed.boot_id = json.value("boot_id").toString().toStdString();
    observed.draining = json.value("draining").toBool();
    observed.uptime = std::chrono::milliseconds(json.value("uptime_ms").toInteger());
    on_observation_(observed);
}

} // namespace lovagetack::service
