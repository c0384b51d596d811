#pragma once

#include <string>
#include <vector>

#include "telemetry/timeline_buffer.hpp"

namespace lovagetack::cli {

/// Entries of several instances, sorted by stamp and then by instance.
void sort_causally(std::vector<telemetry::stamped_entry>& entries);

/// True when a field `key` or `range` (first-last, of key hashes) or `request` of the entry fits the filters; an empty
/// filter fits everything. Entries without such a field are kept only when both filters are empty.
[[nodiscard]] bool fits(const telemetry::stamped_entry& entry, const std::string& key, const std::string& request);

/// One line per entry: time, instance, event and its fields.
[[nodiscard]] std::string timeline_text(const std::vector<telemetry::stamped_entry>& entries);

/// One self-contained page: processes as rows, events as marks, filters for key, request and event.
[[nodiscard]] std::string timeline_html(const std::vector<telemetry::stamped_entry>& entries);

} // namespace lovagetack::cli
