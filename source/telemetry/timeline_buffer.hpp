#pragma once

#include <cstdint>
#include <deque>
#include <string>

#include "base/hybrid_clock.hpp"
#include "model/timeline_entry.hpp"

namespace lovagetack::telemetry {

/// A timeline event of one process.
struct stamped_entry {
    /// Stamp of the hybrid clock, microseconds since 1970.
    std::uint64_t stamp = 0;
    std::string instance;
    model::timeline_entry entry;
};

/// The latest `capacity` events of this process, for the admin endpoint /timeline.
class timeline_buffer {
public:
    timeline_buffer(std::string instance, std::size_t capacity);

    [[nodiscard]] base::hybrid_clock& clock() { return clock_; }

    void add(const model::timeline_entry& entry);

    /// The entries with a stamp above `after`, oldest first, one JSON object per line.
    [[nodiscard]] std::string json_lines(std::uint64_t after) const;

private:
    std::string instance_;
    std::size_t capacity_;
    base::hybrid_clock clock_;
    std::deque<stamped_entry> entries_;
};

} // namespace lovagetack::telemetry

template <>
struct lovagetack::base::fields_of<lovagetack::telemetry::stamped_entry> {
    static constexpr std::string_view name = "stamped_entry";
    static constexpr auto list = std::make_tuple(make_field("stamp", &telemetry::stamped_entry::stamp),
                                                 make_field("instance", &telemetry::stamped_entry::instance),
                                                 make_field("entry", &telemetry::stamped_entry::entry));
};
