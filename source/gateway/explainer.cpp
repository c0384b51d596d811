#include "gateway/explainer.hpp"

#include <algorithm>
#include <utility>

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <QUrlQuery>

#include "routing/explanation/explanation.hpp"

namespace lovagetack::gateway {
namespace {

/// An explanation copies the state of the decisions, which takes some milliseconds in a large deployment.
constexpr auto shortest_period = std::chrono::milliseconds(500);

QString text(std::string_view value) {
    return QString::fromUtf8(value.data(), static_cast<qsizetype>(value.size()));
}

double in_milliseconds(std::chrono::microseconds time) {
    return static_cast<double>(time.count()) / 1000.0;
}

std::string to_text(const QJsonObject& page) {
    return QJsonDocument(page).toJson(QJsonDocument::Indented).toStdString();
}

std::string_view name_of(routing::slot_outcome outcome) {
    switch (outcome) {
    case routing::slot_outcome::granted:
        return "granted";
    case routing::slot_outcome::queued:
        return "queued";
    case routing::slot_outcome::refused:
        return "refused";
    }
    return "";
}

QJsonArray servers_page(const std::vector<routing::server_outlook>& servers) {
    QJsonArray page;
    for (const auto& server : servers) {
        QJsonObject item{{"server", text(server.server.value())},
                         {"data_centre", text(server.data_centre.value())},
                         {"slots", server.slots},
                         {"most_at_once", server.most_at_once},
                         {"in_progress", server.in_progress},
                         {"work_ms", in_milliseconds(server.work_time)},
                         {"expected_ms", in_milliseconds(server.expected_time)},
                         {"rejecting", server.rejecting}};
        if (server.learned_ago) {
            item.insert("learned_ms_ago", in_milliseconds(*server.learned_ago));
        }
        if (server.slowness) {
            item.insert("slowness_percent", *server.slowness);
        }
        QJsonArray obstacles;
        for (const auto obstacle : server.obstacles) {
            obstacles.append(text(obstacle));
        }
        item.insert("obstacles", obstacles);
        page.append(item);
    }
    return page;
}

QJsonObject route_page(const routing::route& route) {
    QJsonObject targets;
    for (const auto& target : route.targets) {
        targets.insert(text(target.service.value()), static_cast<qint64>(target.weight));
    }
    return {{"name", text(route.name)},
            {"idempotent", route.kind == routing::request_kind::idempotent},
            {"objective_ms", static_cast<qint64>(route.latency_objective.count())},
            {"timeout_ms", static_cast<qint64>(route.timeout.count())},
            {"services", targets}};
}

QJsonObject range_page(const routing::key_range& range) {
    QJsonObject page{{"first", static_cast<qint64>(range.first)},
                     {"last", static_cast<qint64>(range.last)},
                     {"owner", text(range.owner.value())},
                     {"fence", QString::number(range.fence)}};
    if (range.moving()) {
        page.insert("moving_from", text(range.leaving.value()));
    }
    return page;
}

// Names of the query of explain_slot.
constexpr auto sender_name = "sender";
constexpr auto service_name = "service";
constexpr auto data_centre_name = "data_centre";
constexpr auto group_name = "group";
constexpr auto server_name = "server";
constexpr auto priority_name = "priority";
constexpr auto age_name = "age_ms";
constexpr auto patience_name = "patience_ms";
constexpr auto excluded_name = "excluded";

QString slot_query(const routing::slot_request& request) {
    QUrlQuery query;
    const auto add = [&query](const char* name, const QString& value) {
        query.addQueryItem(name, QString::fromUtf8(QUrl::toPercentEncoding(value)));
    };
    add(sender_name, text(request.sender.value()));
    add(service_name, text(request.service.value()));
    add(data_centre_name, text(request.data_centre.value()));
    add(group_name, QString::number(request.group));
    add(server_name, text(request.server.value()));
    add(priority_name, QString::number(request.priority));
    add(age_name, QString::number(request.age.count()));
    add(patience_name, QString::number(request.patience.count()));
    for (const auto& excluded : request.excluded) {
        add(excluded_name, text(excluded.value()));
    }
    return query.toString(QUrl::FullyEncoded);
}

std::optional<routing::slot_request> read_slot_query(std::string_view encoded) {
    const QUrlQuery query(text(encoded));
    bool is_valid = true;
    const auto read_text = [&query](const char* name) {
        return query.queryItemValue(name, QUrl::FullyDecoded).toStdString();
    };
    const auto read_number = [&](const char* name) {
        bool is_number = false;
        const auto number = query.queryItemValue(name).toInt(&is_number);
        is_valid = is_valid && is_number;
        return number;
    };
    routing::slot_request request;
    request.sender = model::instance_id(read_text(sender_name));
    request.service = model::service_id(read_text(service_name));
    request.data_centre = model::data_centre_id(read_text(data_centre_name));
    request.group = static_cast<std::uint32_t>(std::max(0, read_number(group_name)));
    request.server = model::backend_server_id(read_text(server_name));
    request.priority = read_number(priority_name);
    request.age = std::chrono::milliseconds(read_number(age_name));
    request.patience = std::chrono::milliseconds(read_number(patience_name));
    for (const auto& excluded : query.allQueryItemValues(excluded_name, QUrl::FullyDecoded)) {
        request.excluded.emplace_back(excluded.toStdString());
    }
    return is_valid && !request.service.empty() ? std::optional(request) : std::nullopt;
}

QJsonObject slot_page(const routing::slot_explanation& found) {
    QJsonObject page{{"dispatcher", text(found.dispatcher.value())},
                     {"queued", static_cast<qint64>(found.queued)},
                     {"ahead", static_cast<qint64>(found.ahead)},
                     {"servers", servers_page(found.servers)}};
    if (!found.answer) {
        page.insert("decision", "no_answer");
        return page;
    }
    page.insert("decision", text(name_of(found.answer->outcome)));
    if (found.answer->outcome == routing::slot_outcome::granted) {
        page.insert("server", text(found.answer->server.value()));
    }
    if (found.answer->outcome == routing::slot_outcome::refused) {
        page.insert("expected_wait_ms", static_cast<qint64>(found.answer->wait.count()));
    }
    return page;
}

QJsonObject request_page(const routing::state& state, base::boot_time now, const caller_header& request) {
    routing::request_arrived arrived;
    arrived.request = request.request;
    arrived.host = request.host;
    arrived.path = request.path;
    arrived.key = request.key;
    arrived.deadline = request.deadline;
    arrived.credential = request.credential;
    const auto found = routing::explain_request(state, now, arrived);
    QJsonObject page{{"instance", text(state.self.instance.value())},
                     {"data_centre", text(state.self.data_centre.value())},
                     {"configuration", QString::number(state.configuration.version)},
                     {"decision", text(routing::name_of(found.placement))},
                     {"priority", found.priority},
                     {"service", text(found.service.value())},
                     {"queued", static_cast<qint64>(found.queued)},
                     {"servers", servers_page(found.servers)}};
    if (found.route) {
        page.insert("route", route_page(*found.route));
    }
    if (found.account) {
        page.insert("account", text(found.account->value()));
        page.insert("waits_for_token", found.waits_for_token);
    }
    if (request.key) {
        page.insert("key", static_cast<qint64>(*request.key));
    }
    if (found.range) {
        page.insert("range", range_page(*found.range));
    }
    if (!found.server.empty()) {
        page.insert("server", text(found.server.value()));
    }
    if (found.placement == routing::placement::refused) {
        page.insert("status", found.status);
        page.insert("code", text(base::name_of(found.code)));
        page.insert("retry_after_ms", static_cast<qint64>(found.retry_after.count()));
    }
    if (found.slot) {
        page.insert("dispatcher", text(found.dispatcher.value()));
        page.insert("slot_query", slot_query(*found.slot));
        if (found.dispatcher == state.self.instance) {
            page.insert("slot", slot_page(routing::explain_slot(state, now, *found.slot)));
        }
    }
    return page;
}

} // namespace

bool explainer::may_explain(base::boot_time now) {
    if (last_at_ && now - *last_at_ < shortest_period) {
        return false;
    }
    last_at_ = now;
    ++count_;
    return true;
}

std::optional<std::string> explainer::explain_request(const caller_header& request, base::boot_time now) {
    return may_explain(now) ? std::optional(to_text(request_page(state_, now, request))) : std::nullopt;
}

std::optional<std::string> explainer::explain_slot(std::string_view query, base::boot_time now) {
    const auto request = read_slot_query(query);
    if (!request) {
        return std::string();
    }
    if (!may_explain(now)) {
        return std::nullopt;
    }
    auto page = slot_page(routing::explain_slot(state_, now, *request));
    page.insert("instance", text(state_.self.instance.value()));
    return to_text(page);
}

} // namespace lovagetack::gateway
