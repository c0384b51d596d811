#include "platform/store_protocol.hpp"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <QUrl>

namespace lovagetack::platform {
namespace {

constexpr int status_ok = 200;
constexpr int status_not_found = 404;
constexpr int status_conflict = 409;

QString to_qstring(const std::string& value) {
    return QString::fromStdString(value);
}

QString path_segment(const std::string& value) {
    return QString::fromLatin1(QUrl::toPercentEncoding(to_qstring(value)));
}

QJsonValue to_json_number(std::uint64_t value) {
    return QJsonValue(static_cast<qint64>(value));
}

/// The version, or nothing when the value is not a number of 0 or more.
std::optional<std::uint64_t> read_version(const QJsonValue& value) {
    const qint64 version = value.toInteger(-1);
    return version < 0 ? std::nullopt : std::optional<std::uint64_t>(static_cast<std::uint64_t>(version));
}

std::optional<QJsonObject> read_object(const QByteArray& body) {
    const auto document = QJsonDocument::fromJson(body);
    return document.isObject() ? std::optional<QJsonObject>(document.object()) : std::nullopt;
}

bool add_row(const QString& table, const QString& key, const QJsonObject& json, std::vector<model::row>& rows) {
    const auto version = read_version(json.value(QStringLiteral("version")));
    if (!version) {
        return false;
    }
    rows.push_back({table.toStdString(), key.toStdString(), *version,
                    json.value(QStringLiteral("value")).toString().toStdString()});
    return true;
}

bool add_rows_of_table(const std::string& table, const QJsonObject& json, std::vector<model::row>& rows) {
    if (!json.value(QStringLiteral("rows")).isArray()) {
        return false;
    }
    for (const auto& item : json.value(QStringLiteral("rows")).toArray()) {
        const QJsonObject entry = item.toObject();
        if (!add_row(to_qstring(table), entry.value(QStringLiteral("key")).toString(), entry, rows)) {
            return false;
        }
    }
    return true;
}

void read_conflicts(const QJsonObject& json, std::vector<model::row>& rows) {
    for (const auto& item : json.value(QStringLiteral("conflicts")).toArray()) {
        const QJsonObject entry = item.toObject();
        add_row(entry.value(QStringLiteral("table")).toString(), entry.value(QStringLiteral("key")).toString(), entry,
                rows);
    }
}

bool read_versions(const QJsonObject& json, std::vector<std::uint64_t>& versions) {
    for (const auto& item : json.value(QStringLiteral("versions")).toArray()) {
        const auto version = read_version(QJsonValue(item));
        if (!version) {
            return false;
        }
        versions.push_back(*version);
    }
    return true;
}

model::store_reply unknown(model::operation_id operation) {
    return {operation, model::store_status::unknown, {}, {}};
}

/// "host:port", with an IPv6 host in brackets.
std::optional<model::address> read_address(const QString& value) {
    const auto separator = value.lastIndexOf(QLatin1Char(':'));
    bool valid = false;
    const auto port = value.mid(separator + 1).toUShort(&valid);
    if (separator <= 0 || !valid || port == 0) {
        return std::nullopt;
    }
    return model::address{value.left(separator).toStdString(), port};
}

} // namespace

QString path_of(const model::store_read& read) {
    const QString table = QStringLiteral("/v1/rows/") + path_segment(read.table);
    return read.key.empty() ? table : table + QLatin1Char('/') + path_segment(read.key);
}

QByteArray body_of(const model::store_transaction& transaction) {
    QJsonArray conditions;
    for (const auto& condition : transaction.conditions) {
        conditions.append(QJsonObject{{QStringLiteral("table"), to_qstring(condition.table)},
                                      {QStringLiteral("key"), to_qstring(condition.key)},
                                      {QStringLiteral("version"), to_json_number(condition.version)}});
    }
    QJsonArray writes;
    for (const auto& write : transaction.writes) {
        writes.append(QJsonObject{{QStringLiteral("table"), to_qstring(write.table)},
                                  {QStringLiteral("key"), to_qstring(write.key)},
                                  {QStringLiteral("value"),
                                   write.value ? QJsonValue(to_qstring(*write.value)) : QJsonValue(QJsonValue::Null)}});
    }
    const QJsonObject body{{QStringLiteral("conditions"), conditions}, {QStringLiteral("writes"), writes}};
    return QJsonDocument(body).toJson(QJsonDocument::Compact);
}

model::store_reply read_reply(const model::store_read& read, int status, const QByteArray& body) {
    model::store_reply reply{read.operation, model::store_status::done, {}, {}};
    if (status == status_not_found) {
        if (!read.key.empty()) {
            reply.rows.push_back({read.table, read.key, 0, {}});
        }
        return reply;
    }
    const auto json = read_object(body);
    if (status != status_ok || !json) {
        return unknown(read.operation);
    }
    const bool valid = read.key.empty() ? add_rows_of_table(read.table, *json, reply.rows)
                                        : add_row(to_qstring(read.table), to_qstring(read.key), *json, reply.rows);
    return valid ? reply : unknown(read.operation);
}

model::store_reply read_reply(const model::store_transaction& transaction, int status, const QByteArray& body) {
    model::store_reply reply{transaction.operation, model::store_status::done, {}, {}};
    const auto json = read_object(body);
    if (status == status_conflict) {
        reply.status = model::store_status::conflict;
        read_conflicts(json.value_or(QJsonObject()), reply.rows);
        return reply;
    }
    const bool valid = status == status_ok && json && read_versions(*json, reply.versions) &&
                       reply.versions.size() == transaction.writes.size();
    return valid ? reply : unknown(transaction.operation);
}

std::optional<membership::instances_listed> read_instances(int status, const QByteArray& body) {
    const auto json = read_object(body);
    if (status != status_ok || !json || !json->value(QStringLiteral("instances")).isArray()) {
        return std::nullopt;
    }
    membership::instances_listed listed;
    for (const auto& item : json->value(QStringLiteral("instances")).toArray()) {
        const QJsonObject entry = item.toObject();
        const auto address = read_address(entry.value(QStringLiteral("peer_address")).toString());
        const std::string name = entry.value(QStringLiteral("name")).toString().toStdString();
        if (!address || name.empty()) {
            continue;
        }
        listed.instances.push_back(
            {model::instance_id(name),
             model::data_centre_id(entry.value(QStringLiteral("data_centre")).toString().toStdString()),
             entry.value(QStringLiteral("state")).toString() == QLatin1String("leaving"), *address});
    }
    return listed;
}

} // namespace lovagetack::platform
