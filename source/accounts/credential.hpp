#pragma once

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lovagetack::accounts {

/// The SHA-256 digest of a client account's key. Keys themselves are not kept, logged or passed on, and the time of a
/// comparison of digests tells nothing about a key.
struct credential {
    std::array<std::uint8_t, 32> digest{};

    auto operator<=>(const credential&) const = default;
};

/// Length in bytes of the longest key.
inline constexpr std::size_t longest_key = 256;

[[nodiscard]] credential credential_of(std::string_view key);

/// The digest in hexadecimal digits.
[[nodiscard]] std::string to_text(const credential& credential);
/// Reads what to_text returns; nothing for any other text.
[[nodiscard]] std::optional<credential> credential_from_text(std::string_view text);

} // namespace lovagetack::accounts
