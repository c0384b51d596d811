#pragma once

#include <string>
#include <vector>

#include "telemetry/timeline_buffer.hpp"

namespace lovagetack::cli {

/// Entries of several instances, sorted by stamp and then by instance.
void sort_causally(std::vector<telemetry::stamped_entry>& entries);

/// True when the entry has the key, or a range from `first` to `last` that contains the key's hash, and has the
/// request; an empty filter matches every entry.
[[nodiscard]] bool matches_filter(const telemetry::stamped_entry& entry, const std::string& key,
                                  const std::string& request);

/// One line per entry: time, instance, event and its fields.
[[nodiscard]] std::string timeline_text(const std::vector<telemetry::stamped_entry>& entries);

/// One self-contained page: processes as rows, events as marks, filters for key, request and event.
[[nodiscard]] std::string timeline_html(const std::vector<telemetry::stamped_entry>& entries);

} // namespace lovagetack::cli
