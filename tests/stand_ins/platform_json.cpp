#include "stand_ins/platform_json.hpp"

#include <cstdint>

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

namespace lovagetack::stand_ins {

namespace {

QString qt_string(const std::string& value) {
    return QString::fromStdString(value);
}

QJsonValue json_integer(std::uint64_t value) {
    return {static_cast<qint64>(value)};
}

std::string compact_json(const QJsonObject& object) {
    return QJsonDocument(object).toJson(QJsonDocument::Compact).toStdString();
}

std::optional<std::uint64_t> read_version(const QJsonValue& json) {
    if (json.isDouble() && json.toInteger(-1) >= 0) {
        return static_cast<std::uint64_t>(json.toInteger());
    }
    bool valid = false;
    const auto version = json.toString().toULongLong(&valid);
    return valid ? std::optional<std::uint64_t>(version) : std::nullopt;
}

std::optional<model::row_condition> read_condition(const QJsonObject& json) {
    const auto version = read_version(json.value("version"));
    if (!version || !json.value("table").isString() || !json.value("key").isString()) {
        return std::nullopt;
    }
    return model::row_condition{json.value("table").toString().toStdString(),
                                json.value("key").toString().toStdString(), *version};
}

std::optional<model::row_write> read_write(const QJsonObject& json) {
    const QJsonValue value = json.value("value");
    if (!json.value("table").isString() || !json.value("key").isString() || !(value.isString() || value.isNull())) {
        return std::nullopt;
    }
    model::row_write write{json.value("table").toString().toStdString(), json.value("key").toString().toStdString(),
                           std::nullopt};
    if (value.isString()) {
        write.value = value.toString().toStdString();
    }
    return write;
}

} // namespace

std::optional<transaction_request> read_transaction(const std::string& body) {
    const auto document = QJsonDocument::fromJson(QByteArray::fromStdString(body));
    if (!document.isObject()) {
        return std::nullopt;
    }
    transaction_request request;
    for (const auto& item : document.object().value("conditions").toArray()) {
        const auto condition = read_condition(item.toObject());
        if (!condition) {
            return std::nullopt;
        }
        request.conditions.push_back(*condition);
    }
    for (const auto& item : document.object().value("writes").toArray()) {
        const auto write = read_write(item.toObject());
        if (!write) {
            return std::nullopt;
        }
        request.writes.push_back(*write);
    }
    return request;
}

std::string row_json(const model::row& row) {
    return compact_json({{"version", json_integer(row.version)}, {"value", qt_string(row.value)}});
}

std::string rows_json(const std::vector<model::row>& rows) {
    QJsonArray list;
    for (const auto& row : rows) {
        list.append(QJsonObject{
            {"key", qt_string(row.key)}, {"version", json_integer(row.version)}, {"value", qt_string(row.value)}});
    }
    return compact_json({{"rows", list}});
}

std::string versions_json(const std::vector<std::uint64_t>& versions) {
    QJsonArray list;
    for (const auto version : versions) {
        list.append(json_integer(version));
    }
    return compact_json({{"versions", list}});
}

std::string conflicts_json(const std::vector<model::row_condition>& conflicts) {
    QJsonArray list;
    for (const auto& conflict : conflicts) {
        list.append(QJsonObject{{"table", qt_string(conflict.table)},
                                {"key", qt_string(conflict.key)},
                                {"version", json_integer(conflict.version)}});
    }
    return compact_json({{"conflicts", list}});
}

} // namespace lovagetack::stand_ins
