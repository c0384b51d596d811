#include "soak/run.hpp"

#include <algorithm>
#include <fstream>

#include <QEventLoop>
#include <QJsonArray>
#include <QJsonDocument>

#include "http/header_rules.hpp"
#include "soak/checked.hpp"

namespace lovagetack::soak {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t caller_connections = 64;
constexpr auto request_deadline = 2000ms;
constexpr auto request_interval = 10ms;
/// If the event loop of the test is later than this, the order of its observations is not exact.
constexpr auto tolerated_lag = 100ms;
constexpr auto grace_period = 6s;
/// The deployment must have recovered within this time after the last fault.
constexpr auto recovery_time = 10s;
constexpr auto measurement_time = 4s;
constexpr double minimum_served_share = 0.9;

QJsonObject route(const std::string& name, const std::string& prefix, const char* type, const char* service) {
    return {{"name", QString::fromStdString(name)},
            {"host", "soak.example"},
            {"prefix", QString::fromStdString(prefix)},
            {"route_type", type},
            {"timeout_ms", 1800},
            {"target_latency_ms", 500},
            {"priority", 1},
            {"max_attempts", 2},
            {"service", service}};
}

QJsonObject service(const char* name, bool keyed) {
    return {{"name", name},         {"health_path", "/health"}, {"max_conns", 200}, {"cold_per_s", backend::cold_rate},
            {"cold_period_s", 3.0}, {"sharded", keyed}};
}

} // namespace

run::run(const options& options)
    : options_(options), random_(options.seed), restoration_random_(options.seed + 2), store_(options.seed + 1),
      context_(std::make_unique<QTimer>()) {
    set_up();
}

run::~run() {
    context_.reset();
    for (const auto& instance : instances_) {
        if (instance->process && !instance->process->status()) {
            instance->process->kill();
        }
    }
    calls_.clear();
}

void run::set_up() {
    store_address_ = checked(store_.listen());
    write_configuration();
    for (int number = 0; number < 2 * options_.backends; ++number) {
        const bool keyed = number % 2 == 0;
        const auto& zone = data_centres_[static_cast<std::size_t>(number / 2) % data_centres_.size()];
        backend::identity self{(keyed ? "keyed-" : "plain-") + std::to_string(number / 2), keyed ? "keyed" : "plain",
                               zone, keyed};
        backends_.push_back(std::make_unique<backend>(self, witness_, random_()));
        checked(backends_.back()->start());
    }
    for (const auto& server : backends_) {
        server->set_backends(backends_);
        publish(*server);
    }
    for (int number = 0; number < options_.instances; ++number) {
        auto made = std::make_unique<instance>();
        made->number = number;
        made->name = "front-" + std::to_string(number);
        made->store_link = std::make_unique<stand_ins::proxy_link>(made->name, store_address_);
        const auto link = checked(made->store_link->listen({"127.0.0.1", 0}));
        made->settings_file = (folder_.path() / (made->name + ".json")).string();
        made->pool = std::make_unique<http::connection_pool>(model::address{"127.0.0.1", made->callers.number()},
                                                             caller_connections);
        made->readiness_pool =
            std::make_unique<http::connection_pool>(model::address{"127.0.0.1", made->readiness.number()}, 2);
        write_settings(*made, model::to_text(link),
                       data_centres_[static_cast<std::size_t>(number) % data_centres_.size()]);
        start_instance(*made);
        instances_.push_back(std::move(made));
    }
    QObject::connect(&request_timer_, &QTimer::timeout, &request_timer_, [this] { send_requests(); });
    QObject::connect(&watch_timer_, &QTimer::timeout, &watch_timer_, [this] { watch_processes(); });
    QObject::connect(&readiness_timer_, &QTimer::timeout, &readiness_timer_, [this] { poll_readiness(); });
    watch_timer_.start(100ms);
    readiness_timer_.start(1000ms);
}

void run::write_settings(const instance& instance, const std::string& store_address, const std::string& zone) const {
    const auto text = [](const std::string& value) { return QString::fromStdString(value); };
    const int port = instance.internal.number();
    const QJsonObject json{
        {"node", text(instance.name)},
        {"zone", text(zone)},
        {"listen",
         QJsonObject{{"front", text(instance.callers.address())}, {"ready", text(instance.readiness.address())}}},
        {"internal_ports", QJsonArray{port, port}},
        {"limits", QJsonObject{{"cpu_share", 0.5}, {"cores", 1}, {"memory_mb", 256}, {"max_fds", 2048}}},
        {"heartbeat_ms", 870},
        {"bounds", QJsonObject{{"grace_s", 6}}},
        {"provider", QJsonObject{{"address", text(store_address)}}}};
    std::ofstream(instance.settings_file) << QJsonDocument(json).toJson().toStdString();
}

