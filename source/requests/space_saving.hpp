#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <utility>

namespace lovagetack::requests {

/// Finds the most frequent items of a stream with a fixed number of counters (space-saving algorithm). The count of an
/// item is never below its true count, and above it by at most its error.
class space_saving {
public:
    struct counter {
        std::uint64_t count = 0;
        std::uint64_t error = 0;
    };

    explicit space_saving(std::size_t capacity) : capacity_(capacity) {}

    void add(std::uint64_t item);
    void clear();
    [[nodiscard]] const std::map<std::uint64_t, counter>& counters() const { return counters_; }

private:
    std::size_t capacity_;
    std::map<std::uint64_t, counter> counters_;
    /// (count, item), to find the least frequent item.
    std::set<std::pair<std::uint64_t, std::uint64_t>> by_count_;
};

} // namespace lovagetack::requests
