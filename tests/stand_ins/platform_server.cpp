#include "stand_ins/platform_server.hpp"

#include <optional>
#include <utility>

#include <QByteArray>
#include <QJsonArray>
#include <QJsonDocument>

#include "base/boot_time.hpp"
#include "base/json.hpp"
#include "stand_ins/platform_json.hpp"

namespace lovagetack::stand_ins {

namespace {

std::string percent_decode(std::string_view text) {
    return QByteArray::fromPercentEncoding(QByteArray(text.data(), static_cast<qsizetype>(text.size()))).toStdString();
}

/// The text after the prefix; nullopt when the text does not start with it.
std::optional<std::string_view> without_prefix(std::string_view text, std::string_view prefix) {
    if (!text.starts_with(prefix)) {
        return std::nullopt;
    }
    return text.substr(prefix.size());
}

http_response not_found() {
    return json_response(404, "{}");
}

QJsonObject object_of(const std::string& body) {
    return QJsonDocument::fromJson(QByteArray::fromStdString(body)).object();
}

} // namespace

platform_server::platform_server() : http_([this](const exchange_pointer& incoming) { handle(incoming); }) {}

void platform_server::handle(const exchange_pointer& exchange) {
    const auto path = exchange->request().path();
    if (path == "/control" || path.starts_with("/control/")) {
        control(exchange, path);
        return;
    }
    if (mode_ == mode::down) {
        ++counters_.refused;
        exchange->close();
        return;
    }
    serve(exchange);
}

void platform_server::serve(const exchange_pointer& exchange) {
    const auto& request = exchange->request();
    const auto path = request.path();
    if (const auto rows = without_prefix(path, "/v1/rows/"); rows && request.method == "GET") {
        read_rows(exchange, *rows);
    } else if (path == "/v1/transactions" && request.method == "POST") {
        transact(exchange);
    } else if (const auto name = without_prefix(path, "/v1/objects/")) {
        serve_object(exchange, percent_decode(*name));
    } else if (path == "/v1/instances" && request.method == "GET") {
        read_instances(exchange);
    } else {
        respond(exchange, not_found());
    }
}

void platform_server::respond(const exchange_pointer& exchange, const http_response& response) {
    if (mode_ != mode::slow) {
        exchange->answer(response);
        return;
    }
    delayed_.call_after(delay_, [exchange, response] { exchange->answer(response); });
}

void platform_server::read_rows(const exchange_pointer& exchange, std::string_view path) {
    const auto slash = path.find('/');
    if (slash == std::string_view::npos) {
        ++counters_.list_reads;
        respond(exchange, json_response(200, rows_json(store_.list(percent_decode(path)))));
        return;
    }
    ++counters_.row_reads;
    const auto row = store_.read(percent_decode(path.substr(0, slash)), percent_decode(path.substr(slash + 1)));
    respond(exchange, row ? json_response(200, row_json(*row)) : not_found());
}

void platform_server::transact(const exchange_pointer& exchange) {
    auto transaction = read_transaction(exchange->request().body);
    if (!transaction) {
        respond(exchange, json_response(400, R"({"error":"malformed transaction"})"));
        return;
    }
    if (mode_ == mode::refuse_writes) {
        ++counters_.refused;
        respond(exchange, json_response(503, "{}"));
        return;
    }
    ++counters_.transactions;
    const auto outcome = store_.execute_transaction(base::boot_clock::now(), std::move(transaction->conditions),
                                                    std::move(transaction->writes));
    counters_.conflicts += outcome.applied ? 0 : 1;
    if (lose_answer()) {
        store_.mark_answer_lost();
        exchange->close();
        return;
    }
    respond(exchange, outcome.applied ? json_response(200, versions_json(outcome.versions))
                                      : json_response(409, conflicts_json(outcome.conflicts)));
}

bool platform_server::lose_answer() {
    if (mode_ != mode::lose_answers) {
        return false;
    }
    ++counters_.lost_answers;
    if (--answers_to_lose_ <= 0) {
        mode_ = mode::up;
    }
    return true;
}

void platform_server::serve_object(const exchange_pointer& exchange, const std::string& name) {
    const auto& request = exchange->request();
    if (request.method == "PUT") {
        ++counters_.object_writes;
        if (mode_ == mode::refuse_writes) {
            ++counters_.refused;
            respond(exchange, json_response(503, "{}"));
            return;
        }
        objects_[name] = request.body;
        respond(exchange, json_response(200, "{}"));
        return;
    }
    ++counters_.object_reads;
    const auto found = objects_.find(name);
    if (found == objects_.end()) {
        respond(exchange, not_found());
        return;
    }
    http_response response;
    response.content_type = "application/octet-stream";
    response.body = found->second;
    respond(exchange, response);
}

void platform_server::read_instances(const exchange_pointer& exchange) {
    ++counters_.instance_reads;
    QJsonArray list;
    for (const auto& [name, entry] : instances_) {
        list.append(entry);
    }
    const QJsonObject body{{"instances", list}};
    respond(exchange, json_response(200, QJsonDocument(body).toJson(QJsonDocument::Compact).toStdString()));
}

void platform_server::control(const exchange_pointer& exchange, std::string_view path) {
    if (path == "/control") {
        change_mode(exchange);
    } else if (const auto name = without_prefix(path, "/control/instances/")) {
        change_instance(exchange, percent_decode(*name));
    } else if (path == "/control/history") {
        read_history(exchange);
    } else if (path == "/control/counters") {
        exchange->answer(json_response(200, base::to_json_text(counters_)));
    } else {
        exchange->answer(not_found());
    }
}

void platform_server::change_mode(const exchange_pointer& exchange) {
    static const std::map<std::string, mode> modes{{"up", mode::up},
                                                   {"down", mode::down},
                                                   {"slow", mode::slow},
                                                   {"lose-answers", mode::lose_answers},
                                                   {"refuse-writes", mode::refuse_writes}};
    const auto command = object_of(exchange->request().body);
    const auto found = modes.find(command.value("mode").toString().toStdString());
    if (found == modes.end()) {
        exchange->answer(json_response(400, R"({"error":"unknown mode"})"));
        return;
    }
    mode_ = found->second;
    delay_ = std::chrono::milliseconds(command.value("delay_ms").toInteger(0));
    answers_to_lose_ = command.value("count").toInteger(1);
    exchange->answer(json_response(200, "{}"));
    if (mode_ == mode::down) {
        http_.close_connections(exchange.get());
    }
}

void platform_server::change_instance(const exchange_pointer& exchange, const std::string& name) {
    const auto& request = exchange->request();
    if (request.method == "DELETE") {
        instances_.erase(name);
    } else {
        auto entry = object_of(request.body);
        entry.insert("name", QString::fromStdString(name));
        instances_[name] = entry;
    }
    exchange->answer(json_response(200, "{}"));
}

void platform_server::read_history(const exchange_pointer& exchange) {
    const auto from = percent_decode(exchange->request().query("after"));
    const auto& history = store_.history();
    QJsonArray list;
    for (auto index = QString::fromStdString(from).toULongLong(); index < history.size(); ++index) {
        list.append(base::to_json(history[index]));
    }
    const QJsonObject body{{"total", static_cast<qint64>(history.size())}, {"transactions", list}};
    exchange->answer(json_response(200, QJsonDocument(body).toJson(QJsonDocument::Compact).toStdString()));
}

} // namespace lovagetack::stand_ins
