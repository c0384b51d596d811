#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <unordered_map>

#include <log4cxx/logger.h>

#include "base/boot_time.hpp"
#include "base/result.hpp"
#include "model/timeline_entry.hpp"

namespace lovagetack::telemetry {

enum class log_level : std::uint8_t {
    debug,
    info,
    warn,
    error,
};

/// Parses "debug", "info", "warn" or "error"; returns info for any other text.
[[nodiscard]] log_level read_log_level(const std::string& text);

/// The fields as key=value pairs with a space between them; a value that has spaces, quotes or control characters is
/// quoted, with backslash escapes.
[[nodiscard]] std::string format_fields(const std::vector<model::timeline_field>& fields);

/// Writes one key=value line per event through log4cxx. Lines of one event name above lines_per_second, and lines that
/// would block on a full standard output, are suppressed. Their number is written in the next line of that name.
class event_log {
public:
    /// Writes to standard output if `file` is empty, else appends to the file.
    event_log(const std::string& instance, log_level lowest, const std::string& file);

    /// Whether lines of this level are written. Lets callers avoid building an entry that would be discarded.
    [[nodiscard]] bool writes(log_level level) const { return level >= lowest_; }

    void write(log_level level, base::boot_time now, const model::timeline_entry& entry);

private:
    struct rate {
        base::boot_time window_start;
        int lines = 0;
        std::uint64_t suppressed = 0;
    };

    /// Most lines of one event name per second.
    static constexpr int lines_per_second = 20;

    /// Counts a line; returns whether it is within lines_per_second.
    [[nodiscard]] bool admit(rate& rate, base::boot_time now) const;

    log_level lowest_;
    bool to_standard_output_;
    log4cxx::LoggerPtr logger_;
    std::unordered_map<std::string, rate> rates_;
};

} // namespace lovagetack::telemetry
