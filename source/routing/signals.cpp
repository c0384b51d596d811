#include "routing/signals.hpp"

#include <algorithm>

#include "routing/limits.hpp"
#include "routing/log_fields.hpp"
#include "routing/requests.hpp"

namespace lovagetack::routing {
namespace {

void forget_leaving(step& step, server_record& server, const std::string& reason) {
    if (!server.stated.leaving_since) {
        return;
    }
    server.stated.leaving_since.reset();
    step.add(log_line{false,
                      "server_leaving_forgotten",
                      {text_field("server", server.registration.id.value()),
                       number_field("born", server.registration.born), text_field("reason", reason)}});
}

void note_leaving(step& step, server_record& server) {
    server.stated.leaving_heard_at = step.now;
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
    place_unsent_elsewhere(step, id);
}

/// Whether the registry has shown the server as ready for so long that its word cannot be true.
bool is_contradicted(const step& step, const server_record& server) {
    const auto since = std::max(server.stated.leaving_heard_at, step.state.store_reached_since);
    return server.registered && !server.leaving_since && step.state.store_reachable &&
           step.now - since >= leaving_memory;
}

} // namespace

void note_signals(step& step, const signals_received& event) {
    const auto found = step.state.exchanges.find(event.exchange);
    if (found == step.state.exchanges.end() || found->second.attempt != event.attempt) {
        return;
    }
    const auto& exchange = found->second;
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
    if (event.signals.leaving) {
        note_leaving(step, server->second);
    }
}

void forget_statements(step& step, server_record& server) {
    forget_leaving(step, server, "restarted");
    step.state.stating_servers.erase(server.registration.id);
}

void run_statements(step& step) {
    std::erase_if(step.state.stating_servers, [&step](const model::backend_server_id& id) {
        auto& server = step.state.servers.at(id);
        if (is_contradicted(step, server)) {
            forget_leaving(step, server, "contradicted");
        }
        return !server.stated.leaving_since;
    });
}

} // namespace lovagetack::routing
