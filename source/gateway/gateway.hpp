#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <string>

#include <QTimer>

#include "base/result.hpp"
#include "gateway/load_exchange.hpp"
#include "gateway/operators_server.hpp"
#include "gateway/ports.hpp"
#include "gateway/relay.hpp"
#include "gateway/settings.hpp"
#include "routing/state.hpp"
#include "telemetry/event_log.hpp"
#include "telemetry/metrics.hpp"

namespace lovagetack::gateway {

/// The parts of the platform that a gateway uses; made by the caller of gateway::create.
struct platform_parts {
    std::unique_ptr<dialect_port> dialect;
    std::function<std::unique_ptr<store_port>(event_handler)> make_store;
    std::function<std::unique_ptr<grant_port>(event_handler)> make_grants;
};

/// One entry instance: applies events to the routing decisions and carries out their effects.
class gateway {
public:
    /// Fails with address_in_use.
    static base::result<std::unique_ptr<gateway>> create(settings values, platform_parts parts);

    gateway(settings values, platform_parts parts);
    gateway(const gateway&) = delete;
    gateway& operator=(const gateway&) = delete;

    /// Lets everything in flight end, then calls the function.
    void shut_down(std::function<void()> stopped);
    /// The settings file was read again.
    void reload(const settings& values);

private:
    base::result<void> listen();
    void handle(const routing::event& event);
    void apply(const routing::event& event);
    void execute(const routing::log_line& line);
    void execute(const routing::request_delivered& effect);
    void execute(const routing::send_request& effect) { relay_.execute(effect); }
    void execute(const routing::cancel_attempt& effect) { relay_.execute(effect); }
    void execute(const routing::deliver_answer& effect) { relay_.execute(effect); }
    void execute(const routing::answer_caller& effect) { relay_.execute(effect); }
    void execute(const routing::send_load& effect) { load_exchange_.send(effect, state_.instances); }
    void execute(const routing::send_change& effect) {
        load_exchange_.send(effect, state_.self.instance, state_.instances);
    }
    void execute(const routing::grant_range& effect) { grants_->execute(effect); }
    void execute(const routing::release_range& effect) { grants_->execute(effect); }
    void execute(const routing::read_lease& effect) { store_->execute(effect); }
    void execute(const routing::read_assignments& effect) { store_->execute(effect); }
    void execute(const routing::refresh_assignments& effect) { store_->execute(effect); }
    void execute(const routing::write_rows& effect) { store_->execute(effect); }
    void tick();
    void continue_shutdown();
    void note(bool warning, const std::string& name, std::vector<model::timeline_field> fields);
    void sum_up();
    [[nodiscard]] std::string metrics_text();

    settings settings_;
    platform_parts parts_;
    telemetry::event_log log_;
    routing::state state_;
    relay relay_;
    load_exchange load_exchange_;
    operators_server operators_;
    operators_server metrics_server_;
    telemetry::metrics metrics_;
    std::unique_ptr<store_port> store_;
    std::unique_ptr<grant_port> grants_;
    std::deque<routing::event> events_;
    bool applying_ = false;
    bool was_ready_ = false;
    bool was_keeper_ = false;
    std::uint64_t limits_version_ = 0;
    QTimer ticker_;
    base::boot_time checked_at_;
    base::boot_time summed_at_;
    base::boot_time shutdown_at_;
    std::function<void()> stopped_;
    bool closing_ = false;
};

} // namespace lovagetack::gateway
