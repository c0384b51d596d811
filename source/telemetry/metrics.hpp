#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "telemetry/latency_histogram.hpp"

namespace lovagetack::telemetry {

/// Labels of one time series, in output order.
using labels = std::vector<std::pair<std::string_view, std::string>>;

/// Counters, gauges and latency histograms of one process in the Prometheus text format.
class metrics {
public:
    void count(std::string_view name, const labels& labels, std::uint64_t amount = 1);
    void set(std::string_view name, const labels& labels, double value);
    void observe(std::string_view name, const labels& labels, std::chrono::microseconds value);

    /// Removes all gauges of this name, so that series of objects that no longer exist are not reported.
    void clear_gauge(std::string_view name);

    [[nodiscard]] std::string text() const;

private:
    template <class Value>
    using family = std::map<std::string, std::map<std::string, Value>, std::less<>>;

    family<std::uint64_t> counters_;
    family<double> gauges_;
    family<latency_histogram> histograms_;
};

} // namespace lovagetack::telemetry
