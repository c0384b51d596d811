#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

#include <QJsonObject>

#include "telemetry/latency_histogram.hpp"

namespace lovagetack::load {

/// Results of one run. Latencies are measured from the planned time of a request, so that they include the waiting time
/// of requests that were due while a server stalled the sender.
struct load_report {
    telemetry::latency_histogram latency;
    /// Answers by HTTP status; 0 for requests without a complete answer.
    std::map<int, std::uint64_t> statuses;
    /// Error answers by the value of their lovagetack-outcome field.
    std::map<std::string, std::uint64_t> outcomes;
    /// Successful answers by backend server, as the stand-in servers name themselves in lovagetack-backend-server.
    std::map<std::string, std::uint64_t> backend_servers;
    std::chrono::microseconds duration{0};
    /// Longest time between two successful answers.
    std::chrono::microseconds longest_gap{0};

    /// Answers with a status from 200 to 399.
    [[nodiscard]] std::uint64_t succeeded() const;
    /// Successful answers per second.
    [[nodiscard]] double throughput() const;
    /// Maximum divided by mean of the answers per backend server; 0 if there are none.
    [[nodiscard]] double imbalance() const;
    [[nodiscard]] QJsonObject json() const;
    [[nodiscard]] std::string text() const;
};

} // namespace lovagetack::load
