#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "model/address.hpp"

/// Readers of scalar values; each returns nothing when the text is not of its form.
namespace lovagetack::settings {

/// "true" or "false".
[[nodiscard]] std::optional<bool> read_bool(const std::string& text);

/// A whole number within the bounds, both included.
[[nodiscard]] std::optional<std::int64_t> read_number(const std::string& text, std::int64_t lowest,
                                                      std::int64_t highest);

/// A whole number followed by ms, s or min, above zero and at most one day.
[[nodiscard]] std::optional<std::chrono::milliseconds> read_duration(const std::string& text);

/// A whole number followed by B, KiB, MiB or GiB, above zero and at most 1 TiB.
[[nodiscard]] std::optional<std::uint64_t> read_size(const std::string& text);

/// IPV4:PORT or [IPV6]:PORT. Names are refused, since processes find each other by IP address.
[[nodiscard]] std::optional<model::address> read_address(const std::string& text);

/// A name of 1 to 63 lower-case letters, digits and '-', which can stand in URLs and row keys.
[[nodiscard]] bool is_name(const std::string& text);

} // namespace lovagetack::settings
