#pragma once

#include <chrono>
#include <cstddef>
#include <vector>

namespace lovagetack::requests {

/// The latencies of the last `capacity` answers, with their median and 99th percentile. Percentiles are computed once
/// per `refresh` answers, since sorting at each answer is too expensive for the window of a service.
class latency_window {
public:
    latency_window(std::size_t capacity, std::size_t refresh) : capacity_(capacity), refresh_(refresh) {}

    void add(std::chrono::microseconds latency);
    void clear();

    [[nodiscard]] bool full() const { return samples_.size() == capacity_; }
    [[nodiscard]] bool empty() const { return samples_.empty(); }
    /// 0 without answers.
    [[nodiscard]] std::chrono::microseconds median() const { return median_; }
    [[nodiscard]] std::chrono::microseconds percentile_99() const { return percentile_99_; }
    /// Exponential average with weight 1/8 for the newest answer.
    [[nodiscard]] std::chrono::microseconds average() const { return average_; }

private:
    void compute();

    std::size_t capacity_;
    std::size_t refresh_;
    std::size_t next_ = 0;
    std::size_t since_refresh_ = 0;
    std::vector<std::chrono::microseconds> samples_;
    std::chrono::microseconds median_ = std::chrono::microseconds(0);
    std::chrono::microseconds percentile_99_ = std::chrono::microseconds(0);
    std::chrono::microseconds average_ = std::chrono::microseconds(0);
};

} // namespace lovagetack::requests
