#include "stand_ins/body_pattern.hpp"

#include "base/key_hash.hpp"

namespace lovagetack::stand_ins {

namespace {

constexpr std::uint64_t pattern_period = 251;

} // namespace

std::string body_pattern(std::string_view seed, std::uint64_t offset, std::uint64_t count) {
    std::uint64_t position = (base::key_hash(seed) % pattern_period + offset) % pattern_period;
    std::string bytes(count, '\0');
    for (char& byte : bytes) {
        byte = static_cast<char>(position);
        position = position + 1 == pattern_period ? 0 : position + 1;
    }
    return bytes;
}

} // namespace lovagetack::stand_ins
