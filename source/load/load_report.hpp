#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

#include <QJsonObject>

#include "telemetry/latency_histogram.hpp"

namespace lovagetack::load {

/// What one run measured. Latencies count from the planned time of a request, so that a server which stalls the sender
/// cannot hide the waiting time of the requests that were due meanwhile.
struct load_report {
    telemetry::latency_histogram latency;
    /// By HTTP status; 0 for requests without a whole answer.
    std::map<int, std::uint64_t> statuses;
    /// By lovagetack-outcome of error answers.
    std::map<std::string, std::uint64_t> outcomes;
    /// By the answering backend server, as the stand-ins name themselves.
    std::map<std::string, std::uint64_t> backend_servers;
    std::chrono::microseconds duration{0};
    /// Longest time between two successful answers.
    std::chrono::microseconds longest_gap{0};

    [[nodiscard]] std::uint64_t succeeded() const;
    [[nodiscard]] double throughput() const;
    /// Maximum over mean of the answers per backend server; 0 without answers.
    [[nodiscard]] double imbalance() const;
    [[nodiscard]] QJsonObject json() const;
    [[nodiscard]] std::string text() const;
};

} // namespace lovagetack::load
