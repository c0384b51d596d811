#include "telemetry/timeline_buffer.hpp"

#include <utility>

#include "base/json.hpp"

namespace lovagetack::telemetry {

timeline_buffer::timeline_buffer(std::string instance, std::size_t capacity)
    : instance_(std::move(instance)), capacity_(capacity) {}

void timeline_buffer::add(const model::timeline_entry& entry) {
    entries_.push_back({clock_.next(), instance_, entry});
    if (entries_.size() > capacity_) {
        entries_.pop_front();
    }
}

std::string timeline_buffer::json_lines(std::uint64_t after) const {
    std::string text;
    for (const auto& entry : entries_) {
        if (entry.stamp > after) {
            text += base::to_json_text(entry) + '\n';
        }
    }
    return text;
}

} // namespace lovagetack::telemetry
