#pragma once

#include <cstdint>
#include <string_view>

namespace lovagetack::base {

/// XXH64 with seed 0. All instances must place a key identically, so neither the function nor the seed may change.
[[nodiscard]] std::uint64_t key_hash(std::string_view key);

/// Score of a candidate for an item in rendezvous hashing; the highest score wins.
[[nodiscard]] std::uint64_t rendezvous_score(std::string_view item, std::string_view candidate);

/// Hash of a text and of all that `hash` already covers.
[[nodiscard]] std::uint64_t chained_hash(std::uint64_t hash, std::string_view text);

} // namespace lovagetack::base
