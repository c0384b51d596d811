#include "http/byte_account.hpp"

#include <algorithm>

namespace lovagetack::http {
namespace {

/// Resident memory of a process without callers in a large deployment.
constexpr std::uint64_t program_bytes = std::uint64_t(40) * 1024 * 1024;
/// One part in this many of the memory is left to the kernel's socket buffers, which count as the process's memory.
constexpr std::uint64_t kernel_part = 8;
/// One part in this many of the total is kept for small requests.
constexpr std::uint64_t reserve_part = 8;
/// A machine that is smaller than the program still serves small requests.
constexpr std::uint64_t least_total = std::uint64_t(2) * 1024 * 1024;

} // namespace

byte_limits limits_for_memory(std::uint64_t memory) {
    if (memory == 0) {
        return {};
    }
    const auto used = program_bytes + memory / kernel_part;
    const auto total = std::max(least_total, memory > used ? memory - used : 0);
    return {total, total / reserve_part};
}

bool byte_account::change(std::uint64_t from, std::uint64_t to) {
    if (to > from) {
        const auto others = held() - from;
        const auto fits = [to](std::uint64_t taken, std::uint64_t most) { return taken <= most && to <= most - taken; };
        if (!fits(others, limits_.total)) {
            return false;
        }
        const auto other_large = large_ - (from > small_bytes ? from : 0);
        if (to > small_bytes && !fits(other_large, limits_.total - limits_.reserve)) {
            return false;
        }
    }
    part_of(from) -= from;
    part_of(to) += to;
    return true;
}

bool byte_charge::resize(std::uint64_t bytes) {
    if (!account_.change(bytes_, bytes)) {
        return false;
    }
    bytes_ = bytes;
    return true;
}

} // namespace lovagetack::http
