#include "stand_ins/backend_control.hpp"

#include <string>

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include "base/json.hpp"
#include "stand_ins/backend_server.hpp"

namespace lovagetack::stand_ins {

namespace {

void change(backend_server& server, const std::shared_ptr<http_exchange>& exchange) {
    const auto document = QJsonDocument::fromJson(QByteArray::fromStdString(exchange->request().body));
    if (!document.isObject()) {
        exchange->answer(json_response(400, R"({"error":"not a JSON object"})"));
        return;
    }
    const auto command = document.object();
    server.change_settings(command);
    if (command.value("restart").toBool()) {
        server.restart(exchange.get());
    }
    if (command.value("cold").toBool()) {
        server.become_cold();
    }
    exchange->answer(json_response(200, "{}"));
}

std::string executions_json(const backend_server& server, std::size_t from) {
    const auto& records = server.records();
    QJsonArray list;
    for (auto index = from; index < records.size(); ++index) {
        list.append(base::to_json(records[index]));
    }
    const QJsonObject body{{"total", static_cast<qint64>(records.size())}, {"executions", list}};
    return QJsonDocument(body).toJson(QJsonDocument::Compact).toStdString();
}

} // namespace

void handle_control(backend_server& server, const std::shared_ptr<http_exchange>& exchange, std::string_view path) {
    const auto& request = exchange->request();
    if (path == "/control" && request.method == "POST") {
        change(server, exchange);
    } else if (path == "/control/executions") {
        const auto from =
            QByteArray(request.query("after").data(), static_cast<qsizetype>(request.query("after").size()));
        exchange->answer(json_response(200, executions_json(server, from.toULongLong())));
    } else if (path == "/control/counters") {
        exchange->answer(json_response(200, base::to_json_text(server.counters())));
    } else if (path == "/control/settings") {
        exchange->answer(json_response(200, base::to_json_text(server.settings())));
    } else {
        exchange->answer(json_response(404, "{}"));
    }
}

} // namespace lovagetack::stand_ins
