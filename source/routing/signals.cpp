#include "routing/signals.hpp"

#include "routing/log_fields.hpp"

namespace lovagetack::routing {

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
}

} // namespace lovagetack::routing