void run::start_instance(instance& instance) {
    ++instance.incarnation;
    instance.paused = false;
    instance.leaving = false;
    instance.missed_polls = 2;
    witness_.note_disturbed(instance.number);
    instance.process = std::make_unique<harness::process>(
        instance.name + '-' + std::to_string(instance.incarnation),
        std::vector<std::string>{options_.program, "gateway", "--settings", instance.settings_file}, folder_.path());
}

void run::watch_processes() {
    for (const auto& instance : instances_) {
        if (!instance->process) {
            continue;
        }
        const auto status = instance->process->status();
        if (!status) {
            if (instance->leaving && !instance->paused && clock::now() - instance->leaving_since > grace_period + 1s) {
                // The platform kills a process that outlives its grace period.
                instance->process->kill();
                witness_.report_violation("ends within the grace period", instance->name);
                start_instance(*instance);
            }
            continue;
        }
        witness_.note_exit(instance->number, *status, instance->leaving);
        instance->process.reset();
        call_after(random_duration(200, 1500), [this, target = instance.get()] { start_instance(*target); });
    }
    renew_disturbances();
}

/// Reports ongoing faults to the witness again until they end.
void run::renew_disturbances() {
    if (store_disturbed_) {
        witness_.note_store_disturbed();
    }
    if (store_restoring_) {
        witness_.note_store_restoring();
    }
    for (const auto& instance : instances_) {
        if (!instance->process || instance->paused || instance->link_disturbed) {
            witness_.note_disturbed(instance->number);
        }
        instance->pool->check_times(http::client_connection::clock::now());
    }
    calls_.forget_ended();
}

void run::poll_readiness() {
    for (const auto& item : instances_) {
        auto* const instance = item.get();
        calls_.begin(*instance->readiness_pool,
                     "GET /v1/ready HTTP/1.1\r\nHost: " + instance->readiness.address() + "\r\n\r\n", 900ms,
                     [instance](const http::call_result& result) {
                         instance->missed_polls = result.status == 200 ? 0 : instance->missed_polls + 1;
                     });
    }
}

void run::write_configuration() {
    const int next = configuration_ + 1;
    QJsonArray routes{route("look", "/look/", "safe", "keyed"), route("pay", "/pay/", "unsafe", "plain")};
    for (int version = 1; version <= next; ++version) {
        const auto name = "v" + std::to_string(version);
        routes.append(route(name, "/" + name + "/", "safe", "plain"));
    }
    const QJsonObject json{{"version", QString("r%1").arg(next)},
                           {"routes", routes},
                           {"services", QJsonArray{service("keyed", true), service("plain", false)}},
                           {"limits", QJsonObject{{"idle_timeout_ms", 8000}}}};
    if (store_.put("op", "config", json)) {
        configuration_ = next;
        witness_.note_configuration(next);
    }
}

void run::publish(backend& server) {
    retry_until_stored([this, target = &server] {
        if (!target->is_up() || !store_.put("servers", target->self().id, target->registration())) {
            return !target->is_up();
        }
        if (target->is_leaving()) {
            target->note_leaving_stored();
        }
        return true;
    });
}

void run::withdraw(backend& server) {
    retry_until_stored([this, id = server.self().id] { return store_.remove("servers", id); });
}

// Callers.

run::instance* run::choose_instance() {
    std::vector<instance*> ready;
    std::vector<instance*> connected;
    for (const auto& instance : instances_) {
        if (instance->missed_polls < 2) {
            ready.push_back(instance.get());
        } else if (instance->pool->connections() > 0) {
            connected.push_back(instance.get());
        }
    }
    // Callers keep using open connections to an instance that the load balancer has taken out of rotation.
    if (!connected.empty() && draw(10) < 3) {
        return connected[draw(connected.size())];
    }
    return ready.empty() ? nullptr : ready[draw(ready.size())];
}

void run::send_requests() {
    const auto now = clock::now();
    const auto passed = now - std::exchange(last_tick_, now);
    if (passed > request_interval + tolerated_lag) {
        witness_.note_lag();
    }
    due_requests_ +=
        options_.rate * std::chrono::duration<double>(std::min<std::chrono::nanoseconds>(passed, 1s)).count();
    for (; due_requests_ >= 1; due_requests_ -= 1) {
        if (auto* const instance = choose_instance()) {
            send_request(*instance);
        }
    }
}

