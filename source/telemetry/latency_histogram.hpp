#pragma once

#include <chrono>
#include <cstdint>
#include <vector>

#include <boost/histogram.hpp>

namespace lovagetack::telemetry {

/// Histogram of latencies from 10 us to 100 s in logarithmic bins, 16 per decade (error at most 15.5% of the value).
class latency_histogram {
public:
    struct bin {
        std::chrono::microseconds upper;
        std::uint64_t count = 0;
    };

    latency_histogram();

    void add(std::chrono::microseconds value);
    void add(const latency_histogram& other);

    [[nodiscard]] std::uint64_t count() const { return count_; }
    [[nodiscard]] std::chrono::microseconds sum() const { return sum_; }
    [[nodiscard]] std::chrono::microseconds maximum() const { return maximum_; }

    /// The value below which the given share (0 to 1) of the latencies lies, interpolated within its bin; 0 when empty.
    [[nodiscard]] std::chrono::microseconds quantile(double share) const;

    /// All bins, including those below and above the range.
    [[nodiscard]] std::vector<bin> bins() const;

private:
    using axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using storage = boost::histogram::dense_storage<std::uint64_t>;

    boost::histogram::histogram<std::tuple<axis>, storage> histogram_;
    std::uint64_t count_ = 0;
    std::chrono::microseconds sum_{0};
    std::chrono::microseconds maximum_{0};
};

} // namespace lovagetack::telemetry
