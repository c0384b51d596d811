#include "stand_ins/backend_server.hpp"

#include <unistd.h>

#include <algorithm>
#include <cmath>
#include <utility>

#include <QJsonDocument>

#include "base/json.hpp"
#include "base/key_hash.hpp"
#include "stand_ins/backend_control.hpp"

namespace lovagetack::stand_ins {

namespace {

constexpr int status_misdirected = 421;

// The id is unique across processes and restarts on one machine, so that a restart is always detected.
std::string make_boot_id(const std::string& name, std::int64_t boot) {
    const auto since_boot = base::boot_clock::now().time_since_epoch().count();
    return name + '-' + std::to_string(getpid()) + '-' + std::to_string(since_boot) + '-' + std::to_string(boot);
}

std::string_view reason_of(grant_check_result check_result) {
    switch (check_result) {
    case grant_check_result::valid:
        return "valid";
    case grant_check_result::lease_lapsed:
        return "lease lapsed";
    case grant_check_result::range_not_granted:
        return "range not granted";
    case grant_check_result::fence_differs:
        return "fence differs";
    }
    return "unknown";
}

} // namespace

backend_server::backend_server(std::string name, const backend_settings& settings)
    : name_(std::move(name)), settings_(settings), started_(base::boot_clock::now()), grants_(make_boot_id(name_, 0)),
      cold_start_(settings.starts_cold), random_(static_cast<std::uint64_t>(settings.seed) ^ base::key_hash(name_)),
      http_([this](const exchange_pointer& incoming) { handle(incoming); }) {
    http_.set_connection_limit(settings_.connections);
}

backend_counters backend_server::counters() const {
    backend_counters counters = counters_;
    counters.executing = static_cast<std::int32_t>(executing_.size());
    counters.queued = static_cast<std::int32_t>(queue_.size());
    counters.connections = http_.connections();
    counters.highest_connections = http_.highest_connections();
    counters.refused_connections = http_.refused_connections();
    return counters;
}

void backend_server::change_settings(const QJsonObject& change) {
    base::detail::object_from_json(change, settings_);
    http_.set_connection_limit(settings_.connections);
    start_next();
}

void backend_server::restart(const http_exchange* except) {
    for (const auto& waiting : std::exchange(queue_, {})) {
        waiting->finished = true;
    }
    for (const auto& running : std::exchange(executing_, {})) {
        running->finished = true;
    }
    http_.close_connections(except);
    ++boots_;
    started_ = base::boot_clock::now();
    grants_ = grant_holder(make_boot_id(name_, boots_));
    cold_start_ = cold_start(settings_.starts_cold);
    lagging_load_ = lagging_load();
}

void backend_server::handle(const exchange_pointer& exchange) {
    const auto path = exchange->request().path();
    if (path.starts_with("/lovagetack/")) {
        handle_router_call(exchange, path);
    } else if (path == "/control" || path.starts_with("/control/")) {
        handle_control(*this, exchange, path);
    } else {
        accept(read_job(exchange, base::boot_clock::now()));
    }
}

void backend_server::handle_router_call(const exchange_pointer& exchange, std::string_view path) {
    const auto now = base::boot_clock::now();
    const std::chrono::milliseconds lag(settings_.load_lag_ms);
    if (path == "/lovagetack/grant") {
        poll_grant(exchange);
    } else if (path == "/lovagetack/cancel") {
        cancel(exchange);
    } else if (path == "/lovagetack/health") {
        report_health(exchange);
    } else if (path == "/lovagetack/load") {
        lagging_load_.add_state(now, lag, load());
        exchange->answer(json_response(200, base::to_json_text(lagging_load_.at(now, lag))));
    } else {
        exchange->answer(json_response(404, "{}"));
    }
}

void backend_server::poll_grant(const exchange_pointer& exchange) {
    ++counters_.grant_polls;
    model::grant_poll poll;
    if (!base::from_json_text(exchange->request().body, poll)) {
        exchange->answer(json_response(400, "{}"));
        return;
    }
    auto answer = grants_.poll(simulated_clock(), poll);
    answer.uptime = base::boot_clock::now() - started_;
    answer.activity = activity();
    answer.in_flight = static_cast<std::int32_t>(executing_.size());
    answer.draining = settings_.draining;
    exchange->answer(json_response(200, base::to_json_text(answer)));
}

void backend_server::cancel(const exchange_pointer& exchange) {
    const auto body = QJsonDocument::fromJson(QByteArray::fromStdString(exchange->request().body)).object();
    const auto id = body.value("request_id").toString().toStdString();
    const auto has_id = [&](const job_pointer& candidate) { return candidate->request_id == id; };
    const auto waiting = std::find_if(queue_.begin(), queue_.end(), has_id);
    const auto running = std::find_if(executing_.begin(), executing_.end(), has_id);
    if (waiting != queue_.end()) {
        const job_pointer cancelled = *waiting;
        queue_.erase(waiting);
        ++counters_.cancelled;
        refuse(cancelled, 503, "cancelled");
        exchange->answer(json_response(200, R"({"cancelled":"queued"})"));
    } else if (running != executing_.end()) {
        const job_pointer cancelled = *running;
        ++counters_.cancelled;
        if (cancelled->record != backend_job::not_recorded) {
            records_[cancelled->record].cancelled = true;
        }
        http_response response;
        response.status = 503;
        response.headers.emplace_back("lovagetack-outcome", "failed");
        response.body = "cancelled\n";
        exchange->answer(json_response(200, R"({"cancelled":"executing"})"));
        end_with(cancelled, response, false);
    } else {
        exchange->answer(json_response(200, R"({"cancelled":"unknown"})"));
    }
}

void backend_server::report_health(const exchange_pointer& exchange) {
    const bool healthy = settings_.health == "always-ok" || (settings_.health == "honest" && !settings_.draining);
    exchange->answer(json_response(healthy ? 200 : 503, healthy ? R"({"status":"ok"})" : R"({"status":"failing"})"));
}

void backend_server::accept(const job_pointer& job) {
    ++counters_.requests;
    if (settings_.draining) {
        ++counters_.refused_draining;
        refuse(job, 503, "draining");
        return;
    }
    const auto free_slots = executing_.size() < static_cast<std::size_t>(settings_.slots);
    if (!free_slots && queue_.size() >= static_cast<std::size_t>(settings_.queue)) {
        ++counters_.shed;
        refuse(job, 503, "queue full");
        return;
    }
    job->overloaded = !cold_start_.record_arrival(base::boot_clock::now(), settings_);
    queue_.push_back(job);
    start_next();
}

void backend_server::refuse(const job_pointer& job, int status, std::string_view reason) {
    job->finished = true;
    http_response response;
    response.status = status;
    response.headers.emplace_back("lovagetack-outcome", "not-run");
    response.headers.emplace_back("lovagetack-backend-server", name_);
    response.body = std::string(reason) + '\n';
    job->exchange->answer(response);
}

void backend_server::start_next() {
    while (!queue_.empty() && executing_.size() < static_cast<std::size_t>(settings_.slots)) {
        const job_pointer next = queue_.front();
        queue_.pop_front();
        start(next);
    }
}

void backend_server::start(const job_pointer& job) {
    if (job->deadline && base::boot_clock::now() >= *job->deadline) {
        ++counters_.refused_deadline;
        refuse(job, 503, "deadline passed");
        return;
    }
    if (passes_checks(job)) {
        execute(job);
    }
}

bool backend_server::passes_checks(const job_pointer& job) {
    if (!settings_.checks_grants || job->key.empty()) {
        return true;
    }
    const auto now = simulated_clock();
    const auto hash = base::key_hash(job->key);
    const auto check_result = grants_.check(now, job->service, hash, job->fence.value_or(model::fence{}));
    if (check_result != grant_check_result::valid) {
        ++counters_.refused_grant;
        refuse(job, status_misdirected, reason_of(check_result));
        return false;
    }
    job->lease_generation = grants_.lease_generation(now);
    job->range = *grants_.find(job->service, hash);
    return true;
}

void backend_server::execute(const job_pointer& job) {
    job->executing = true;
    executing_.push_back(job);
    ++counters_.executions;
    counters_.overloaded += job->overloaded ? 1 : 0;
    counters_.highest_executing = std::max(counters_.highest_executing, static_cast<std::int32_t>(executing_.size()));
    record_start(job);
    const auto time = service_time(job);
    if (time.count() == 0) {
        end(job);
        return;
    }
    delayed_.call_after(time, [this, job] {
        if (!job->finished) {
            end(job);
        }
    });
}

void backend_server::end(const job_pointer& job) {
    http_response response;
    response.headers.emplace_back("lovagetack-backend-server", name_);
    if (job->overloaded) {
        response.status = 500;
        response.body = "overloaded\n";
        end_with(job, response, false);
        return;
    }
    if (job->lease_generation != grants_.lease_generation(simulated_clock()) && job->range) {
        ++counters_.refused_grant;
        response.status = status_misdirected;
        response.headers.emplace_back("lovagetack-outcome", "not-run");
        response.body = "lease lapsed during execution\n";
        end_with(job, response, false);
        return;
    }
    if (job->deadline && base::boot_clock::now() > *job->deadline) {
        response.status = 504;
        response.headers.emplace_back("lovagetack-outcome", "failed");
        response.body = "deadline passed during execution\n";
        end_with(job, response, false);
        return;
    }
    cold_start_.answered(settings_);
    ++counters_.answered;
    end_with(job, answer_of(*job, name_), true);
}

void backend_server::end_with(const job_pointer& job, const http_response& response, bool committed) {
    if (job->record != backend_job::not_recorded) {
        auto& record = records_[job->record];
        record.end = base::boot_clock::now();
        record.status = response.status;
        record.committed = committed;
        journal_.write(record);
    }
    remove_executing(job);
    job->exchange->answer(response);
    start_next();
}

void backend_server::remove_executing(const job_pointer& job) {
    job->finished = true;
    executing_.erase(std::find(executing_.begin(), executing_.end(), job));
}

void backend_server::record_start(const job_pointer& job) {
    if (records_.size() >= static_cast<std::size_t>(std::max(settings_.record_limit, 0))) {
        return;
    }
    const auto& request = job->exchange->request();
    execution_record record;
    record.server = name_;
    record.boot_id = grants_.boot_id();
    record.request_id = job->request_id;
    record.key = job->key;
    record.service = job->service;
    record.method = request.method;
    record.idempotency_key = request.header("idempotency-key");
    record.fence = request.header("lovagetack-fence");
    record.start = base::boot_clock::now();
    record.overloaded = job->overloaded;
    job->record = records_.size();
    journal_.write(record);
    records_.push_back(std::move(record));
}

std::chrono::microseconds backend_server::service_time(const job_pointer& job) {
    if (job->overloaded) {
        return std::chrono::milliseconds(settings_.overload_delay_ms);
    }
    double time = 1000.0 * settings_.service_time_ms;
    if (settings_.distribution == "exponential" && time > 0) {
        time = std::exponential_distribution<double>(1.0 / time)(random_);
    }
    const std::chrono::microseconds drawn(std::llround(time * settings_.straggler_factor));
    if (!job->deadline) {
        return drawn;
    }
    // An execution that cannot end in time is stopped just after its deadline.
    const std::chrono::microseconds remaining = *job->deadline - base::boot_clock::now();
    return std::min(drawn, remaining + std::chrono::milliseconds(1));
}

std::chrono::microseconds backend_server::simulated_clock() const {
    const auto machine = base::boot_clock::now().time_since_epoch();
    const std::chrono::microseconds scaled(std::llround(static_cast<double>(machine.count()) * settings_.clock_rate));
    return scaled + std::chrono::milliseconds(settings_.clock_offset_ms);
}

std::vector<model::range_activity> backend_server::activity() const {
    std::vector<model::range_activity> list;
    const auto entry_of = [&](const model::granted_range& range) -> model::range_activity& {
        const auto same = [&](const model::range_activity& entry) {
            return entry.service == range.service && entry.first == range.first && entry.last == range.last;
        };
        const auto found = std::find_if(list.begin(), list.end(), same);
        if (found != list.end()) {
            return *found;
        }
        list.push_back({range.first, range.last, range.service, 0});
        return list.back();
    };
    for (const auto& running : executing_) {
        if (running->range) {
            ++entry_of(*running->range).in_flight;
        }
    }
    return list;
}

load_state backend_server::load() const {
    load_state state;
    state.boot_id = grants_.boot_id();
    state.uptime = base::boot_clock::now() - started_;
    state.draining = settings_.draining;
    state.slots = settings_.slots;
    state.in_flight = static_cast<std::int32_t>(executing_.size());
    state.queued = static_cast<std::int32_t>(queue_.size());
    return state;
}

} // namespace lovagetack::stand_ins
