#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

#include <QByteArray>
#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <QJsonValue>
#include <QString>

#include "base/fields.hpp"
#include "base/strong_id.hpp"
#include "base/strong_number.hpp"

/// JSON of plain structs through their field tables. Unsigned 64-bit numbers are decimal strings, since a JSON number
/// holds only 53 bits exactly. Durations are microseconds. Reading is tolerant: an absent or mistyped field keeps its
/// default value and an unknown field is ignored, so that mixed versions interoperate.
namespace lovagetack::base {

template <class Value>
QJsonValue to_json(const Value& value);

template <class Value>
void from_json(const QJsonValue& json, Value& value);

namespace detail {

template <class>
inline constexpr bool is_strong_id = false;
template <class Tag>
inline constexpr bool is_strong_id<strong_id<Tag>> = true;

template <class>
inline constexpr bool is_strong_number = false;
template <class Tag>
inline constexpr bool is_strong_number<strong_number<Tag>> = true;

template <class>
inline constexpr bool is_vector = false;
template <class Value>
inline constexpr bool is_vector<std::vector<Value>> = true;

template <class>
inline constexpr bool is_optional = false;
template <class Value>
inline constexpr bool is_optional<std::optional<Value>> = true;

template <class>
inline constexpr bool is_variant = false;
template <class... Values>
inline constexpr bool is_variant<std::variant<Values...>> = true;

template <class>
inline constexpr bool is_map = false;
template <class Key, class Value>
inline constexpr bool is_map<std::map<Key, Value>> = true;

template <class>
inline constexpr bool is_duration = false;
template <class Rep, class Period>
inline constexpr bool is_duration<std::chrono::duration<Rep, Period>> = true;

template <class>
inline constexpr bool is_time_point = false;
template <class Clock, class Duration>
inline constexpr bool is_time_point<std::chrono::time_point<Clock, Duration>> = true;

template <class Object>
QJsonObject object_to_json(const Object& object) {
    QJsonObject json;
    std::apply(
        [&](const auto&... field) {
            (json.insert(QString::fromUtf8(field.name.data(), static_cast<qsizetype>(field.name.size())),
                         to_json(object.*field.member)),
             ...);
        },
        fields_of<Object>::list);
    return json;
}

template <class Object>
void object_from_json(const QJsonObject& json, Object& object) {
    std::apply(
        [&](const auto&... field) {
            (from_json(json.value(QLatin1StringView(field.name.data(), static_cast<qsizetype>(field.name.size()))),
                       object.*field.member),
             ...);
        },
        fields_of<Object>::list);
}

template <class Alternative, class Variant>
bool read_alternative(const QJsonObject& json, Variant& variant) {
    const auto name = fields_of<Alternative>::name;
    if (json.value(QLatin1StringView("type")).toString().toStdString() != name) {
        return false;
    }
    Alternative alternative{};
    object_from_json(json, alternative);
    variant = std::move(alternative);
    return true;
}

template <class... Alternatives>
void variant_from_json(const QJsonValue& json, std::variant<Alternatives...>& variant) {
    const QJsonObject object = json.toObject();
    (read_alternative<Alternatives>(object, variant) || ...);
}

} // namespace detail

template <class Value>
QJsonValue to_json(const Value& value) {
    if constexpr (std::is_same_v<Value, bool>) {
        return QJsonValue(value);
    } else if constexpr (std::is_enum_v<Value>) {
        return QJsonValue(static_cast<qint64>(value));
    } else if constexpr (std::is_same_v<Value, std::uint64_t>) {
        return QJsonValue(QString::number(value));
    } else if constexpr (std::is_integral_v<Value>) {
        return QJsonValue(static_cast<qint64>(value));
    } else if constexpr (std::is_floating_point_v<Value>) {
        return QJsonValue(static_cast<double>(value));
    } else if constexpr (std::is_same_v<Value, std::string>) {
        return QJsonValue(QString::fromStdString(value));
    } else if constexpr (detail::is_strong_id<Value>) {
        return QJsonValue(QString::fromStdString(value.value()));
    } else if constexpr (detail::is_strong_number<Value>) {
        return QJsonValue(QString::number(value.value()));
    } else if constexpr (detail::is_duration<Value>) {
        return QJsonValue(static_cast<qint64>(std::chrono::duration_cast<std::chrono::microseconds>(value).count()));
    } else if constexpr (detail::is_time_point<Value>) {
        return to_json(value.time_since_epoch());
    } else if constexpr (detail::is_optional<Value>) {
        return value ? to_json(*value) : QJsonValue(QJsonValue::Null);
    } else if constexpr (detail::is_vector<Value>) {
        QJsonArray array;
        for (const auto& item : value) {
            array.append(to_json(item));
        }
        return array;
    } else if constexpr (detail::is_map<Value>) {
        QJsonArray array;
        for (const auto& [key, item] : value) {
            array.append(QJsonArray{to_json(key), to_json(item)});
        }
        return array;
    } else if constexpr (detail::is_variant<Value>) {
        return std::visit(
            [](const auto& alternative) {
                using alternative_type = std::decay_t<decltype(alternative)>;
                QJsonObject json = detail::object_to_json(alternative);
                const auto name = fields_of<alternative_type>::name;
                json.insert(QStringLiteral("type"),
                            QString::fromUtf8(name.data(), static_cast<qsizetype>(name.size())));
                return QJsonValue(json);
            },
            value);
    } else {
        static_assert(has_fields<Value>, "the type has no field table");
        return detail::object_to_json(value);
    }
}

template <class Value>
void from_json(const QJsonValue& json, Value& value) {
    if (json.isUndefined()) {
        return;
    }
    if constexpr (std::is_same_v<Value, bool>) {
        value = json.toBool(value);
    } else if constexpr (std::is_enum_v<Value>) {
        value = static_cast<Value>(json.toInteger(static_cast<qint64>(value)));
    } else if constexpr (std::is_same_v<Value, std::uint64_t>) {
        value = json.toString().toULongLong();
    } else if constexpr (std::is_integral_v<Value>) {
        value = static_cast<Value>(json.toInteger(static_cast<qint64>(value)));
    } else if constexpr (std::is_floating_point_v<Value>) {
        value = json.toDouble(value);
    } else if constexpr (std::is_same_v<Value, std::string>) {
        value = json.toString().toStdString();
    } else if constexpr (detail::is_strong_id<Value>) {
        value = Value(json.toString().toStdString());
    } else if constexpr (detail::is_strong_number<Value>) {
        value = Value(json.toString().toULongLong());
    } else if constexpr (detail::is_duration<Value>) {
        value = std::chrono::duration_cast<Value>(std::chrono::microseconds(json.toInteger()));
    } else if constexpr (detail::is_time_point<Value>) {
        typename Value::duration since_epoch{};
        from_json(json, since_epoch);
        value = Value(since_epoch);
    } else if constexpr (detail::is_optional<Value>) {
        value.reset();
        if (!json.isNull()) {
            from_json(json, value.emplace());
        }
    } else if constexpr (detail::is_vector<Value>) {
        value.clear();
        for (const auto& item : json.toArray()) {
            from_json(QJsonValue(item), value.emplace_back());
        }
    } else if constexpr (detail::is_map<Value>) {
        value.clear();
        for (const auto& item : json.toArray()) {
            typename Value::key_type key{};
            const QJsonArray pair = item.toArray();
            from_json(QJsonValue(pair.at(0)), key);
            from_json(QJsonValue(pair.at(1)), value[key]);
        }
    } else if constexpr (detail::is_variant<Value>) {
        detail::variant_from_json(json, value);
    } else {
        static_assert(has_fields<Value>, "the type has no field table");
        detail::object_from_json(json.toObject(), value);
    }
}

/// Compact JSON text of an object with a field table, or of a variant of such objects.
template <class Value>
std::string to_json_text(const Value& value) {
    return QJsonDocument(to_json(value).toObject()).toJson(QJsonDocument::Compact).toStdString();
}

/// Reads the output of to_json_text; false when the text is not a JSON object.
template <class Value>
bool from_json_text(const std::string& text, Value& value) {
    const auto document = QJsonDocument::fromJson(QByteArray::fromStdString(text));
    if (!document.isObject()) {
        return false;
    }
    from_json(QJsonValue(document.object()), value);
    return true;
}

} // namespace lovagetack::base
