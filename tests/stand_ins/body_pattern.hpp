#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace lovagetack::stand_ins {

/// Bytes offset to offset + count of the repeating pattern of a seed. The period is a prime, so that a lost or repeated
/// block of a power of two bytes is detected; the start depends on the seed, so that swapped bodies are detected.
[[nodiscard]] std::string body_pattern(std::string_view seed, std::uint64_t offset, std::uint64_t count);

} // namespace lovagetack::stand_ins
