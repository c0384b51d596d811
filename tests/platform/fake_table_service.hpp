#pragma once

#include <map>

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <QUrl>

#include "platform/fake_http_server.hpp"

namespace lovagetack::platform {

/// In-memory version of the platform's table service, as described in section 9 of the design.
class fake_table_service {
public:
    struct stored_row {
        qint64 version = 0;
        QString value;
    };

    /// Transactions take effect, but their answers are not sent.
    bool lose_answers = false;
    /// When not 0, every request is answered with this HTTP status.
    int forced_status = 0;
    std::map<std::pair<QString, QString>, stored_row> rows;
    fake_http_server http{[this](const fake_request& request) { return serve(request); }};

private:
    std::optional<fake_answer> serve(const fake_request& request) {
        if (forced_status != 0) {
            return fake_answer{forced_status, "{}"};
        }
        const auto parts = QString::fromLatin1(request.path).split(QLatin1Char('/'), Qt::SkipEmptyParts);
        if (request.method == "POST" && parts.value(1) == QLatin1String("transactions")) {
            const auto answer = transact(QJsonDocument::fromJson(request.body).object());
            return lose_answers ? std::nullopt : std::optional(answer);
        }
        if (parts.value(1) == QLatin1String("instances")) {
            return fake_answer{200, R"({"instances":[
                {"name":"i1","data_centre":"d1","state":"live","peer_address":"127.0.0.1:7000","caller_address":"x"},
                {"name":"i2","data_centre":"d2","state":"leaving","peer_address":"127.0.0.1:7001"},
                {"name":"i3","data_centre":"d2","state":"live","peer_address":"nowhere"}]})"};
        }
        const QString table = QUrl::fromPercentEncoding(parts.value(2).toLatin1());
        return parts.size() == 3 ? read_table(table)
                                 : read_row(table, QUrl::fromPercentEncoding(parts.value(3).toLatin1()));
    }

    fake_answer read_row(const QString& table, const QString& key) const {
        const auto found = rows.find({table, key});
        if (found == rows.end()) {
            return {404, "{}"};
        }
        return {200, to_json_text({{QStringLiteral("version"), found->second.version},
                                   {QStringLiteral("value"), found->second.value}})};
    }

    fake_answer read_table(const QString& table) const {
        QJsonArray list;
        for (const auto& [name, row] : rows) {
            if (name.first == table) {
                list.append(QJsonObject{{QStringLiteral("key"), name.second},
                                        {QStringLiteral("version"), row.version},
                                        {QStringLiteral("value"), row.value}});
            }
        }
        return {200, to_json_text({{QStringLiteral("rows"), list}})};
    }

    fake_answer transact(const QJsonObject& transaction) {
        QJsonArray conflicts;
        for (const auto& item : transaction.value(QStringLiteral("conditions")).toArray()) {
            QJsonObject condition = item.toObject();
            const qint64 found = rows[name_of(condition)].version;
            if (found != condition.value(QStringLiteral("version")).toInteger(-1)) {
                condition.insert(QStringLiteral("version"), found);
                conflicts.append(condition);
            }
        }
        if (!conflicts.isEmpty()) {
            return {409, to_json_text({{QStringLiteral("conflicts"), conflicts}})};
        }
        QJsonArray versions;
        for (const auto& item : transaction.value(QStringLiteral("writes")).toArray()) {
            auto& row = rows[name_of(item.toObject())];
            row = {row.version + 1, item.toObject().value(QStringLiteral("value")).toString()};
            versions.append(row.version);
        }
        return {200, to_json_text({{QStringLiteral("versions"), versions}})};
    }

    static std::pair<QString, QString> name_of(const QJsonObject& json) {
        return {json.value(QStringLiteral("table")).toString(), json.value(QStringLiteral("key")).toString()};
    }

    static QByteArray to_json_text(const QJsonObject& json) {
        return QJsonDocument(json).toJson(QJsonDocument::Compact);
    }
};

} // namespace lovagetack::platform
