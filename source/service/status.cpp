#include "service/status.hpp"

#include <algorithm>
#include <ctime>
#include <fstream>

#include <QJsonArray>
#include <unistd.h>

#include "base/key_hash.hpp"
#include "configuration/state.hpp"
#include "ownership/reduce.hpp"
#include "requests/reduce.hpp"

namespace lovagetack::service {
namespace {

QString text(const std::string& value) {
    return QString::fromStdString(value);
}

template <class Id>
QString id_text(const Id& id) {
    return text(id.value());
}

QString fence_text(const model::fence& fence) {
    return text(std::to_string(fence.epoch.value()) + '.' + std::to_string(fence.sequence));
}

const char* name_of(model::member_state state) {
    switch (state) {
    case model::member_state::joining:
        return "joining";
    case model::member_state::live:
        return "live";
    case model::member_state::leaving:
        return "leaving";
    case model::member_state::left:
        return "left";
    case model::member_state::unreachable:
        return "unreachable";
    }
    return "";
}

const char* name_of(model::availability availability) {
    switch (availability) {
    case model::availability::in_service:
        return "in-service";
    case model::availability::drained:
        return "drained";
    case model::availability::lost:
        return "lost";
    }
    return "";
}

QJsonArray members_of(const core::state& state) {
    QJsonArray list;
    for (const auto& member : state.membership.members()) {
        const bool is_self = member.id == state.identity.self.id;
        const auto version = is_self ? state.deployment_version : member.configuration_version;
        const bool gone = member.state == model::member_state::left || member.state == model::member_state::unreachable;
        list.append(QJsonObject{{"instance", id_text(member.id)},
                                {"data_centre", id_text(member.data_centre)},
                                {"state", name_of(member.state)},
                                {"incarnation", QString::number(member.incarnation.value())},
                                {"configuration_version", static_cast<qint64>(version)},
                                {"lags", !gone && version < state.deployment_version}});
    }
    return list;
}

QJsonArray backend_servers_of(const core::state& state, base::boot_time now) {
    QJsonArray list;
    for (const auto& server : requests::backend_servers(state.requests, now)) {
        list.append(QJsonObject{{"backend_server", id_text(server.id)},
                                {"service", id_text(server.service)},
                                {"home", id_text(server.home)},
                                {"outstanding", server.outstanding},
                                {"queued", server.queued},
                                {"usable_slots", server.usable_slots},
                                {"ramp_rate", server.ramp_rate},
                                {"straggler", server.straggler},
                                {"takes_new_work", server.takes_new_work}});
    }
    return list;
}

QJsonArray ranges_of(const core::state& state) {
    QJsonArray list;
    for (const auto& service : state.ownership.deployment.services) {
        const auto* routes = ownership::routes_of(state.ownership, service.id);
        if (routes == nullptr) {
            continue;
        }
        for (const auto& range : routes->ranges) {
            list.append(QJsonObject{{"service", id_text(service.id)},
                                    {"first", QString::number(range.first)},
                                    {"last", QString::number(range.last)},
                                    {"owner", id_text(range.owner)},
                                    {"fence", fence_text(range.fence)}});
        }
    }
    return list;
}

QJsonArray service_states_of(const core::state& state) {
    QJsonArray list;
    const auto append = [&](const model::service_state& order, bool superseded) {
        list.append(QJsonObject{{"kind", text(model::subject_kind_name(order.kind))},
                                {"name", text(order.name)},
                                {"availability", name_of(order.availability)},
                                {"stored", order.row_version > 0},
                                {"superseded", superseded}});
    };
    for (const auto& order : state.configuration.service_states()) {
        append(order, false);
    }
    for (const auto& order : state.configuration.superseded()) {
        append(order, true);
    }
    return list;
}

QJsonArray restrictions_of(const core::state& state) {
    QJsonArray list;
    if (!state.ownership.store_reachable) {
        list.append("the table service does not answer: no configuration push, no move between data centres, no new "
                    "successor, no request with an idempotency key");
    }
    if (const auto& rejected = state.configuration.rejected()) {
        list.append(
            text("configuration version " + std::to_string(rejected->version) + " was rejected: " + rejected->reason));
    }
    if (!state.ready) {
        list.append("no configuration is known: callers are refused");
    }
    return list;
}

double processor_seconds() {
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

double resident_bytes() {
    std::ifstream file("/proc/self/statm");
    double total_pages = 0;
    double resident_pages = 0;
    file >> total_pages >> resident_pages;
    return resident_pages * static_cast<double>(sysconf(_SC_PAGESIZE));
}

void set_server_gauges(telemetry::metrics& metrics, const core::state& state, base::boot_time now) {
    for (const char* name : {"lovagetack_outstanding", "lovagetack_queued", "lovagetack_usable_slots",
                             "lovagetack_ramp_rate", "lovagetack_straggler"}) {
        metrics.clear_gauge(name);
    }
    for (const auto& server : requests::backend_servers(state.requests, now)) {
        if (server.home != state.identity.self.id) {
            continue;
        }
        const telemetry::labels labels{{"service", server.service.value()}, {"backend_server", server.id.value()}};
        metrics.set("lovagetack_outstanding", labels, server.outstanding);
        metrics.set("lovagetack_queued", labels, server.queued);
        metrics.set("lovagetack_usable_slots", labels, server.usable_slots);
        metrics.set("lovagetack_ramp_rate", labels, server.ramp_rate);
        metrics.set("lovagetack_straggler", labels, server.straggler ? 1 : 0);
    }
}

void set_ownership_gauges(telemetry::metrics& metrics, const core::state& state) {
    metrics.clear_gauge("lovagetack_ranges_owned");
    for (const auto& service : state.ownership.deployment.services) {
        const auto* routes = ownership::routes_of(state.ownership, service.id);
        if (routes == nullptr) {
            continue;
        }
        std::map<std::string, int> counts;
        for (const auto& range : routes->ranges) {
            ++counts[range.owner.value()];
        }
        for (const auto& [server, count] : counts) {
            metrics.set("lovagetack_ranges_owned", {{"service", service.id.value()}, {"backend_server", server}},
                        count);
        }
    }
}

} // namespace

QJsonObject status_of(const core::state& state, base::boot_time now, bool shutting_down) {
    const auto& self = state.membership.self();
    const auto authority = ownership::authority_until(state.ownership);
    return {{"instance", id_text(self.id)},
            {"data_centre", id_text(self.data_centre)},
            {"incarnation", QString::number(self.incarnation.value())},
            {"state", name_of(self.state)},
            {"ready", state.ready && !shutting_down},
            {"configuration_version", static_cast<qint64>(state.deployment_version)},
            {"controller", ownership::is_controller(state.ownership, now)},
            {"epoch", QString::number(state.ownership.epoch.value())},
            {"authority", authority.has_value() && *authority > now},
            {"store_reachable", state.ownership.store_reachable},
            {"requests_in_flight", static_cast<qint64>(requests::requests_in_flight(state.requests))},
            {"facts", static_cast<qint64>(state.membership.fact_count())},
            {"members", members_of(state)},
            {"backend_servers", backend_servers_of(state, now)},
            {"ranges", ranges_of(state)},
            {"service_states", service_states_of(state)},
            {"restrictions", restrictions_of(state)}};
}

QJsonObject explanation_of(const core::state& state, const std::string& service, const std::string& key) {
    const auto hash = base::key_hash(key);
    const auto found = ownership::explain(state.ownership, model::service_id(service), hash);
    return {{"service", text(service)},
            {"key", text(key)},
            {"hash", QString::number(hash)},
            {"known", found.known},
            {"data_centre", id_text(found.data_centre)},
            {"owner", id_text(found.owner)},
            {"fence", fence_text(found.fence)},
            {"successor", id_text(found.successor)},
            {"successor_fence", fence_text(found.successor_fence)},
            {"active", found.active},
            {"active_owner", id_text(found.active_owner)},
            {"active_fence", fence_text(found.active_fence)},
            {"home", id_text(requests::home_of(state.requests, found.active_owner))},
            {"row_version", static_cast<qint64>(found.row_version)},
            {"since_epoch", QString::number(found.since.value())},
            {"reason", text(ownership::name_of(found.reason))}};
}

void set_gauges(telemetry::metrics& metrics, const core::state& state, base::boot_time now,
                const peers::peer_transport& peers, const platform::store_client& store) {
    metrics.set("lovagetack_configuration_version", {}, static_cast<double>(state.deployment_version));
    metrics.set("lovagetack_ready", {}, state.ready ? 1 : 0);
    metrics.set("lovagetack_controller", {}, ownership::is_controller(state.ownership, now) ? 1 : 0);
    metrics.set("lovagetack_store_reachable", {}, state.ownership.store_reachable ? 1 : 0);
    metrics.set("lovagetack_requests_in_flight", {}, static_cast<double>(requests::requests_in_flight(state.requests)));
    metrics.set("lovagetack_members", {}, static_cast<double>(state.membership.members().size()));
    metrics.set("lovagetack_facts", {}, static_cast<double>(state.membership.fact_count()));
    metrics.set("lovagetack_processor_seconds_total", {}, processor_seconds());
    metrics.set("lovagetack_resident_bytes", {}, resident_bytes());
    metrics.set("lovagetack_peer_bytes_sent_total", {}, static_cast<double>(peers.counters().bytes_sent));
    metrics.set("lovagetack_peer_bytes_received_total", {}, static_cast<double>(peers.counters().bytes_received));
    metrics.set("lovagetack_peer_messages_sent_total", {}, static_cast<double>(peers.counters().messages_sent));
    metrics.set("lovagetack_store_calls_total", {}, static_cast<double>(store.counters().calls));
    metrics.set("lovagetack_store_conflicts_total", {}, static_cast<double>(store.counters().conflicts));
    metrics.set("lovagetack_store_unknown_total", {}, static_cast<double>(store.counters().unknown));
    set_server_gauges(metrics, state, now);
    set_ownership_gauges(metrics, state);
}

} // namespace lovagetack::service
