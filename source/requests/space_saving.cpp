#include "requests/space_saving.hpp"

namespace lovagetack::requests {

void space_saving::add(std::uint64_t item) {
    const auto found = counters_.find(item);
    if (found != counters_.end()) {
        by_count_.erase({found->second.count, item});
        found->second.count += 1;
        by_count_.insert({found->second.count, item});
        return;
    }
    counter added{1, 0};
    if (counters_.size() >= capacity_) {
        const auto [count, replaced] = *by_count_.begin();
        added = {count + 1, count};
        counters_.erase(replaced);
        by_count_.erase(by_count_.begin());
    }
    counters_.emplace(item, added);
    by_count_.insert({added.count, item});
}

void space_saving::clear() {
    counters_.clear();
    by_count_.clear();
}

} // namespace lovagetack::requests
