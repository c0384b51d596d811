#include "http/stored_body.hpp"

#include <algorithm>
#include <cstring>

#include <sys/mman.h>

namespace lovagetack::http {

void stored_body::unmap::operator()(char* bytes) const {
    ::munmap(bytes, part_bytes);
}

bool stored_body::append(std::string_view bytes) {
    if (first_.size() < part_bytes && !bytes.empty()) {
        if (first_.empty()) {
            first_.reserve(static_cast<std::size_t>(std::min<std::uint64_t>(expected_, part_bytes)));
        }
        const auto taken = bytes.substr(0, part_bytes - first_.size());
        first_.append(taken);
        size_ += taken.size();
        bytes.remove_prefix(taken.size());
    }
    while (!bytes.empty()) {
        const auto used = static_cast<std::size_t>(size_ % part_bytes);
        if (used == 0) {
            void* const made = ::mmap(nullptr, part_bytes, PROT_READ | PROT_WRITE, MAP_PRIVATE | MAP_ANONYMOUS, -1, 0);
            if (made == MAP_FAILED) {
                return false;
            }
            mapped_.emplace_back(static_cast<char*>(made));
        }
        const auto taken = bytes.substr(0, part_bytes - used);
        std::memcpy(mapped_.back().get() + used, taken.data(), taken.size());
        size_ += taken.size();
        bytes.remove_prefix(taken.size());
    }
    return true;
}

void stored_body::release() {
    first_ = std::string();
    mapped_.clear();
    mapped_.shrink_to_fit();
}

std::string_view stored_body::part(std::size_t number) const {
    if (number == 0) {
        return first_;
    }
    const auto left = static_cast<std::size_t>(size_ - number * part_bytes);
    return {mapped_[number - 1].get(), std::min(left, part_bytes)};
}

} // namespace lovagetack::http
