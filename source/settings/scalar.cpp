#include "settings/scalar.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <limits>
#include <string_view>

#include <QHostAddress>
#include <QString>

namespace lovagetack::settings {
namespace {

struct unit {
    std::string_view suffix;
    std::int64_t factor;
};

constexpr std::array duration_units = {unit{"ms", 1}, unit{"min", 60'000}, unit{"s", 1'000}};
constexpr std::array size_units = {unit{"KiB", 1LL << 10}, unit{"MiB", 1LL << 20}, unit{"GiB", 1LL << 30},
                                   unit{"B", 1}};
constexpr std::int64_t one_day_in_milliseconds = 24LL * 3600 * 1000;
constexpr std::int64_t one_tebibyte = 1LL << 40;
constexpr std::size_t maximum_name_length = 63;

template <std::size_t Count>
std::optional<std::int64_t> read_with_unit(const std::string& text, const std::array<unit, Count>& units,
                                           std::int64_t highest) {
    for (const auto& unit : units) {
        if (!text.ends_with(unit.suffix)) {
            continue;
        }
        const auto number = read_number(text.substr(0, text.size() - unit.suffix.size()), 1, highest / unit.factor);
        return number ? std::optional(*number * unit.factor) : std::nullopt;
    }
    return std::nullopt;
}

} // namespace

std::optional<bool> read_bool(const std::string& text) {
    if (text == "true") {
        return true;
    }
    return text == "false" ? std::optional(false) : std::nullopt;
}

std::optional<std::int64_t> read_number(const std::string& text, std::int64_t lowest, std::int64_t highest) {
    std::int64_t number = 0;
    const char* const end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, number);
    if (error != std::errc{} || stop != end || number < lowest || number > highest) {
        return std::nullopt;
    }
    return number;
}

std::optional<std::chrono::milliseconds> read_duration(const std::string& text) {
    const auto number = read_with_unit(text, duration_units, one_day_in_milliseconds);
    return number ? std::optional(std::chrono::milliseconds(*number)) : std::nullopt;
}

std::optional<std::uint64_t> read_size(const std::string& text) {
    const auto number = read_with_unit(text, size_units, one_tebibyte);
    return number ? std::optional(static_cast<std::uint64_t>(*number)) : std::nullopt;
}

std::optional<model::address> read_address(const std::string& text) {
    const auto colon = text.rfind(':');
    if (colon == std::string::npos) {
        return std::nullopt;
    }
    const auto port = read_number(text.substr(colon + 1), 1, std::numeric_limits<std::uint16_t>::max());
    std::string host = text.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
    }
    const QHostAddress parsed(QString::fromStdString(host));
    if (!port || parsed.isNull()) {
        return std::nullopt;
    }
    return model::address{parsed.toString().toStdString(), static_cast<std::uint16_t>(*port)};
}

bool is_name(const std::string& text) {
    const auto allowed = [](char letter) {
        return (letter >= 'a' && letter <= 'z') || (letter >= '0' && letter <= '9') || letter == '-';
    };
    return !text.empty() && text.size() <= maximum_name_length && std::all_of(text.begin(), text.end(), allowed);
}

} // namespace lovagetack::settings
