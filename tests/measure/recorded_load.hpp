#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <QEventLoop>
#include <QTimer>

#include "base/boot_time.hpp"
#include "http/connection_pool.hpp"
#include "load/load_request.hpp"

namespace lovagetack::measure {

/// Requests at planned times to addresses in turn.
struct recorded_plan {
    /// "HOST:PORT"
    std::vector<std::string> targets;
    /// Path of the request with this number.
    std::function<std::string(std::uint64_t)> path;
    /// Requests per second.
    double rate = 200;
    std::chrono::milliseconds duration{5000};
    std::size_t connections = 64;
};

/// Times in seconds since the start of the load.
struct recorded_answer {
    double planned = 0;
    double answered = 0;
    /// 0 without a whole answer.
    int status = 0;
    std::string outcome;
    std::string server;

    [[nodiscard]] bool succeeded() const { return status == 200; }
};

/// An open-loop load that keeps every answer, so that gaps and courses over time can be computed afterwards.
class recorded_load {
public:
    explicit recorded_load(recorded_plan plan);
    recorded_load(const recorded_load&) = delete;
    recorded_load& operator=(const recorded_load&) = delete;
    ~recorded_load();

    /// Sends and returns after the last answer. `script` runs in another thread meanwhile; it must not take longer
    /// than the load.
    std::vector<recorded_answer> run(const std::function<void()>& script);

    /// Seconds since the start of the load.
    [[nodiscard]] double now() const;
    /// The start on the clock of the stand-ins' records.
    [[nodiscard]] base::boot_time start() const { return boot_start_; }

private:
    using clock = load::load_request::clock;

    void send_due();
    void send(clock::time_point planned);
    void check_times();

    recorded_plan plan_;
    std::vector<std::unique_ptr<http::connection_pool>> pools_;
    std::vector<std::unique_ptr<load::load_request>> requests_;
    std::vector<load::load_request*> unused_;
    std::vector<recorded_answer> answers_;
    QTimer send_timer_;
    QTimer check_timer_;
    QEventLoop loop_;
    clock::time_point start_;
    base::boot_time boot_start_;
    std::uint64_t sent_ = 0;
    std::size_t open_ = 0;
};

/// The longest time in seconds between two successful answers, of those that were answered at `from` or later and the
/// last one before; lasts until `end` when none came any more.
[[nodiscard]] double longest_gap(const std::vector<recorded_answer>& answers, double from, double end);

} // namespace lovagetack::measure
