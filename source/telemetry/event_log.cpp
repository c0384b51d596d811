#include "telemetry/event_log.hpp"

#include <algorithm>
#include <cctype>

#include <poll.h>
#include <unistd.h>

#include <log4cxx/consoleappender.h>
#include <log4cxx/fileappender.h>
#include <log4cxx/level.h>
#include <log4cxx/patternlayout.h>

namespace lovagetack::telemetry {
namespace {

/// Whether a line can be written without blocking. A pipe that is not full accepts a line of up to PIPE_BUF bytes at
/// once. A descriptor that poll cannot query counts as writable.
bool can_write_line(int descriptor) {
    pollfd query{descriptor, POLLOUT, 0};
    return ::poll(&query, 1, 0) != 0;
}

bool needs_quotes(const std::string& value) {
    return value.empty() || std::any_of(value.begin(), value.end(), [](unsigned char letter) {
               return std::isspace(letter) != 0 || std::iscntrl(letter) != 0 || letter == '"' || letter == '=' ||
                      letter == '\\';
           });
}

std::string quoted(const std::string& value) {
    std::string text = "\"";
    for (const char letter : value) {
        if (letter == '\n') {
            text += "\\n";
        } else if (std::iscntrl(static_cast<unsigned char>(letter)) != 0) {
            text += '?';
        } else {
            if (letter == '"' || letter == '\\') {
                text += '\\';
            }
            text += letter;
        }
    }
    return text + '"';
}

log4cxx::LevelPtr level_of(log_level level) {
    switch (level) {
    case log_level::debug:
        return log4cxx::Level::getDebug();
    case log_level::info:
        return log4cxx::Level::getInfo();
    case log_level::warn:
        return log4cxx::Level::getWarn();
    case log_level::error:
        return log4cxx::Level::getError();
    }
    return log4cxx::Level::getInfo();
}

} // namespace

log_level read_log_level(const std::string& text) {
    if (text == "debug") {
        return log_level::debug;
    }
    if (text == "warn") {
        return log_level::warn;
    }
    return text == "error" ? log_level::error : log_level::info;
}

std::string format_fields(const std::vector<model::timeline_field>& fields) {
    std::string text;
    for (const auto& field : fields) {
        if (!text.empty()) {
            text += ' ';
        }
        text += field.key + '=' + (needs_quotes(field.value) ? quoted(field.value) : field.value);
    }
    return text;
}

event_log::event_log(const std::string& instance, log_level lowest, const std::string& file)
    : lowest_(lowest), to_standard_output_(file.empty()),
      logger_(log4cxx::Logger::getLogger("lovagetack." + instance)) {
    const auto layout =
        std::make_shared<log4cxx::PatternLayout>("time=%d{ISO8601} level=%p instance=" + instance + " %m%n");
    log4cxx::AppenderPtr appender;
    if (file.empty()) {
        appender = std::make_shared<log4cxx::ConsoleAppender>(layout);
    } else {
        appender = std::make_shared<log4cxx::FileAppender>(layout, file, true);
    }
    logger_->removeAllAppenders();
    logger_->setAdditivity(false);
    logger_->addAppender(appender);
    logger_->setLevel(level_of(lowest));
}

void event_log::write(log_level level, base::boot_time now, const model::timeline_entry& entry) {
    if (!writes(level)) {
        return;
    }
    auto& rate = rates_[entry.name];
    if (!admit(rate, now) || (to_standard_output_ && !can_write_line(STDOUT_FILENO))) {
        ++rate.suppressed;
        return;
    }
    std::string line = "event=" + entry.name;
    if (!entry.fields.empty()) {
        line += ' ' + format_fields(entry.fields);
    }
    if (rate.suppressed > 0) {
        line += " suppressed=" + std::to_string(rate.suppressed);
        rate.suppressed = 0;
    }
    logger_->log(level_of(level), line);
}

bool event_log::admit(rate& rate, base::boot_time now) const {
    if (now - rate.window_start >= std::chrono::seconds(1)) {
        rate.window_start = now;
        rate.lines = 0;
    }
    return ++rate.lines <= lines_per_second;
}

} // namespace lovagetack::telemetry
