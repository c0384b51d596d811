#include "cli/configuration_store.hpp"

#include <set>
#include <sstream>

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <QUuid>

#include "cli/http_call.hpp"

namespace lovagetack::cli {
namespace {

constexpr auto table = "configuration";
constexpr std::string_view overlay_prefix = "overlay.";
constexpr int http_ok = 200;
constexpr int http_not_found = 404;
constexpr int http_conflict = 409;

/// The configuration with the unique id of the push that wrote it.
struct configuration_with_push_id {
    stored_configuration configuration;
    QString push_id;
};

QJsonObject parse(const QString& text) {
    return QJsonDocument::fromJson(text.toUtf8()).object();
}

base::result<configuration_with_push_id> read_with_push_id(const model::address& platform) {
    auto answer = http_get(platform, std::string("/v1/rows/") + table);
    if (!answer || (answer.value().status != http_ok && answer.value().status != http_not_found)) {
        return base::failure(base::result_code::platform_unreachable,
                             answer ? "the table service answered " + std::to_string(answer.value().status)
                                    : answer.error().message);
    }
    configuration_with_push_id stored;
    for (const auto& item : QJsonDocument::fromJson(answer.value().body).object().value("rows").toArray()) {
        const auto row = item.toObject();
        const auto key = row.value("key").toString().toStdString();
        const auto value = row.value("value").toString();
        if (key == "base") {
            stored.configuration.base = value.toStdString();
        } else if (key == "version") {
            stored.configuration.version = static_cast<std::uint64_t>(row.value("version").toInteger());
            stored.push_id = parse(value).value("push").toString();
        } else if (key.starts_with(overlay_prefix)) {
            stored.configuration.overlays[key.substr(overlay_prefix.size())] = value.toStdString();
        }
    }
    return stored;
}

QJsonObject write(const std::string& key, const QString& value) {
    return {{"table", table}, {"key", QString::fromStdString(key)}, {"value", value}};
}

QByteArray transaction(const stored_configuration& current, const stored_configuration& next, const QString& push_id) {
    const QJsonObject condition{
        {"table", table}, {"key", "version"}, {"version", static_cast<qint64>(current.version)}};
    const QJsonObject version{{"push", push_id}};
    QJsonArray writes{write("version", QString::fromUtf8(QJsonDocument(version).toJson(QJsonDocument::Compact)))};
    if (next.base != current.base) {
        writes.append(write("base", QString::fromStdString(next.base)));
    }
    for (const auto& [data_centre, text] : next.overlays) {
        const auto found = current.overlays.find(data_centre);
        if (found == current.overlays.end() || found->second != text) {
            writes.append(write(std::string(overlay_prefix) + data_centre, QString::fromStdString(text)));
        }
    }
    return QJsonDocument(QJsonObject{{"conditions", QJsonArray{condition}}, {"writes", writes}}).toJson();
}

/// The new version of the row "version", which transaction() writes first. The table service chooses row versions, so
/// it need not be the next number.
base::result<std::uint64_t> accepted_version(const QByteArray& body) {
    const auto version = QJsonDocument::fromJson(body).object().value("versions").toArray().at(0).toInteger(0);
    if (version <= 0) {
        return base::failure(base::result_code::platform_malformed_answer,
                             "the table service accepted the push but returned no version");
    }
    return static_cast<std::uint64_t>(version);
}

void append_difference(std::ostringstream& out, const std::string& name, const std::string& in_force,
                       const std::string& pushed) {
    const auto lines_of = [](const std::string& text) {
        std::set<std::string> lines;
        std::istringstream stream(text);
        for (std::string line; std::getline(stream, line);) {
            lines.insert(line);
        }
        return lines;
    };
    const auto only_in = [&](char mark, const std::string& text, const std::set<std::string>& other) {
        std::istringstream stream(text);
        for (std::string line; std::getline(stream, line);) {
            if (!other.contains(line)) {
                out << mark << ' ' << name << ": " << line << '\n';
            }
        }
    };
    only_in('<', in_force, lines_of(pushed));
    only_in('>', pushed, lines_of(in_force));
}

} // namespace

base::result<stored_configuration> read_configuration(const model::address& platform) {
    BOOST_OUTCOME_TRY(stored, read_with_push_id(platform));
    return stored.configuration;
}

base::result<std::uint64_t> write_configuration(const model::address& platform, const stored_configuration& current,
                                                const stored_configuration& next) {
    const auto push_id = QUuid::createUuid().toString(QUuid::WithoutBraces);
    const auto answer = http_post(platform, "/v1/transactions", transaction(current, next, push_id));
    if (answer && answer.value().status == http_ok) {
        return accepted_version(answer.value().body);
    }
    // A conflict can come from the repetition of a call that took effect, and without an answer the result is unknown.
    // Both cases are resolved by reading back.
    BOOST_OUTCOME_TRY(stored, read_with_push_id(platform));
    if (stored.push_id == push_id) {
        return stored.configuration.version;
    }
    if (stored.configuration.version != current.version) {
        return base::failure(base::result_code::configuration_conflict,
                             describe_conflict(current.version, stored.configuration, next));
    }
    if (answer && answer.value().status == http_conflict) {
        return base::failure(base::result_code::platform_malformed_answer,
                             "the table service reports a conflict but holds the expected version");
    }
    // The transaction may still be in progress, so it cannot be reported as refused.
    return base::failure(base::result_code::platform_unreachable,
                         "the table service did not confirm the push; run config show before pushing again");
}

std::string describe_conflict(std::uint64_t edited_from, const stored_configuration& in_force,
                              const stored_configuration& pushed) {
    std::ostringstream out;
    out << "edited from version " << edited_from << ", but version " << in_force.version
        << " is in force; nothing was changed\n< in force, > pushed\n";
    append_difference(out, "base", in_force.base, pushed.base);
    for (const auto& [data_centre, text] : pushed.overlays) {
        const auto found = in_force.overlays.find(data_centre);
        append_difference(out, "overlay." + data_centre, found == in_force.overlays.end() ? "" : found->second, text);
    }
    return out.str();
}

} // namespace lovagetack::cli
