#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include <QEventLoop>
#include <QTimer>

#include "http/connection_pool.hpp"
#include "load/key_chooser.hpp"
#include "load/load_plan.hpp"
#include "load/load_report.hpp"
#include "load/load_request.hpp"

namespace lovagetack::load {

/// Runs one plan in an event loop of the calling thread.
class load_runner {
public:
    explicit load_runner(load_plan plan);
    load_runner(const load_runner&) = delete;
    load_runner& operator=(const load_runner&) = delete;
    ~load_runner();

    /// Blocks until the duration has passed and the last requests were answered or timed out.
    load_report run();

private:
    using clock = load_request::clock;

    void send_due();
    void send_next(clock::time_point planned);
    void answered(load_request& request, const load_answer& answer);
    [[nodiscard]] std::string request_text();
    [[nodiscard]] std::uint32_t hot_key_shift() const;
    void check_times();
    [[nodiscard]] bool is_over() const { return clock::now() >= end_; }

    load_plan plan_;
    load_report report_;
    key_chooser keys_;
    std::vector<std::unique_ptr<http::connection_pool>> pools_;
    std::vector<std::unique_ptr<load_request>> requests_;
    std::vector<load_request*> idle_requests_;
    std::uint64_t sent_ = 0;
    std::uint64_t requests_in_flight_ = 0;
    clock::time_point start_;
    clock::time_point end_;
    clock::time_point last_success_;
    QTimer send_timer_;
    QTimer check_timer_;
    QEventLoop loop_;
};

} // namespace lovagetack::load
