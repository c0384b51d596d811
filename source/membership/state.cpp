#include "membership/state.hpp"

#include <utility>

namespace lovagetack::membership {

state::state(model::member self, std::vector<model::address> seeds, limits limits)
    : limits_(limits), self_(std::move(self)), seeds_(std::move(seeds)), facts_(limits_),
      table_(self_.id, self_.data_centre), configuration_version_(self_.configuration_version) {}

std::vector<model::member> state::members() const {
    std::vector<model::member> list;
    list.reserve(table_.all().size() + 1);
    bool self_listed = false;
    for (const auto& [id, entry] : table_.all()) {
        if (!self_listed && self_.id.value() < id.value()) {
            list.push_back(self_);
            self_listed = true;
        }
        list.push_back(entry.member);
    }
    if (!self_listed) {
        list.push_back(self_);
    }
    return list;
}

const model::fact* state::find_fact(model::fact_kind kind, const std::string& name) const {
    return facts_.find(kind, name);
}

} // namespace lovagetack::membership
