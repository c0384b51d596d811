#include "cli/timeline_page.hpp"

#include <algorithm>
#include <chrono>
#include <tuple>

#include <QDateTime>
#include <QTimeZone>

#include "base/json.hpp"
#include "base/key_hash.hpp"
#include "cli/timeline_template.hpp"
#include "telemetry/event_log.hpp"

namespace lovagetack::cli {
namespace {

constexpr std::string_view entries_placeholder = "/*ENTRIES*/";

std::string value_of(const telemetry::stamped_entry& entry, const std::string& name) {
    for (const auto& field : entry.entry.fields) {
        if (field.key == name) {
            return field.value;
        }
    }
    return {};
}

/// Events of ranges have the fields `first` and `last`, decimal hashes.
bool has_range_containing(const telemetry::stamped_entry& entry, std::uint64_t hash) {
    const auto first = value_of(entry, "first");
    const auto last = value_of(entry, "last");
    if (first.empty() || last.empty()) {
        return false;
    }
    return QString::fromStdString(first).toULongLong() <= hash && hash <= QString::fromStdString(last).toULongLong();
}

std::string time_text(std::uint64_t stamp) {
    const auto time = QDateTime::fromMSecsSinceEpoch(static_cast<qint64>(stamp / 1000), QTimeZone::utc());
    auto microseconds = std::to_string(stamp % 1000);
    microseconds.insert(0, 3 - microseconds.size(), '0');
    return time.toString("yyyy-MM-ddTHH:mm:ss.zzz").toStdString() + microseconds + 'Z';
}

/// Escapes "</", which would end the script element even inside a string.
std::string escape_for_script(std::string text) {
    for (auto place = text.find("</"); place != std::string::npos; place = text.find("</", place)) {
        text.replace(place, 2, "<\\/");
    }
    return text;
}

} // namespace

void sort_causally(std::vector<telemetry::stamped_entry>& entries) {
    std::stable_sort(entries.begin(), entries.end(), [](const auto& left, const auto& right) {
        return std::tie(left.stamp, left.instance) < std::tie(right.stamp, right.instance);
    });
}

bool matches_filter(const telemetry::stamped_entry& entry, const std::string& key, const std::string& request) {
    if (!request.empty() && value_of(entry, "request") != request) {
        return false;
    }
    return key.empty() || value_of(entry, "key") == key || has_range_containing(entry, base::key_hash(key));
}

std::string timeline_text(const std::vector<telemetry::stamped_entry>& entries) {
    std::string text;
    for (const auto& entry : entries) {
        text += time_text(entry.stamp) + " instance=" + entry.instance + " event=" + entry.entry.name;
        if (!entry.entry.fields.empty()) {
            text += ' ' + telemetry::format_fields(entry.entry.fields);
        }
        text += '\n';
    }
    return text;
}

std::string timeline_html(const std::vector<telemetry::stamped_entry>& entries) {
    std::string data;
    for (const auto& entry : entries) {
        data += escape_for_script(base::to_json_text(entry)) + ",\n";
    }
    std::string page(timeline_template);
    page.replace(page.find(entries_placeholder), entries_placeholder.size(), data);
    return page;
}

} // namespace lovagetack::cli
