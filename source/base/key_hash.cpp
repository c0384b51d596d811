#include "base/key_hash.hpp"

#include <xxhash.h>

namespace lovagetack::base {

std::uint64_t key_hash(std::string_view key) {
    return XXH64(key.data(), key.size(), 0);
}

std::uint64_t rendezvous_score(std::string_view item, std::string_view candidate) {
    return XXH64(candidate.data(), candidate.size(), key_hash(item));
}

std::uint64_t chained_hash(std::uint64_t hash, std::string_view text) {
    return XXH64(text.data(), text.size(), hash);
}

} // namespace lovagetack::base
