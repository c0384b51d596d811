#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <random>

#include <QTimer>

#include "base/result.hpp"
#include "core/reduce.hpp"
#include "peers/peer_transport.hpp"
#include "platform/grant_client.hpp"
#include "platform/store_client.hpp"
#include "service/admin_server.hpp"
#include "service/load_poller.hpp"
#include "service/request_executor.hpp"
#include "service/trace_recorder.hpp"
#include "settings/instance_settings.hpp"
#include "telemetry/event_log.hpp"
#include "telemetry/metrics.hpp"
#include "telemetry/timeline_buffer.hpp"

namespace lovagetack::service {

/// One entry instance: passes every event to the reducer and carries out the resulting effects.
class instance final : public admin_server::source {
public:
    /// Binds all addresses and starts. Errors: address_in_use.
    static base::result<std::unique_ptr<instance>> create(const settings::instance_settings& settings);

    instance(const instance&) = delete;
    instance& operator=(const instance&) = delete;
    ~instance() override = default;

    /// Accepts no new work, waits for everything in flight, at most for shutdown_time, and then calls the function. A
    /// second call calls the function at once.
    void shut_down(std::function<void()> done);

private:
    explicit instance(const settings::instance_settings& settings);

    base::result<void> start();
    void start_timers();

    /// Posts after the events that the request executor has not delivered yet: the reducer must know that a byte of a
    /// request was sent before it receives the event that a deadline has passed.
    void post_in_order(core::event_body body);
    void post(core::event_body body);
    void process(core::event_body body);
    void poll_backend_servers();

    void carry_out(const model::send_peer_message& effect);
    void carry_out(const model::store_read& effect);
    void carry_out(const model::store_transaction& effect);
    void carry_out(const model::deployment_changed& effect);
    void carry_out(const model::timeline_entry& effect);
    void carry_out(const ownership::send_grant_poll& effect);
    void carry_out(const requests::limit_connections& effect);
    void carry_out(const requests::request_finished& effect);
    template <class Effect>
    void carry_out(const Effect& effect);

    // admin_server::source
    [[nodiscard]] bool is_ready() const override;
    [[nodiscard]] std::string metrics_text() override;
    [[nodiscard]] QJsonObject status() const override;
    [[nodiscard]] QJsonObject explain(const std::string& service, const std::string& key) const override;
    [[nodiscard]] std::string timeline_text(std::uint64_t after) const override;
    void set_service_state(const model::service_state& state) override;

    settings::instance_settings settings_;
    core::identity identity_;
    core::state state_;
    model::deployment deployment_;
    telemetry::event_log log_;
    telemetry::timeline_buffer timeline_;
    telemetry::metrics metrics_;
    trace_recorder recorder_;
    std::mt19937_64 random_;
    std::deque<core::event_body> pending_;
    bool processing_ = false;
    bool shutting_down_ = false;

    std::unique_ptr<platform::store_client> store_;
    std::unique_ptr<platform::grant_client> grants_;
    std::unique_ptr<peers::peer_transport> peers_;
    std::unique_ptr<request_executor> executor_;
    std::unique_ptr<load_poller> load_poller_;
    std::unique_ptr<admin_server> admin_;
    QTimer tick_timer_;
    QTimer backend_server_timer_;
    QTimer instance_list_timer_;
};

} // namespace lovagetack::service
