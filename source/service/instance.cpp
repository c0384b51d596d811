#include "service/instance.hpp"

#include <chrono>
#include <type_traits>
#include <utility>

#include <QCoreApplication>

#include "base/key_hash.hpp"
#include "base/unix_time.hpp"
#include "service/status.hpp"

namespace lovagetack::service {
namespace {

constexpr std::chrono::milliseconds tick_interval{20};
constexpr std::chrono::milliseconds backend_server_poll_interval{500};
/// The platform updates its list with a delay, so a shorter interval would return the same data.
constexpr std::chrono::milliseconds instance_list_interval{5000};
constexpr std::size_t timeline_capacity = 8192;
constexpr std::chrono::seconds unused_grant_connection_time{30};

/// Delay before exit in which the last messages to peers are sent, since sockets to peers close without waiting for
/// unsent data. If the fact that this member left is lost, the other instances notice only through failure detection.
constexpr std::chrono::milliseconds peer_flush_delay{200};

/// Successful requests that take less time than this are left out of the time line and appear only in the metrics.
constexpr std::chrono::milliseconds slow_request{250};

model::incarnation new_incarnation() {
    return model::incarnation(static_cast<std::uint64_t>(base::unix_time_now().count()));
}

core::identity identity_of(const settings::instance_settings& settings) {
    core::identity identity;
    identity.self.id = settings.name;
    identity.self.data_centre = settings.data_centre;
    identity.self.incarnation = new_incarnation();
    identity.self.peer_address = settings.advertised_peers;
    identity.self.caller_address = settings.advertised_callers;
    identity.self.admin_address = settings.operators;
    identity.seeds = settings.seeds;
    return identity;
}

std::string duration_text(std::chrono::microseconds value) {
    return std::to_string(value.count());
}

model::timeline_entry entry_of(const requests::request_finished& request) {
    return {"request_finished",
            {{"request", request.request.value()},
             {"service", request.service.value()},
             {"key", request.key},
             {"backend_server", request.backend_server.value()},
             {"status", std::to_string(request.status)},
             {"code", std::to_string(request.code)},
             {"attempts", std::to_string(request.attempts)},
             {"relayed", request.relayed ? "true" : "false"},
             {"queued_us", duration_text(request.queued_for)},
             {"total_us", duration_text(request.total)}}};
}

} // namespace

instance::instance(const settings::instance_settings& settings)
    : settings_(settings), identity_(identity_of(settings)), state_(identity_),
      log_(settings.name.value(), telemetry::read_log_level(settings.log_level), settings.log_file),
      timeline_(settings.name.value(), timeline_capacity), recorder_(settings.record_file, identity_),
      random_(std::random_device{}()) {}

base::result<std::unique_ptr<instance>> instance::create(const settings::instance_settings& settings) {
    std::unique_ptr<instance> created(new instance(settings));
    BOOST_OUTCOME_TRYV(created->start());
    return created;
}

base::result<void> instance::start() {
    store_ = std::make_unique<platform::store_client>(
        settings_.platform, platform::store_client::default_timeout,
        [this](const model::store_reply& reply) { post_in_order(reply); },
        [this](const membership::instances_listed& listed) { post_in_order(listed); });
    grants_ = std::make_unique<platform::grant_client>(
        platform::grant_limits{}, [this](const ownership::grant_answered& answered) { post_in_order(answered); });
    load_poller_ = std::make_unique<load_poller>(
        [this](const requests::backend_server_observed& observed) { post_in_order(observed); });
    BOOST_OUTCOME_TRY(transport,
                      peers::peer_transport::create(
                          {identity_.self.id, identity_.self.incarnation, settings_.peers}, peers::peer_limits{},
                          [this](const model::peer_message& message) { post_in_order(message); }));
    peers_ = std::move(transport);
    peers_->use_clock(timeline_.clock());

    request_executor::settings executor_settings{.instance = identity_.self.id};
    executor_settings.limits.connections = static_cast<std::size_t>(settings_.limits.connections);
    executor_settings.limits.header_time = settings_.limits.header_time;
    executor_settings.limits.idle_time = settings_.limits.idle_time;
    executor_ = std::make_unique<request_executor>(
        std::move(executor_settings),
        request_executor::hooks{
            .on_event =
                [this](requests::event event) {
                    std::visit(
                        [this](auto& received) {
                            using received_type = std::decay_t<decltype(received)>;
                            if constexpr (std::is_constructible_v<core::event_body, received_type>) {
                                post(std::move(received));
                            }
                        },
                        event);
                },
            .random = [this] { return random_(); },
            .queue_length_of =
                [this](const model::backend_server_id& server) {
                    return requests::queue_at_home(state_.requests, server);
                }});
    BOOST_OUTCOME_TRYV(executor_->listen(settings_.callers));

    admin_ = std::make_unique<admin_server>(*this);
    BOOST_OUTCOME_TRYV(admin_->listen(settings_.operators));
    start_timers();
    carry_out(model::timeline_entry{"instance_started",
                                    {{"incarnation", std::to_string(identity_.self.incarnation.value())},
                                     {"data_centre", identity_.self.data_centre.value()}}});
    return base::success();
}

void instance::start_timers() {
    tick_timer_.setTimerType(Qt::PreciseTimer);
    QObject::connect(&tick_timer_, &QTimer::timeout, &tick_timer_, [this] { post_in_order(model::tick{}); });
    tick_timer_.start(tick_interval);
    QObject::connect(&backend_server_timer_, &QTimer::timeout, &backend_server_timer_,
                     [this] { poll_backend_servers(); });
    backend_server_timer_.start(backend_server_poll_interval);
    QObject::connect(&instance_list_timer_, &QTimer::timeout, &instance_list_timer_, [this] {
        store_->list_instances();
        grants_->close_unused(unused_grant_connection_time);
    });
    instance_list_timer_.start(instance_list_interval);
    store_->list_instances();
}

void instance::post_in_order(core::event_body body) {
    if (executor_) {
        executor_->flush_events();
    }
    post(std::move(body));
}

void instance::post(core::event_body body) {
    pending_.push_back(std::move(body));
    if (processing_) {
        return;
    }
    processing_ = true;
    while (!pending_.empty()) {
        core::event_body next = std::move(pending_.front());
        pending_.pop_front();
        process(std::move(next));
    }
    processing_ = false;
}

void instance::process(core::event_body body) {
    const core::event event{base::boot_clock::now(), random_(), std::move(body)};
    const auto effects = core::reduce(state_, event);
    recorder_.record(event, effects);
    for (const auto& effect : effects) {
        std::visit([this](const auto& output) { carry_out(output); }, effect);
    }
    // A later process with the same name is running; shut down, since two processes must not act as one instance.
    if (state_.membership.is_superseded() && !shutting_down_) {
        carry_out(model::timeline_entry{"instance_superseded", {}});
        QTimer::singleShot(0, &tick_timer_, [this] { shut_down([] { QCoreApplication::exit(0); }); });
    }
}

void instance::poll_backend_servers() {
    std::vector<model::backend_server> home_servers;
    for (const auto& server : deployment_.backend_servers) {
        if (requests::home_of(state_.requests, server.id) == identity_.self.id) {
            home_servers.push_back(server);
        }
    }
    load_poller_->poll(home_servers);
}

void instance::carry_out(const model::send_peer_message& effect) {
    peers_->send(effect);
}

void instance::carry_out(const model::store_read& effect) {
    store_->execute(effect);
}

void instance::carry_out(const model::store_transaction& effect) {
    store_->execute(effect);
}

void instance::carry_out(const model::deployment_changed& effect) {
    deployment_ = effect.deployment;
    executor_->set_deployment(deployment_);
}

void instance::carry_out(const model::timeline_entry& effect) {
    timeline_.add(effect);
    log_.write(telemetry::log_level::info, base::boot_clock::now(), effect);
    metrics_.count("lovagetack_events_total", {{"event", effect.name}});
}

void instance::carry_out(const ownership::send_grant_poll& effect) {
    grants_->execute(effect);
}

void instance::carry_out(const requests::limit_connections& effect) {
    executor_->execute(effect);
    // A new home instance ramps a backend server until it has read the backend server's uptime.
    const auto* server = model::find_backend_server(deployment_, effect.backend_server);
    if (server != nullptr && effect.connections > 0) {
        load_poller_->poll({*server});
    }
}

void instance::carry_out(const requests::request_finished& effect) {
    const auto outcome = effect.code == 0 ? "answered" : std::to_string(effect.code);
    metrics_.observe(
        "lovagetack_request_seconds",
        {{"service", effect.service.value()}, {"outcome", outcome}, {"relayed", effect.relayed ? "true" : "false"}},
        effect.total);
    metrics_.observe("lovagetack_queue_seconds", {{"service", effect.service.value()}}, effect.queued_for);
    if (effect.attempts > 1) {
        metrics_.count("lovagetack_retries_total", {{"service", effect.service.value()}},
                       static_cast<std::uint64_t>(effect.attempts - 1));
    }
    const bool on_timeline = effect.code != 0 || effect.total >= slow_request;
    const auto level = effect.code == 0 ? telemetry::log_level::debug : telemetry::log_level::info;
    if (!on_timeline && !log_.writes(level)) {
        return;
    }
    const auto entry = entry_of(effect);
    if (on_timeline) {
        timeline_.add(entry);
    }
    log_.write(level, base::boot_clock::now(), entry);
}

template <class Effect>
void instance::carry_out(const Effect& effect) {
    executor_->execute(effect);
}

void instance::shut_down(std::function<void()> done) {
    if (shutting_down_) {
        carry_out(model::timeline_entry{"shutdown_forced", {}});
        done();
        return;
    }
    shutting_down_ = true;
    carry_out(model::timeline_entry{"shutdown_started", {}});
    post(model::shutdown_started{});
    QTimer::singleShot(settings_.limits.shutdown_time, &tick_timer_, [this, done] {
        carry_out(model::timeline_entry{"shutdown_limit_reached", {}});
        done();
    });
    executor_->stop([this, done] {
        carry_out(model::timeline_entry{"shutdown_finished", {}});
        QTimer::singleShot(peer_flush_delay, &tick_timer_, done);
    });
}

bool instance::is_ready() const {
    return state_.ready && !shutting_down_;
}

std::string instance::metrics_text() {
    set_gauges(metrics_, state_, base::boot_clock::now(), *peers_, *store_);
    return metrics_.text();
}

QJsonObject instance::status() const {
    return status_of(state_, base::boot_clock::now(), shutting_down_);
}

QJsonObject instance::explain(const std::string& service, const std::string& key) const {
    return explanation_of(state_, service, key);
}

std::string instance::timeline_text(std::uint64_t after) const {
    return timeline_.json_lines(after);
}

void instance::set_service_state(const model::service_state& state) {
    post(configuration::service_state_ordered{state});
}

} // namespace lovagetack::service
