#include "service/admin_server.hpp"

#include <array>
#include <optional>

#include <QHostAddress>
#include <QHttpServerResponse>
#include <QJsonDocument>
#include <QUrlQuery>

#include "base/json.hpp"
#include "base/unix_time.hpp"

namespace lovagetack::service {
namespace {

using status_code = QHttpServerResponder::StatusCode;

constexpr std::array subject_kinds = {model::subject_kind::data_centre, model::subject_kind::instance,
                                      model::subject_kind::backend_server};

std::optional<model::subject_kind> read_kind(const std::string& text) {
    for (const auto kind : subject_kinds) {
        if (model::subject_kind_name(kind) == text) {
            return kind;
        }
    }
    return std::nullopt;
}

std::optional<model::availability> read_availability(const std::string& text) {
    if (text == "in-service") {
        return model::availability::in_service;
    }
    if (text == "drained") {
        return model::availability::drained;
    }
    return text == "lost" ? std::optional(model::availability::lost) : std::nullopt;
}

QHttpServerResponse text_answer(const std::string& text, status_code status = status_code::Ok) {
    return {"text/plain; charset=utf-8", QByteArray::fromStdString(text), status};
}

} // namespace

admin_server::admin_server(source& source) : source_(source) {
    add_routes();
}

base::result<void> admin_server::listen(const model::address& address) {
    if (server_.listen(QHostAddress(QString::fromStdString(address.host)), address.port) == 0) {
        return base::failure(base::result_code::address_in_use,
                             "operators' address " + model::to_text(address) + " is in use");
    }
    return base::success();
}

void admin_server::add_routes() {
    server_.route("/health", [this] {
        const bool ready = source_.is_ready();
        return text_answer(ready ? "ready\n" : "not ready\n",
                           ready ? status_code::Ok : status_code::ServiceUnavailable);
    });
    server_.route("/metrics", [this] { return text_answer(source_.metrics_text()); });
    server_.route("/status", [this] { return QHttpServerResponse(source_.status()); });
    server_.route("/explain", [this](const QHttpServerRequest& request) {
        const auto query = request.query();
        const auto service = query.queryItemValue("service", QUrl::FullyDecoded).toStdString();
        const auto key = query.queryItemValue("key", QUrl::FullyDecoded).toStdString();
        return QHttpServerResponse(source_.explain(service, key));
    });
    server_.route("/timeline", [this](const QHttpServerRequest& request) {
        return text_answer(source_.timeline_text(request.query().queryItemValue("after").toULongLong()));
    });
    server_.route("/service-state", QHttpServerRequest::Method::Post,
                  [this](const QHttpServerRequest& request) { return handle_service_state(request); });
}

QHttpServerResponse admin_server::handle_service_state(const QHttpServerRequest& request) {
    const auto json = QJsonDocument::fromJson(request.body()).object();
    const auto kind = read_kind(json.value("kind").toString().toStdString());
    const auto availability = read_availability(json.value("availability").toString().toStdString());
    const auto name = json.value("name").toString().toStdString();
    if (!kind || !availability || name.empty()) {
        return text_answer("expected kind, name and availability\n", status_code::BadRequest);
    }
    source_.set_service_state(
        {.kind = *kind, .name = name, .availability = *availability, .operator_time = base::unix_time_now()});
    return text_answer("accepted\n", status_code::Accepted);
}

} // namespace lovagetack::service
