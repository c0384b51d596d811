#include "routing/renewing.hpp"

#include <algorithm>

#include "routing/granting.hpp"
#include "routing/log_fields.hpp"

namespace lovagetack::routing {
namespace {

std::optional<std::chrono::milliseconds> age_of(base::boot_time at, base::boot_time now) {
    if (at == base::boot_time()) {
        return std::nullopt;
    }
    return std::chrono::duration_cast<std::chrono::milliseconds>(now - at);
}

renewal_status status_of(const renewal_order& order, const renewal_record& record, base::boot_time now) {
    renewal_status status;
    status.order = order;
    status.under_way = record.under_way;
    status.superseded = record.superseded;
    status.failures_in_row = record.failures_in_row;
    status.sent = age_of(std::max(record.sent_at, record.granted_at), now);
    status.accepted = age_of(record.accepted_at, now);
    status.unanswered = age_of(record.unanswered_at, now);
    return status;
}

void send_report(step& step) {
    auto& renewer = step.state.renewer;
    renewer.next_report = step.now + renewer_report_period;
    renewal_report report;
    report.renewer = step.state.self.instance;
    report.incarnation = step.state.self.incarnation;
    report.term = renewer.term;
    report.sequence = renewer.sequence;
    report.reported_at = step.now;
    for (const auto& [order, record] : renewer.renewals) {
        report.renewals.push_back(status_of(order, record, step.now));
    }
    step.add(send_renewal_report{renewer.keeper, std::move(report)});
}

/// Registration of the server's run that the order names; null if that run is not known.
const backend_server* server_of(const state& state, const renewal_order& order) {
    const auto found = state.servers.find(order.server);
    const bool same_run = found != state.servers.end() && found->second.registration.born == order.server_born;
    return same_run ? &found->second.registration : nullptr;
}

void renew(step& step, const renewal_order& order, renewal_record& record) {
    const bool due = step.now - record.sent_at >= renewal_period && step.now <= step.state.renewer.permitted_until;
    const auto* const server = server_of(step.state, order);
    if (!due || record.under_way || record.superseded || server == nullptr) {
        return;
    }
    record.under_way = true;
    record.sent_at = step.now;
    step.add(
        grant_range{order.service, order.server, server->address, order.first, order.last, order.fence, hold_time, {}});
}

} // namespace

void accept_orders(step& step, const renewal_orders& event) {
    auto& renewer = step.state.renewer;
    const bool new_term = event.term > renewer.term;
    if (!new_term && (event.term < renewer.term || event.sequence < renewer.sequence)) {
        return;
    }
    if (new_term) {
        renewer.permitted_until = {};
        step.add(log_line{false,
                          "renewals_ordered",
                          {text_field("keeper", event.keeper.value()), number_field("term", event.term),
                           number_field("orders", event.orders.size())}});
    }
    renewer.keeper = event.keeper;
    renewer.ordered_at = step.now;
    if (event.renewer_incarnation == step.state.self.incarnation) {
        renewer.permitted_until = std::max(renewer.permitted_until, event.reported_at + event.valid_for);
    }
    if (new_term || event.sequence != renewer.sequence) {
        renewer.term = event.term;
        renewer.sequence = event.sequence;
        renewer.next_report = step.now;
        for (auto& [order, record] : renewer.renewals) {
            record.ordered = false;
        }
        for (const auto& order : event.orders) {
            renewer.renewals[order].ordered = true;
        }
    }
    run_renewals(step);
}

bool end_renewal(step& step, const grant_ended& event) {
    const auto found = std::find_if(
        step.state.renewer.renewals.begin(), step.state.renewer.renewals.end(), [&event](const auto& entry) {
            const auto& order = entry.first;
            return entry.second.under_way && order.service == event.service && order.server == event.server &&
                   order.first == event.first && order.last == event.last && order.fence == event.fence;
        });
    if (found == step.state.renewer.renewals.end()) {
        return false;
    }
    auto& record = found->second;
    record.under_way = false;
    if (event.outcome != grant_outcome::refused) {
        record.granted_at = step.now;
    }
    switch (event.outcome) {
    case grant_outcome::accepted:
        record.failures_in_row = 0;
        record.accepted_at = std::max(record.accepted_at, record.sent_at);
        return true;
    case grant_outcome::superseded:
        record.superseded = true;
        step.state.renewer.next_report = step.now;
        break;
    case grant_outcome::unanswered:
        record.unanswered_at = step.now;
        break;
    case grant_outcome::refused:
        break;
    }
    ++record.failures_in_row;
    step.add(log_line{true,
                      "renewal_failed",
                      {text_field("service", event.service.value()), text_field("server", event.server.value()),
                       number_field("first", event.first), number_field("fence", event.fence),
                       text_field("outcome", std::string(name_of(event.outcome)))}});
    return true;
}

void run_renewals(step& step) {
    auto& renewer = step.state.renewer;
    if (renewer.term == 0) {
        return;
    }
    for (auto& [order, record] : renewer.renewals) {
        if (record.ordered) {
            renew(step, order, record);
        }
    }
    // A dropped renewal is reported until its server can no longer carry it out.
    std::erase_if(renewer.renewals, [&step](const auto& entry) {
        const auto& record = entry.second;
        return !record.ordered && !record.under_way &&
               step.now - std::max(record.sent_at, record.granted_at) > longest_hold();
    });
    const bool keeper_listens = step.now - renewer.ordered_at < renewer_permit;
    if (step.now >= renewer.next_report && keeper_listens) {
        send_report(step);
    }
}

} // namespace lovagetack::routing
