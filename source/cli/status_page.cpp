#include "cli/status_page.hpp"

#include <algorithm>
#include <sstream>
#include <vector>

#include <QJsonArray>

namespace lovagetack::cli {
namespace {

std::string text_of(const QJsonValue& value) {
    if (value.isDouble()) {
        return std::to_string(value.toInteger());
    }
    if (value.isBool()) {
        return value.toBool() ? "yes" : "no";
    }
    const auto text = value.toString().toStdString();
    return text.empty() ? "-" : text;
}

/// Formats a table; each column is as wide as its widest cell.
std::string table_text(const QJsonArray& rows, const std::vector<const char*>& columns) {
    std::vector<std::vector<std::string>> cells;
    cells.emplace_back(columns.begin(), columns.end());
    for (const auto& row : rows) {
        auto& line = cells.emplace_back();
        for (const char* column : columns) {
            line.push_back(text_of(row.toObject().value(QLatin1StringView(column))));
        }
    }
    std::vector<std::size_t> widths(columns.size(), 0);
    for (const auto& line : cells) {
        for (std::size_t index = 0; index < line.size(); ++index) {
            widths[index] = std::max(widths[index], line[index].size());
        }
    }
    std::ostringstream out;
    for (const auto& line : cells) {
        for (std::size_t index = 0; index < line.size(); ++index) {
            out << line[index] << std::string(widths[index] - line[index].size() + 2, ' ');
        }
        out << '\n';
    }
    return out.str();
}

} // namespace

std::string status_text(const QJsonObject& status) {
    std::ostringstream out;
    for (const char* key : {"instance", "data_centre", "state", "ready", "configuration_version", "controller", "epoch",
                            "authority", "store_reachable", "requests_in_flight"}) {
        out << key << '=' << text_of(status.value(QLatin1StringView(key))) << ' ';
    }
    out << "\n\nmembers\n"
        << table_text(status.value("members").toArray(),
                      {"instance", "data_centre", "state", "configuration_version", "lags"});
    out << "\nbackend servers\n"
        << table_text(status.value("backend_servers").toArray(),
                      {"backend_server", "service", "home", "outstanding", "queued", "usable_slots", "ramp_rate",
                       "straggler", "takes_new_work"});
    const auto orders = status.value("service_states").toArray();
    if (!orders.isEmpty()) {
        out << "\nout of service\n" << table_text(orders, {"kind", "name", "availability", "stored", "superseded"});
    }
    for (const auto& line : status.value("restrictions").toArray()) {
        out << "restricted: " << text_of(line) << '\n';
    }
    return out.str();
}

} // namespace lovagetack::cli
