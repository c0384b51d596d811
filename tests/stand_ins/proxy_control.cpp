#include "stand_ins/proxy_control.hpp"

#include <chrono>
#include <map>
#include <string>

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include "base/json.hpp"

namespace lovagetack::stand_ins {

namespace {

bool matches_link(const QJsonValue& wanted, const proxy_link& link, std::size_t index) {
    if (wanted.isDouble()) {
        return wanted.toInteger() == static_cast<qint64>(index);
    }
    const auto name = wanted.toString().toStdString();
    return name == "*" || name == link.name();
}

link_condition read_condition(const QJsonObject& command, link_mode mode) {
    link_condition condition;
    condition.mode = mode;
    condition.delay = std::chrono::milliseconds(command.value("delay_ms").toInteger(0));
    condition.jitter = std::chrono::milliseconds(command.value("jitter_ms").toInteger(0));
    condition.random.seed(static_cast<std::uint64_t>(command.value("seed").toInteger(1)));
    return condition;
}

/// False when the mode is unknown.
bool change_link(proxy_link& link, const QJsonObject& command) {
    static const std::map<std::string, link_mode> modes{{"pass", link_mode::pass},
                                                        {"cut", link_mode::cut},
                                                        {"refuse", link_mode::refuse},
                                                        {"delay", link_mode::delay},
                                                        {"drop-to-server", link_mode::drop_to_server},
                                                        {"drop-to-client", link_mode::drop_to_client}};
    const auto mode = command.value("mode").toString().toStdString();
    if (mode == "silence-open") {
        link.silence_open();
        return true;
    }
    const auto found = modes.find(mode);
    if (found == modes.end()) {
        return false;
    }
    link.set_condition(read_condition(command, found->second));
    return true;
}

http_response change_links(const link_list& links, const std::string& body) {
    const auto command = QJsonDocument::fromJson(QByteArray::fromStdString(body)).object();
    bool found = false;
    for (std::size_t index = 0; index < links.size(); ++index) {
        if (!matches_link(command.value("link"), *links[index], index)) {
            continue;
        }
        found = true;
        if (!change_link(*links[index], command)) {
            return json_response(400, R"({"error":"unknown mode"})");
        }
    }
    return found ? json_response(200, "{}") : json_response(404, R"({"error":"unknown link"})");
}

http_response describe_links(const link_list& links) {
    QJsonArray list;
    for (const auto& link : links) {
        list.append(base::to_json(link->counters()));
    }
    const QJsonObject body{{"links", list}};
    return json_response(200, QJsonDocument(body).toJson(QJsonDocument::Compact).toStdString());
}

} // namespace

void handle_proxy_control(const link_list& links, const exchange_pointer& exchange) {
    const auto& request = exchange->request();
    if (request.path() == "/control" && request.method == "POST") {
        exchange->answer(change_links(links, request.body));
    } else if (request.path() == "/control/links") {
        exchange->answer(describe_links(links));
    } else {
        exchange->answer(json_response(404, "{}"));
    }
}

} // namespace lovagetack::stand_ins
