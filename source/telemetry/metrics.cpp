#include "telemetry/metrics.hpp"

#include <sstream>

namespace lovagetack::telemetry {
namespace {

std::string escape(const std::string& value) {
    std::string text;
    for (const char letter : value) {
        if (letter == '\\' || letter == '"') {
            text += '\\';
        }
        text += letter == '\n' ? ' ' : letter;
    }
    return text;
}

std::string render(const labels& labels) {
    std::string text;
    for (const auto& [name, value] : labels) {
        if (!text.empty()) {
            text += ',';
        }
        text.append(name).append("=\"").append(escape(value)).append("\"");
    }
    return text;
}

template <class Family>
auto& series(Family& family, std::string_view name, const labels& labels) {
    auto found = family.find(name);
    if (found == family.end()) {
        found = family.try_emplace(std::string(name)).first;
    }
    return found->second[render(labels)];
}

std::string in_braces(const std::string& labels) {
    return labels.empty() ? "" : '{' + labels + '}';
}

double seconds(std::chrono::microseconds value) {
    return std::chrono::duration<double>(value).count();
}

void write_histogram(std::ostream& out, const std::string& name, const std::string& labels,
                     const latency_histogram& histogram) {
    const std::string separator = labels.empty() ? "" : ",";
    std::uint64_t cumulative = 0;
    for (const auto& bin : histogram.bins()) {
        cumulative += bin.count;
        // Empty bins add no information to a cumulative histogram and would make the page long.
        if (bin.count > 0) {
            out << name << "_bucket{" << labels << separator << "le=\"" << seconds(bin.upper) << "\"} " << cumulative
                << '\n';
        }
    }
    out << name << "_bucket{" << labels << separator << "le=\"+Inf\"} " << histogram.count() << '\n';
    out << name << "_sum" << in_braces(labels) << ' ' << seconds(histogram.sum()) << '\n';
    out << name << "_count" << in_braces(labels) << ' ' << histogram.count() << '\n';
}

} // namespace

void metrics::count(std::string_view name, const labels& labels, std::uint64_t amount) {
    series(counters_, name, labels) += amount;
}

void metrics::set(std::string_view name, const labels& labels, double value) {
    series(gauges_, name, labels) = value;
}

void metrics::observe(std::string_view name, const labels& labels, std::chrono::microseconds value) {
    series(histograms_, name, labels).add(value);
}

void metrics::clear_gauge(std::string_view name) {
    const auto found = gauges_.find(name);
    if (found != gauges_.end()) {
        gauges_.erase(found);
    }
}

std::string metrics::text() const {
    std::ostringstream out;
    for (const auto& [name, family] : counters_) {
        out << "# TYPE " << name << " counter\n";
        for (const auto& [labels, value] : family) {
            out << name << in_braces(labels) << ' ' << value << '\n';
        }
    }
    for (const auto& [name, family] : gauges_) {
        out << "# TYPE " << name << " gauge\n";
        for (const auto& [labels, value] : family) {
            out << name << in_braces(labels) << ' ' << value << '\n';
        }
    }
    for (const auto& [name, family] : histograms_) {
        out << "# TYPE " << name << " histogram\n";
        for (const auto& [labels, value] : family) {
            write_histogram(out, name, labels, value);
        }
    }
    return out.str();
}

} // namespace lovagetack::telemetry
