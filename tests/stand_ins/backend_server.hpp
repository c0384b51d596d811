#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include <QJsonObject>

#include "base/boot_time.hpp"
#include "stand_ins/backend_counters.hpp"
#include "stand_ins/backend_job.hpp"
#include "stand_ins/backend_settings.hpp"
#include "stand_ins/cold_start.hpp"
#include "stand_ins/delayed_calls.hpp"
#include "stand_ins/execution_journal.hpp"
#include "stand_ins/execution_record.hpp"
#include "stand_ins/grant_holder.hpp"
#include "stand_ins/http_server.hpp"
#include "stand_ins/lagging_load.hpp"

namespace lovagetack::stand_ins {

/// A simulated backend server on one address. Paths under /lovagetack/ are called by routers, those under /control by
/// tests (see backend_control); all other requests are executed as work.
///
/// If checks_grants is set, a request with a lovagetack-key header is checked against the grants when its execution
/// starts. It commits only if the lease was valid without a gap until the execution ended; otherwise it is answered 421
/// not-run.
class backend_server {
public:
    backend_server(std::string name, const backend_settings& settings);

    [[nodiscard]] base::result<model::address> listen(const model::address& address) { return http_.listen(address); }

    /// Also appends the execution records to a file; fails when the file cannot be written.
    [[nodiscard]] base::result<void> open_journal(const std::string& file_name) { return journal_.open(file_name); }

    [[nodiscard]] const std::string& name() const { return name_; }
    [[nodiscard]] const backend_settings& settings() const { return settings_; }
    [[nodiscard]] const std::vector<execution_record>& records() const { return records_; }
    [[nodiscard]] backend_counters counters() const;

    /// Changes the fields of backend_settings that the object contains.
    void change_settings(const QJsonObject& change);
    void become_cold() { cold_start_ = cold_start(true); }
    /// Simulates a restart: discards grants, epoch, queue and executions, closes all connections except that of the
    /// exchange (may be null), and creates a new boot id.
    void restart(const http_exchange* except);

private:
    void handle(const exchange_pointer& exchange);
    void handle_router_call(const exchange_pointer& exchange, std::string_view path);
    void poll_grant(const exchange_pointer& exchange);
    void cancel(const exchange_pointer& exchange);
    void report_health(const exchange_pointer& exchange);

    void accept(const job_pointer& job);
    void refuse(const job_pointer& job, int status, std::string_view reason);
    void start_next();
    void start(const job_pointer& job);
    [[nodiscard]] bool passes_checks(const job_pointer& job);
    void execute(const job_pointer& job);
    void end(const job_pointer& job);
    void end_with(const job_pointer& job, const http_response& response, bool committed);
    void remove_executing(const job_pointer& job);

    void record_start(const job_pointer& job);
    [[nodiscard]] std::chrono::microseconds service_time(const job_pointer& job);
    [[nodiscard]] std::chrono::microseconds simulated_clock() const;
    [[nodiscard]] std::vector<model::range_activity> activity() const;
    [[nodiscard]] load_state load() const;

    std::string name_;
    backend_settings settings_;
    std::int64_t boots_ = 0;
    base::boot_time started_;
    grant_holder grants_;
    cold_start cold_start_;
    std::mt19937_64 random_;
    backend_counters counters_;
    std::deque<job_pointer> queue_;
    std::vector<job_pointer> executing_;
    std::vector<execution_record> records_;
    execution_journal journal_;
    lagging_load lagging_load_;
    delayed_calls delayed_;
    http_server http_;
};

} // namespace lovagetack::stand_ins
