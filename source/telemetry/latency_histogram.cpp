#include "telemetry/latency_histogram.hpp"

#include <algorithm>
#include <cmath>

namespace lovagetack::telemetry {
namespace {

constexpr double lowest_microseconds = 10.0;
constexpr double highest_microseconds = 100e6;
constexpr unsigned decades = 7;
constexpr unsigned bins_per_decade = 16;

} // namespace

latency_histogram::latency_histogram()
    : histogram_(std::make_tuple(axis(decades * bins_per_decade, lowest_microseconds, highest_microseconds)),
                 storage()) {}

void latency_histogram::add(std::chrono::microseconds value) {
    histogram_(static_cast<double>(value.count()));
    ++count_;
    sum_ += value;
    maximum_ = std::max(maximum_, value);
}

void latency_histogram::add(const latency_histogram& other) {
    histogram_ += other.histogram_;
    count_ += other.count_;
    sum_ += other.sum_;
    maximum_ = std::max(maximum_, other.maximum_);
}

std::chrono::microseconds latency_histogram::quantile(double share) const {
    if (count_ == 0) {
        return std::chrono::microseconds(0);
    }
    const double wanted = share * static_cast<double>(count_);
    double below = 0;
    const auto& bins = histogram_.axis(0);
    for (int index = -1; index <= bins.size(); ++index) {
        const auto in_bin = static_cast<double>(histogram_.at(index));
        if (in_bin == 0 || below + in_bin < wanted) {
            below += in_bin;
            continue;
        }
        const double lower = index < 0 ? 0.0 : bins.value(index);
        const double upper = index >= bins.size() ? static_cast<double>(maximum_.count()) : bins.value(index + 1);
        const double value = lower + (upper - lower) * (wanted - below) / in_bin;
        return std::min(maximum_, std::chrono::microseconds(std::llround(value)));
    }
    return maximum_;
}

std::vector<latency_histogram::bin> latency_histogram::bins() const {
    std::vector<bin> result;
    const auto& bins = histogram_.axis(0);
    for (int index = -1; index <= bins.size(); ++index) {
        const double upper = index >= bins.size() ? highest_microseconds * 10 : bins.value(index + 1);
        result.push_back({std::chrono::microseconds(std::llround(upper)), histogram_.at(index)});
    }
    return result;
}

} // namespace lovagetack::telemetry
