#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <string>

#include <QTimer>

#include "base/result.hpp"
#include "gateway/explainer.hpp"
#include "gateway/load_exchange.hpp"
#include "gateway/memory_log.hpp"
#include "gateway/operators_server.hpp"
#include "gateway/ports.hpp"
#include "gateway/relay.hpp"
#include "gateway/settings.hpp"
#include "routing/state.hpp"
#include "telemetry/event_log.hpp"
#include "telemetry/metrics.hpp"

namespace lovagetack::gateway {

/// A platform's implementations of the ports; provided by the caller of gateway::create.
struct platform_adapters {
    std::unique_ptr<dialect_port> dialect;
    std::function<std::unique_ptr<store_port>(event_handler)> make_store;
    std::function<std::unique_ptr<grant_port>(event_handler)> make_grants;
};

/// One instance: passes events to the routing decisions and executes the effects that these return.
class gateway {
public:
    /// Fails with address_in_use.
    static base::result<std::unique_ptr<gateway>> create(settings values, platform_adapters adapters);

    gateway(settings values, platform_adapters adapters);
    gateway(const gateway&) = delete;
    gateway& operator=(const gateway&) = delete;

    /// Lets open requests end within the grace period and answers those that do not, then calls `on_stopped`.
    void shut_down(std::function<void()> on_stopped);
    /// Takes over the grace period and the heartbeat period from settings that were read again.
    void reload(const settings& values);

private:
    base::result<void> listen();
    /// Queues the event and processes the queue, unless the queue is being processed already.
    void handle(const routing::event& event);
    void process(const routing::event& event);
    void execute(const routing::log_line& line);
    void execute(const routing::request_delivered& effect);
    void execute(const routing::send_request& effect) { relay_.execute(effect); }
    void execute(const routing::cancel_attempt& effect) { relay_.execute(effect); }
    void execute(const routing::report_answer_progress& effect) { relay_.execute(effect); }
    void execute(const routing::deliver_answer& effect) { relay_.execute(effect); }
    void execute(const routing::answer_caller& effect) { relay_.execute(effect); }
    void execute(const routing::send_load& effect) { load_exchange_.send(effect, state_.instances); }
    void execute(const routing::send_change& effect) {
        load_exchange_.send(effect, state_.self.instance, state_.instances);
    }
    void execute(const routing::send_renewal_orders& effect) { load_exchange_.send(effect, state_.instances); }
    void execute(const routing::send_renewal_report& effect) { load_exchange_.send(effect, state_.instances); }
    void execute(const routing::follow_store& effect) { store_->execute(effect); }
    void execute(const routing::apply_table_change& effect) { store_->execute(effect); }
    void execute(const routing::catch_up& effect) { store_->execute(effect); }
    void execute(const routing::send_heartbeat& effect) { load_exchange_.send(effect, state_.instances); }
    void execute(const routing::send_slot_request& effect) { load_exchange_.send(effect, state_.instances); }
    void execute(const routing::send_slot_answer& effect) { load_exchange_.send(effect, state_.instances); }
    void execute(const routing::send_slot_release& effect) { load_exchange_.send(effect, state_.instances); }
    void execute(const routing::send_slot_report& effect) { load_exchange_.send(effect, state_.instances); }
    void execute(const routing::send_allowance_message& effect) { load_exchange_.send(effect, state_.instances); }
    void execute(const routing::send_table_change& effect) {
        load_exchange_.send(effect, state_.self.instance, state_.instances);
    }
    void execute(const routing::request_table_changes& effect) { load_exchange_.send(effect, state_.instances); }
    void execute(const routing::send_known_changes& effect);
    void execute(const routing::probe_server& effect) { relay_.execute(effect); }
    void execute(const routing::send_strike& effect) { load_exchange_.send(effect, state_.instances); }
    void execute(const routing::send_objection& effect) { load_exchange_.send(effect, state_.instances); }
    void execute(const routing::write_quarantine& effect) { store_->execute(effect); }
    void execute(const routing::lift_quarantine& effect) { store_->execute(effect); }
    void execute(const routing::grant_range& effect) { grants_->execute(effect); }
    void execute(const routing::release_range& effect) { grants_->execute(effect); }
    void execute(const routing::read_lease& effect) { store_->execute(effect); }
    void execute(const routing::read_assignments& effect) { store_->execute(effect); }
    void execute(const routing::refresh_assignments& effect) { store_->execute(effect); }
    void execute(const routing::write_rows& effect) { store_->execute(effect); }
    void tick();
    void continue_shutdown();
    void log_event(bool warning, const std::string& name, std::vector<model::timeline_field> fields);
    void log_request_summary();
    void log_memory_refusals(base::boot_time now);
    [[nodiscard]] std::string metrics_text();

    settings settings_;
    platform_adapters adapters_;
    telemetry::event_log log_;
    routing::state state_;
    explainer explainer_;
    relay relay_;
    load_exchange load_exchange_;
    operators_server readiness_server_;
    operators_server metrics_server_;
    telemetry::metrics metrics_;
    memory_log memory_log_;
    std::unique_ptr<store_port> store_;
    std::unique_ptr<grant_port> grants_;
    std::deque<routing::event> events_;
    bool processing_ = false;
    bool was_ready_ = false;
    std::uint64_t limits_version_ = 0;
    QTimer tick_timer_;
    base::boot_time last_check_at_;
    base::boot_time last_summary_at_;
    base::boot_time shutdown_started_at_;
    std::function<void()> on_stopped_;
    // Steps of the shutdown that have been done.
    bool closing_ = false;
    bool sends_nothing_more_ = false;
    bool ending_ = false;
};

} // namespace lovagetack::gateway
