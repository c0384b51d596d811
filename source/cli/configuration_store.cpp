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

/// The configuration with the mark of the push that wrote it.
struct marked_configuration {
    stored_configuration configuration;
    QString push;
};

QJsonObject parse(const QString& text) {
    return QJsonDocument::fromJson(text.toUtf8()).object();
}

base::result<marked_configuration> read_marked(const model::address& platform) {
    auto answer = http_read(platform, std::string("/v1/rows/") + table);
    if (!answer || (answer.value().status != http_ok && answer.value().status != http_not_found)) {
        return base::failure(base::result_code::platform_unreachable,
                             answer ? "the table service answered " + std::to_string(answer.value().status)
                                    : answer.error().message);
    }
    marked_configuration marked;
    for (const auto& item : QJsonDocument::fromJson(answer.value().body).object().value("rows").toArray()) {
        const auto row = item.toObject();
        const auto key = row.value("key").toString().toStdString();
        const auto value = row.value("value").toString();
        if (key == "base") {
            marked.configuration.base = value.toStdString();
        } else if (key == "version") {
            marked.configuration.version = static_cast<std::uint64_t>(row.value("version").toInteger());
            marked.push = parse(value).value("push").toString();
        } else if (key.starts_with(overlay_prefix)) {
            marked.configuration.overlays[key.substr(overlay_prefix.size())] = value.toStdString();
        }
    }
    return marked;
}

QJsonObject write(const std::string& key, const QString& value) {
    return {{"table", table}, {"key", QString::fromStdString(key)}, {"value", value}};
}

QByteArray transaction(const stored_configuration& current, const stored_configuration& next, const QString& push) {
    const QJsonObject condition{
        {"table", table}, {"key", "version"}, {"version", static_cast<qint64>(current.version)}};
    const QJsonObject version{{"push", push}};
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
                             "the table service took the push but named no version");
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
    BOOST_OUTCOME_TRY(marked, read_marked(platform));
    return marked.configuration;
}

base::result<std::uint64_t> write_configuration(const model::address& platform, const stored_configuration& current,
                                                const stored_configuration& next) {
    const auto push = QUuid::createUuid().toString(QUuid::WithoutBraces);
    const auto answer = http_post(platform, "/v1/transactions", transaction(current, next, push));
    if (answer && answer.value().status == http_ok) {
        return accepted_version(answer.value().body);
    }
    // A conflict can be the second run of a call that took effect, and no answer says nothing; both are read back.
    BOOST_OUTCOME_TRY(marked, read_marked(platform));
    if (marked.push == push) {
        return marked.configuration.version;
    }
    if (marked.configuration.version != current.version) {
        return base::failure(base::result_code::configuration_conflict,
                             describe_conflict(current.version, marked.configuration, next));
    }
    if (answer && answer.value().status == http_conflict) {
        return base::failure(base::result_code::platform_malformed_answer,
                             "the table service reports a conflict but holds the expected version");
    }
    // The transaction may still be under way, so it cannot be called refused.
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