std::string run::request_text(const sent_call& call) {
    std::string text = (call.idempotent ? "GET " : "POST ") + call.path + " HTTP/1.1\r\n";
    http::append_field(text, "Host", std::string_view("soak.example"));
    http::append_field(text, "Lovagetack-Request-Id", std::string_view(call.id));
    http::append_field(text, "Lovagetack-Deadline-Ms", static_cast<std::uint64_t>(request_deadline.count()));
    if (call.path.starts_with("/look/")) {
        // Half of the requests use 300 adjacent keys.
        const auto key = draw(2) == 0 ? 30000 + draw(300) : draw(65536);
        http::append_field(text, "Lovagetack-Shard-Key", static_cast<std::uint64_t>(key));
    }
    if (!call.idempotent) {
        return text + "Content-Length: 4\r\n\r\npay!";
    }
    return text + "\r\n";
}

void run::send_request(instance& instance) {
    sent_call sent;
    sent.id = "id-" + std::to_string(++last_request_);
    sent.instance = instance.number;
    sent.incarnation = instance.incarnation;
    sent.sent_at = clock::now();
    const auto kind = draw(10);
    sent.idempotent = kind < 7;
    if (kind < 5) {
        sent.path = "/look/" + sent.id;
    } else if (kind < 7) {
        sent.route_version = 1 + static_cast<int>(draw(static_cast<std::size_t>(configuration_)));
        sent.path = "/v" + std::to_string(sent.route_version) + '/' + sent.id;
    } else {
        sent.path = "/pay/" + sent.id;
    }
    ++requests_;
    witness_.note_call(sent);
    calls_.begin(*instance.pool, request_text(sent), request_deadline, [this, sent](const http::call_result& result) {
        call_outcome outcome;
        outcome.status = result.status;
        outcome.sent = result.sent;
        outcome.is_signed =
            http::value_of(result.header, "Lovagetack-Response-Signature") == std::string_view("signed-" + sent.id);
        outcome.whole = result.body == "body of " + sent.id;
        outcome.timed_out = clock::now() - sent.sent_at >= request_deadline;
        witness_.note_outcome(sent, outcome);
    });
}

// Time.

std::chrono::milliseconds run::random_duration(std::mt19937_64& random, int least, int most) {
    return std::chrono::milliseconds(std::uniform_int_distribution<int>(least, most)(random));
}

void run::call_after(std::chrono::milliseconds delay, std::function<void()> function) {
    QTimer::singleShot(delay, context_.get(), std::move(function));
}

void run::retry_until_stored(const std::function<bool()>& write) {
    if (!write()) {
        call_after(100ms, [this, write] { retry_until_stored(write); });
    }
}

void run::wait(std::chrono::milliseconds time) {
    QEventLoop loop;
    QTimer::singleShot(time, &loop, &QEventLoop::quit);
    loop.exec();
}

void run::note_fault(const std::string& text) {
    const auto at = std::chrono::duration_cast<std::chrono::milliseconds>(clock::now() - begun_);
    faults_.push_back(std::to_string(at.count()) + " ms: " + text);
}

std::vector<std::string> run::execute() {
    // Gives the instances time to assign and grant keys.
    wait(5s);
    last_tick_ = clock::now();
    request_timer_.start(request_interval);
    wait(1s);
    injecting_ = true;
    schedule_fault();
    schedule_restoration();
    wait(options_.duration);
    injecting_ = false;
    note_fault("no further faults");
    // The longest fault lasts 8 s.
    wait(8s + recovery_time);
    (void)witness_.take_counts();
    wait(measurement_time);
    final_counts_ = witness_.take_counts();
    request_timer_.stop();
    if (final_counts_.served < minimum_served_share * final_counts_.asked || final_counts_.asked == 0) {
        witness_.report_violation("recovers", std::to_string(final_counts_.served) + " of " +
                                                  std::to_string(final_counts_.asked) +
                                                  " requests served after the last fault");
    }
    wait(request_deadline);
    return witness_.violations();
}

std::string run::summary() const {
    std::string text = std::to_string(requests_) + " requests, " + std::to_string(faults_.size()) + " events, served " +
                       std::to_string(final_counts_.served) + " of " + std::to_string(final_counts_.asked) +
                       " at the end, " + std::to_string(witness_.excused()) + " excused; answers";
    for (const auto& [status, count] : witness_.statuses()) {
        text += ' ' + std::to_string(status) + ':' + std::to_string(count);
    }
    return text;
}

} // namespace lovagetack::soak
