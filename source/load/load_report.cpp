#include "load/load_report.hpp"

#include <algorithm>
#include <sstream>

namespace lovagetack::load {
namespace {

double milliseconds(std::chrono::microseconds value) {
    return std::chrono::duration<double, std::milli>(value).count();
}

} // namespace

std::uint64_t load_report::succeeded() const {
    std::uint64_t sum = 0;
    for (const auto& [status, count] : statuses) {
        sum += status >= 200 && status < 400 ? count : 0;
    }
    return sum;
}

double load_report::throughput() const {
    const double seconds = std::chrono::duration<double>(duration).count();
    return seconds > 0 ? static_cast<double>(succeeded()) / seconds : 0;
}

double load_report::imbalance() const {
    std::uint64_t sum = 0;
    std::uint64_t most = 0;
    for (const auto& [name, count] : backend_servers) {
        sum += count;
        most = std::max(most, count);
    }
    return sum == 0 ? 0 : static_cast<double>(most * backend_servers.size()) / static_cast<double>(sum);
}

QJsonObject load_report::json() const {
    QJsonObject by_status;
    for (const auto& [status, count] : statuses) {
        by_status.insert(QString::number(status), static_cast<qint64>(count));
    }
    QJsonObject by_outcome;
    for (const auto& [outcome, count] : outcomes) {
        by_outcome.insert(QString::fromStdString(outcome), static_cast<qint64>(count));
    }
    return {{"throughput", throughput()},
            {"succeeded", static_cast<qint64>(succeeded())},
            {"p50_ms", milliseconds(latency.quantile(0.5))},
            {"p90_ms", milliseconds(latency.quantile(0.9))},
            {"p99_ms", milliseconds(latency.quantile(0.99))},
            {"p999_ms", milliseconds(latency.quantile(0.999))},
            {"max_ms", milliseconds(latency.maximum())},
            {"longest_gap_ms", milliseconds(longest_gap)},
            {"imbalance", imbalance()},
            {"backend_servers", static_cast<qint64>(backend_servers.size())},
            {"statuses", by_status},
            {"outcomes", by_outcome}};
}

std::string load_report::text() const {
    std::ostringstream out;
    out << "succeeded=" << succeeded() << " throughput=" << throughput()
        << "/s p50_ms=" << milliseconds(latency.quantile(0.5)) << " p90_ms=" << milliseconds(latency.quantile(0.9))
        << " p99_ms=" << milliseconds(latency.quantile(0.99)) << " p999_ms=" << milliseconds(latency.quantile(0.999))
        << " max_ms=" << milliseconds(latency.maximum()) << " longest_gap_ms=" << milliseconds(longest_gap)
        << " imbalance=" << imbalance() << " backend_servers=" << backend_servers.size();
    for (const auto& [status, count] : statuses) {
        out << " status_" << status << '=' << count;
    }
    for (const auto& [outcome, count] : outcomes) {
        out << " outcome_" << outcome << '=' << count;
    }
    out << '\n';
    return out.str();
}

} // namespace lovagetack::load
