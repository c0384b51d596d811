#include "routing/signals.hpp"

#include <algorithm>
#include <optional>
#include <string>

#include "routing/exchanges.hpp"
#include "routing/limits.hpp"
#include "routing/log_fields.hpp"
#include "routing/requests.hpp"
#include "routing/servers.hpp"

namespace lovagetack::routing {
namespace {

void forget_leaving(step& step, server_record& server, const std::string& reason) {
    if (!server.stated.leaving_since) {
        return;
    }
    server.stated.leaving_since.reset();
    server.stated.leaving_heard_here = false;
    step.add(log_line{false,
                      "server_leaving_forgotten",
                      {text_field("server", server.registration.id.value()),
                       number_field("born", server.registration.born), text_field("reason", reason)}});
}

void note_leaving(step& step, server_record& server, base::boot_time heard_at) {
    server.stated.leaving_heard_at = std::max(server.stated.leaving_heard_at, heard_at);
    if (server.stated.leaving_since) {
        return;
    }
    const auto& id = server.registration.id;
    server.stated.leaving_since = step.now;
    step.state.stating_servers.insert(id);
    step.add(log_line{false,
                      "server_states_leaving",
                      {text_field("server", id.value()), number_field("born", server.registration.born),
                       number_field("registered", server.registered ? 1 : 0),
                       number_field("draining", server.leaving_since ? 1 : 0)}});
    place_unsent_elsewhere(step, id, false);
}

void note_pause(step& step, server_record& server, std::chrono::milliseconds pause) {
    const auto& id = server.registration.id;
    const bool begins = !is_pausing(server, step.now);
    const auto spread = std::min(longest_pause_spread, std::chrono::microseconds(pause) * pause_spread_percent / 100);
    const std::chrono::microseconds added(step.state.random() % static_cast<std::uint64_t>(spread.count() + 1));
    server.stated.paused_until = std::max(server.stated.paused_until, step.now + pause + added);
    server.stated.most_after_pause = 1;
    server.stated.sent_after_pause = 0;
    step.state.stating_servers.insert(id);
    if (!begins) {
        return;
    }
    ++step.state.stated_pauses;
    step.add(log_line{false,
                      "server_states_pause",
                      {text_field("server", id.value()), text_field("service", server.registration.service.value()),
                       number_field("pause_ms", pause.count())}});
    place_unsent_elsewhere(step, id, true);
}

/// Whether the registry has shown the server as ready for so long that its word cannot be true.
bool is_contradicted(const step& step, const server_record& server) {
    const auto since = std::max(server.stated.leaving_heard_at, step.state.store_reached_since);
    return server.registered && !server.leaving_since && step.state.store_reachable &&
           step.now - since >= leaving_memory;
}

} // namespace

void note_signals(step& step, const signals_received& event) {
    auto* const current = find_attempt(step, event.exchange, event.attempt);
    if (current == nullptr) {
        return;
    }
    auto& exchange = *current;
    if (!event.signals.faults.empty()) {
        step.add(log_line{true,
                          "server_signal_fault",
                          {text_field("request", exchange.request.request),
                           text_field("server", exchange.server.value()), text_field("fault", event.signals.faults)}});
    }
    const auto server = step.state.servers.find(exchange.server);
    // The answer of a run that has been replaced says nothing of the next.
    if (server == step.state.servers.end() || server->second.registration.born != exchange.server_born) {
        return;
    }
    exchange.signals = event.signals;
    if (event.signals.leaving) {
        server->second.stated.leaving_heard_here = true;
        step.state.load_changed = true;
        note_leaving(step, server->second, step.now);
    }
    if (event.signals.pause.count() > 0) {
        note_pause(step, server->second, event.signals.pause);
    }
}

void note_told_leaving(step& step, server_record& server, std::uint64_t born, std::chrono::milliseconds age) {
    if (born != 0 && born == server.registration.born && age < leaving_memory) {
        note_leaving(step, server, step.now - age);
    }
}

void note_end_after_pause(server_record& server, const exchange& exchange, attempt_outcome outcome) {
    auto& stated = server.stated;
    const bool answered = outcome == attempt_outcome::delivered || outcome == attempt_outcome::failed;
    if (stated.most_after_pause == 0 || !answered || exchange.attempt_at < stated.paused_until) {
        return;
    }
    stated.most_after_pause *= 2;
    if (stated.most_after_pause > server.registration.slots + static_cast<std::int32_t>(largest_spare_window)) {
        stated.most_after_pause = 0;
        stated.sent_after_pause = 0;
    }
}

bool is_pausing(const server_record& server, base::boot_time now) {
    return server.stated.paused_until > now;
}

bool accepts_from_here(const server_record& server, base::boot_time now) {
    const auto& stated = server.stated;
    return !is_pausing(server, now) &&
           (stated.most_after_pause == 0 || stated.sent_after_pause < stated.most_after_pause);
}

std::chrono::milliseconds stated_wait(const step& step, const exchange& exchange) {
    const auto& state = step.state;
    if (state.stating_servers.empty()) {
        return std::chrono::milliseconds(0);
    }
    std::optional<base::boot_time> earliest;
    const key_range* range = nullptr;
    if (divided_by_key(state, exchange.service)) {
        const auto service = state.services.find(exchange.service);
        if (service == state.services.end() || !exchange.request.key) {
            return std::chrono::milliseconds(0);
        }
        range = find_range(service->second.assignment, *exchange.request.key);
        if (range == nullptr || range->moving()) {
            return std::chrono::milliseconds(0);
        }
    }
    for (const auto& [id, server] : state.servers) {
        const bool is_other = range != nullptr && range->owner != id;
        const bool is_out =
            !server.registered || is_leaving(server) || state.evacuated.contains(server.registration.data_centre);
        if (server.registration.service != exchange.service || is_other || (range == nullptr && is_out)) {
            continue;
        }
        if (!is_pausing(server, step.now)) {
            return std::chrono::milliseconds(0);
        }
        earliest = std::min(earliest.value_or(server.stated.paused_until), server.stated.paused_until);
    }
    return earliest ? std::chrono::ceil<std::chrono::milliseconds>(*earliest - step.now) : std::chrono::milliseconds(0);
}

void forget_statements(step& step, server_record& server) {
    forget_leaving(step, server, "restarted");
    server.stated = {};
    step.state.stating_servers.erase(server.registration.id);
}

void run_statements(step& step) {
    std::erase_if(step.state.stating_servers, [&step](const model::backend_server_id& id) {
        auto& server = step.state.servers.at(id);
        if (is_contradicted(step, server)) {
            forget_leaving(step, server, "contradicted");
        }
        return !server.stated.leaving_since && server.stated.most_after_pause == 0;
    });
}

} // namespace lovagetack::routing
