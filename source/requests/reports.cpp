#include "requests/reports.hpp"

#include <algorithm>
#include <vector>

#include "base/json.hpp"
#include "model/load_report.hpp"
#include "requests/choice.hpp"

namespace lovagetack::requests {

namespace {

/// Adds the keys with a considerable share of the requests, most frequent first. Reports go to the controller every 2
/// s, and it does not act on less frequent keys.
void add_hot_keys(const service_record& service, model::load_report& report) {
    std::uint64_t total = 0;
    for (const auto& [bounds, requests] : service.range_counts) {
        total += requests;
    }
    std::vector<model::hot_key> keys;
    for (const auto& [hash, counter] : service.hot_keys.counters()) {
        if ((counter.count - counter.error) * reported_key_divisor >= total) {
            keys.push_back({service.configuration.id, hash, counter.count, counter.error});
        }
    }
    std::sort(keys.begin(), keys.end(), [](const model::hot_key& left, const model::hot_key& right) {
        return left.count - left.error > right.count - right.error;
    });
    keys.resize(std::min(keys.size(), maximum_reported_keys));
    report.hot_keys.insert(report.hot_keys.end(), keys.begin(), keys.end());
}

void add_service(service_record& service, model::load_report& report) {
    for (const auto& [bounds, requests] : service.range_counts) {
        report.ranges.push_back({service.configuration.id, bounds.first, bounds.second, requests});
    }
    add_hot_keys(service, report);
    service.range_counts.clear();
    service.hot_keys.clear();
}

void add_server(server_record& server, model::load_report& report) {
    report.backend_servers.push_back({server.configuration.id, server.requests_since_report, server.outstanding,
                                      static_cast<std::int32_t>(server.queue.size())});
    server.requests_since_report = 0;
}

std::chrono::microseconds median_of(context& ctx, const service_record& service) {
    std::vector<std::chrono::microseconds> medians;
    for (const auto& id : service.servers) {
        const auto* server = ctx.server(id);
        if (server != nullptr && !server->latency.empty()) {
            medians.push_back(server->latency.median());
        }
    }
    if (medians.empty()) {
        return std::chrono::microseconds(0);
    }
    const auto middle = medians.begin() + static_cast<std::ptrdiff_t>((medians.size() - 1) / 2);
    std::nth_element(medians.begin(), middle, medians.end());
    return *middle;
}

} // namespace

void count_request(context& ctx, const exchange& exchange, server_record& server) {
    if (exchange.attempts > 0) {
        return;
    }
    server.requests_since_report += 1;
    auto& service = *ctx.service(exchange.request.service);
    if (!service.configuration.divided_by_key) {
        return;
    }
    service.hot_keys.add(exchange.hash);
    if (const auto* range = range_of(service, exchange)) {
        service.range_counts[{range->first, range->last}] += 1;
    }
}

void publish_report(context& ctx) {
    auto& state = ctx.state;
    if (ctx.now - state.reported_at < report_period) {
        return;
    }
    state.reported_at = ctx.now;
    model::load_report report;
    report.instance = state.self.instance;
    for (auto& [id, service] : state.services) {
        add_service(service, report);
    }
    for (auto& [id, server] : state.servers) {
        if (server.home == state.self.instance) {
            add_server(server, report);
        }
    }
    state.report_sequence += 1;
    model::fact fact;
    fact.kind = model::fact_kind::load_report;
    fact.name = state.self.instance.value();
    fact.version = {state.self.incarnation.value(), state.report_sequence};
    fact.value = base::to_json_text(report);
    ctx.emit(model::publish_fact{std::move(fact)});
}

void update_medians(context& ctx) {
    if (ctx.now - ctx.state.medians_at < median_period) {
        return;
    }
    ctx.state.medians_at = ctx.now;
    for (auto& [id, service] : ctx.state.services) {
        service.median_of_servers = median_of(ctx, service);
    }
}

} // namespace lovagetack::requests
