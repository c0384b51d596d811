#include "gateway/gateway.hpp"

#include <algorithm>
#include <random>
#include <utility>
#include <variant>

#include "base/unix_time.hpp"
#include "routing/accounts/allowances.hpp"
#include "routing/dispatching.hpp"
#include "routing/limits.hpp"
#include "routing/readers.hpp"
#include "routing/reduce.hpp"
#include "routing/servers.hpp"
#include "routing/signals.hpp"
#include "routing/store_version.hpp"
#include "routing/table_copy.hpp"

namespace lovagetack::gateway {
namespace {

/// Granularity of queues, renewals and time limits. Each tick costs processor time.
constexpr auto tick_period = std::chrono::milliseconds(20);
constexpr auto check_period = std::chrono::milliseconds(100);
/// Period of the log line with the totals of requests. Each request that fails also has a log line of its own.
constexpr auto summary_period = std::chrono::seconds(10);
/// The balancer and callers still open connections for this long after the request to stop.
constexpr auto accept_time_after_stop = std::chrono::milliseconds(2600);
/// Part of the grace period that is reserved for the exit of the process.
constexpr auto exit_margin = std::chrono::milliseconds(250);
/// Time before the exit at which requests that are still open are answered, so that the answers can leave.
constexpr auto answer_time = std::chrono::milliseconds(100);
/// Nothing is sent to backend servers from this time before the exit on, as it would most likely be broken off.
constexpr auto shortest_work_time = std::chrono::milliseconds(750);
/// File descriptors reserved for connections to the store, for grants and for connections to backend servers.
constexpr std::uint32_t reserved_descriptors = 1000;
/// Most connections of this instance to one backend server. The server's other connections are left to the other
/// instances.
constexpr std::size_t connections_per_server = 8;

std::uint64_t number_of(std::uint64_t ordered_version) {
    return routing::store_version::from_ordered(ordered_version).number();
}

std::size_t caller_connections(const settings& values) {
    return values.descriptors > 2 * reserved_descriptors ? values.descriptors - reserved_descriptors
                                                         : values.descriptors / 2;
}

} // namespace

base::result<std::unique_ptr<gateway>> gateway::create(settings values, platform_adapters adapters) {
    auto made = std::make_unique<gateway>(std::move(values), std::move(adapters));
    BOOST_OUTCOME_TRYV(made->listen());
    return made;
}

gateway::gateway(settings values, platform_adapters adapters)
    : settings_(std::move(values)), adapters_(std::move(adapters)),
      log_(settings_.instance.value(), telemetry::log_level::info, ""),
      state_(routing::identity{settings_.instance, settings_.data_centre,
                               static_cast<std::uint64_t>(base::unix_time_now().count()), settings_.processor,
                               settings_.data_centres},
             std::random_device{}()),
      explainer_(state_), relay_(
                              *adapters_.dialect, [this](const routing::event& event) { handle(event); },
                              caller_connections(settings_), http::limits_for_memory(settings_.memory)),
      load_exchange_([this](const routing::event& event) { handle(event); }),
      readiness_server_(*adapters_.dialect,
                        {[this] { return routing::is_ready(state_); }, [this] { return metrics_text(); }}),
      metrics_server_(*adapters_.dialect, {[] { return false; }, [this] { return metrics_text(); }, &explainer_}),
      store_(adapters_.make_store([this](const routing::event& event) { handle(event); })),
      grants_(adapters_.make_grants([this](const routing::event& event) { handle(event); })) {
    relay_.set_connection_limit(connections_per_server);
    QObject::connect(&tick_timer_, &QTimer::timeout, &tick_timer_, [this] { tick(); });
}

base::result<void> gateway::listen() {
    BOOST_OUTCOME_TRYV(relay_.listen(settings_.callers));
    BOOST_OUTCOME_TRYV(readiness_server_.listen(settings_.readiness));
    log_event(false, "started",
              {{"data_centre", settings_.data_centre.value()},
               {"callers", model::to_text(settings_.callers)},
               {"incarnation", std::to_string(state_.self.incarnation)},
               {"caller_bytes", settings_.memory > 0 ? std::to_string(relay_.account().limits().total) : "unbounded"},
               {"caller_connections", std::to_string(caller_connections(settings_))}});
    if (settings_.metrics_port != 0) {
        BOOST_OUTCOME_TRYV(metrics_server_.listen({settings_.callers.host, settings_.metrics_port}));
    }
    const model::address exchange{settings_.callers.host, settings_.first_internal_port};
    BOOST_OUTCOME_TRYV(load_exchange_.listen(exchange));
    store_->start(
        {state_.self.data_centre, state_.self.incarnation, exchange, state_.self.processor, routing::own_protocol});
    tick_timer_.start(tick_period);
    return base::success();
}

void gateway::handle(const routing::event& event) {
    if (std::holds_alternative<routing::attempt_sent>(event)) {
        // What has been written has to be known before any other decision.
        events_.push_front(event);
    } else {
        events_.push_back(event);
    }
    if (std::exchange(processing_, true)) {
        return;
    }
    while (!events_.empty()) {
        const auto next = std::move(events_.front());
        events_.pop_front();
        process(next);
    }
    processing_ = false;
}

void gateway::process(const routing::event& event) {
    for (const auto& effect : routing::reduce(state_, base::boot_clock::now(), event)) {
        std::visit([this](const auto& body) { execute(body); }, effect);
    }
    if (limits_version_ != state_.configuration.version) {
        limits_version_ = state_.configuration.version;
        relay_.set_limits(state_.configuration.limits);
        const auto& memory = relay_.account().limits();
        if (state_.configuration.limits.body_bytes > memory.total - memory.reserve) {
            log_event(true, "largest_body_exceeds_memory",
                      {{"body_bytes", std::to_string(state_.configuration.limits.body_bytes)},
                       {"caller_bytes", std::to_string(memory.total - memory.reserve)}});
        }
    }
    if (was_ready_ != routing::is_ready(state_)) {
        was_ready_ = !was_ready_;
        log_event(false, "readiness_changed", {{"ready", was_ready_ ? "1" : "0"}});
    }
}

void gateway::tick() {
    handle(routing::ticked{});
    const auto now = base::boot_clock::now();
    if (now - last_check_at_ >= check_period) {
        last_check_at_ = now;
        relay_.check_times();
        grants_->check_times();
        log_memory_refusals(now);
    }
    if (now - last_summary_at_ >= summary_period) {
        last_summary_at_ = now;
        log_request_summary();
    }
    if (on_stopped_) {
        continue_shutdown();
    }
}

void gateway::shut_down(std::function<void()> on_stopped) {
    if (on_stopped_) {
        return;
    }
    log_event(false, "stopping", {{"open_requests", std::to_string(relay_.open_exchanges())}});
    on_stopped_ = std::move(on_stopped);
    shutdown_started_at_ = base::boot_clock::now();
    relay_.begin_closing();
    handle(routing::shutdown_begun{settings_.grace - exit_margin - answer_time});
}

void gateway::continue_shutdown() {
    const auto elapsed = base::boot_clock::now() - shutdown_started_at_;
    const auto exit_at = settings_.grace - exit_margin;
    const auto is_due = [elapsed](bool& done, auto at) { return elapsed > at && !std::exchange(done, true); };
    if (is_due(closing_, std::min<std::chrono::milliseconds>(accept_time_after_stop, exit_at - shortest_work_time))) {
        relay_.stop([this] {
            log_event(false, "stopped", {});
            std::exchange(on_stopped_, nullptr)();
        });
    }
    if (is_due(sends_nothing_more_, exit_at - shortest_work_time)) {
        handle(routing::shutdown_nears_end{});
    }
    if (is_due(ending_, exit_at - answer_time)) {
        handle(routing::shutdown_ends{});
        return;
    }
    if (elapsed > exit_at && on_stopped_) {
        log_event(true, "stopped_with_open_requests", {{"open_requests", std::to_string(relay_.open_exchanges())}});
        std::exchange(on_stopped_, nullptr)();
    }
}

void gateway::reload(const settings& values) {
    settings_.grace = values.grace;
    settings_.heartbeat = values.heartbeat;
    log_event(false, "settings_reloaded", {{"grace_ms", std::to_string(settings_.grace.count())}});
}

void gateway::log_event(bool warning, const std::string& name, std::vector<model::timeline_field> fields) {
    model::timeline_entry entry;
    entry.name = name;
    entry.fields = std::move(fields);
    log_.write(warning ? telemetry::log_level::warn : telemetry::log_level::info, base::boot_clock::now(), entry);
}

void gateway::execute(const routing::log_line& line) {
    std::vector<model::timeline_field> fields;
    fields.reserve(line.fields.size());
    for (const auto& [key, value] : line.fields) {
        fields.push_back({key, value});
    }
    log_event(line.warning, line.name, std::move(fields));
}

void gateway::execute(const routing::send_known_changes& effect) {
    const auto changes = store_->changes_after(effect.table, effect.after);
    std::size_t messages = 0;
    if (!changes) {
        load_exchange_.send(routing::table_changes_unknown{effect.table}, effect.receiver, state_.instances);
    } else if (!changes->empty()) {
        // A message for each change would be lost in parts: each gap that one leaves has to be asked for again.
        for (auto& part : routing::divide(routing::join(*changes), routing::rows_per_message)) {
            load_exchange_.send(routing::send_table_change{std::move(part), {effect.receiver}}, state_.self.instance,
                                state_.instances);
            ++messages;
        }
    }
    log_event(false, "table_changes_sent",
              {{"table", std::string(routing::name_of(effect.table))},
               {"receiver", effect.receiver.value()},
               {"after", std::to_string(number_of(effect.after))},
               {"version", std::to_string(number_of(routing::table_version(state_, effect.table)))},
               {"known", changes ? "1" : "0"},
               {"messages", std::to_string(messages)}});
}

void gateway::execute(const routing::request_delivered& effect) {
    metrics_.observe("lovagetack_request_seconds",
                     {{"service", effect.service.value()}, {"status", std::to_string(effect.status)}}, effect.latency);
    metrics_.count("lovagetack_request_attempts_total", {{"service", effect.service.value()}},
                   static_cast<std::uint64_t>(effect.attempts));
}

void gateway::log_memory_refusals(base::boot_time now) {
    for (const auto& line : memory_log_.due(relay_.memory(), now)) {
        log_event(true, "memory_refusals",
                  {{"cause", std::string(line.cause)},
                   {"count", std::to_string(line.count)},
                   {"held_bytes", std::to_string(relay_.account().held())}});
    }
}

void gateway::log_request_summary() {
    std::uint64_t refused = 0;
    for (const auto& [code, count] : state_.refused) {
        refused += count;
    }
    log_event(
        false, "requests_summary",
        {{"delivered", std::to_string(state_.delivered)},
         {"not_delivered", std::to_string(refused)},
         {"retries", std::to_string(state_.retries)},
         {"open", std::to_string(state_.exchanges.size())},
         {"configuration", std::to_string(state_.configuration.version)},
         {"operators", std::to_string(number_of(routing::table_version(state_, routing::followed_table::operators)))},
         {"registry", std::to_string(number_of(routing::table_version(state_, routing::followed_table::registry)))},
         {"store_era", std::to_string(state_.store_era.value_or(0))},
         {"reader", routing::nearest_reader(state_).value()},
         {"instances_heard", std::to_string(state_.peers.size())},
         {"store_calls", std::to_string(store_->counters().calls)},
         {"store_failures", std::to_string(store_->counters().failures)},
         {"messages_sent", std::to_string(load_exchange_.counters().sent)},
         {"messages_failed", std::to_string(load_exchange_.counters().failed)},
         {"messages_received", std::to_string(load_exchange_.counters().received)}});
}

std::string gateway::metrics_text() {
    const auto gauge = [this](std::string_view name, const telemetry::labels& labels, auto value) {
        metrics_.set(name, labels, static_cast<double>(value));
    };
    for (const auto& [code, count] : state_.refused) {
        gauge("lovagetack_requests_not_delivered_total", {{"code", std::string(base::name_of(code))}}, count);
    }
    gauge("lovagetack_requests_delivered_total", {}, state_.delivered);
    gauge("lovagetack_requests_unauthenticated_total", {}, state_.unauthenticated);
    for (const auto& [account, count] : routing::refusals_by_account(state_)) {
        const auto& name = account.empty() ? "other" : account.value();
        gauge("lovagetack_requests_over_allowance_total", {{"account", name}}, count);
    }
    gauge("lovagetack_counter_roles", {}, state_.allowances.counting.size());
    gauge("lovagetack_client_accounts", {}, state_.configuration.accounts.accounts().size());
    gauge("lovagetack_retries_total", {}, state_.retries);
    gauge("lovagetack_explanations_total", {}, explainer_.count());
    gauge("lovagetack_ranges_moved_total", {}, state_.moves);
    gauge("lovagetack_requests_open", {}, state_.exchanges.size());
    gauge("lovagetack_caller_connections", {}, relay_.caller_connections());
    gauge("lovagetack_caller_bytes", {}, relay_.account().held());
    for (const auto& [cause, member] : memory_causes) {
        gauge("lovagetack_memory_refusals_total", {{"cause", std::string(cause)}}, relay_.memory().*member);
    }
    gauge("lovagetack_configuration_version", {}, state_.configuration.version);
    if (state_.configuration.version > 0) {
        const auto age = base::boot_clock::now() - state_.configuration_since;
        gauge("lovagetack_configuration_age_seconds", {},
              std::chrono::duration_cast<std::chrono::seconds>(age).count());
    }
    gauge("lovagetack_ready", {}, routing::is_ready(state_) ? 1 : 0);
    gauge("lovagetack_keeper", {}, state_.keeper.phase == routing::keeper_phase::holding ? 1 : 0);
    gauge("lovagetack_reader", {}, state_.readers.reads ? 1 : 0);
    gauge("lovagetack_renewals", {}, state_.renewer.renewals.size());
    gauge("lovagetack_dispatched_slots", {}, state_.dispatch.slots.size());
    gauge("lovagetack_dispatcher_queue", {}, routing::queued_asks(state_));
    gauge("lovagetack_quarantined_requests", {}, state_.quarantine.requests.size());
    gauge("lovagetack_struck_requests", {}, state_.quarantine.struck.size());
    gauge("lovagetack_server_pauses_total", {}, state_.stated_pauses);
    gauge("lovagetack_servers_pausing", {},
          std::count_if(state_.stating_servers.begin(), state_.stating_servers.end(), [this](const auto& id) {
              return routing::is_pausing(state_.servers.at(id), base::boot_clock::now());
          }));
    gauge("lovagetack_servers_stating_leaving", {},
          std::count_if(state_.stating_servers.begin(), state_.stating_servers.end(),
                        [this](const auto& id) { return state_.servers.at(id).stated.leaving_since.has_value(); }));
    const auto count_servers = [this](const auto& matches) {
        return std::count_if(state_.servers.begin(), state_.servers.end(),
                             [&matches](const auto& entry) { return matches(entry.second); });
    };
    gauge("lovagetack_servers_backed_off", {},
          count_servers([](const auto& server) { return server.backoff.active(); }));
    gauge("lovagetack_servers_limited", {}, count_servers([this](const auto& server) {
              return routing::most_at_once(state_, server, base::boot_clock::now()) < server.registration.slots;
          }));
    for (const auto table : routing::followed_tables) {
        const telemetry::labels labels = {{"table", std::string(routing::name_of(table))}};
        gauge("lovagetack_table_version", labels, number_of(routing::table_version(state_, table)));
        gauge("lovagetack_table_newest_heard", labels, number_of(routing::newest_heard(state_, table)));
    }
    gauge("lovagetack_store_era", {}, state_.store_era.value_or(0));
    gauge("lovagetack_store_reachable", {}, state_.store_reachable ? 1 : 0);
    gauge("lovagetack_store_calls_total", {}, store_->counters().calls);
    gauge("lovagetack_store_failures_total", {}, store_->counters().failures);
    gauge("lovagetack_store_read_bytes_total", {}, store_->counters().bytes_read);
    gauge("lovagetack_store_written_bytes_total", {}, store_->counters().bytes_written);
    gauge("lovagetack_messages_sent_total", {}, load_exchange_.counters().sent);
    gauge("lovagetack_messages_failed_total", {}, load_exchange_.counters().failed);
    gauge("lovagetack_messages_received_total", {}, load_exchange_.counters().received);
    gauge("lovagetack_instances_heard", {}, state_.peers.size());
    for (const auto& [service, record] : state_.services) {
        const telemetry::labels labels = {{"service", service.value()}};
        gauge("lovagetack_queued_requests", labels, record.queue.size() + record.waiting.size());
        gauge("lovagetack_key_ranges", labels, record.assignment.ranges.size());
        gauge("lovagetack_retry_tokens", labels, record.retry_tokens);
    }
    return metrics_.text();
}

} // namespace lovagetack::gateway
