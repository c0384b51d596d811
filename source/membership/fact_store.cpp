#include "membership/fact_store.hpp"

#include <tuple>

#include "base/key_hash.hpp"

namespace lovagetack::membership {
namespace {

std::uint64_t hash_of(const model::fact& fact) {
    return base::key_hash(std::to_string(static_cast<int>(fact.kind)) + '/' + std::to_string(fact.version.epoch) + '/' +
                          std::to_string(fact.version.sequence) + '/' + fact.name);
}

std::size_t bytes_of(const model::fact& fact) {
    return fact.name.size() + fact.value.size();
}

} // namespace

bool is_newer(const model::fact_version& a, const model::fact_version& b) {
    return std::tie(a.epoch, a.sequence) > std::tie(b.epoch, b.sequence);
}

bool fact_store::has_room_for(const model::fact& fact, const entry* replaced) const {
    if (bytes_of(fact) > limits_.maximum_fact_bytes) {
        return false;
    }
    if (replaced != nullptr) {
        return bytes_ - bytes_of(replaced->fact) + bytes_of(fact) <= limits_.maximum_bytes;
    }
    return facts_.size() < limits_.maximum_facts && bytes_ + bytes_of(fact) <= limits_.maximum_bytes;
}

fact_store::outcome fact_store::put(const model::fact& fact, bool digested) {
    const model::fact_name name{fact.kind, fact.name};
    const auto found = facts_.find(name);
    const entry* const replaced = found == facts_.end() ? nullptr : &found->second;
    if (replaced != nullptr && !is_newer(fact.version, replaced->fact.version)) {
        return outcome::not_newer;
    }
    if (!has_room_for(fact, replaced)) {
        return outcome::refused;
    }
    if (replaced != nullptr) {
        digest_ -= replaced->digested ? hash_of(replaced->fact) : 0;
        bytes_ -= bytes_of(replaced->fact);
    }
    facts_.insert_or_assign(name, entry{fact, digested});
    digest_ += digested ? hash_of(fact) : 0;
    bytes_ += bytes_of(fact);
    return outcome::stored;
}

void fact_store::erase(model::fact_kind kind, const std::string& name) {
    const auto found = facts_.find({kind, name});
    if (found == facts_.end()) {
        return;
    }
    digest_ -= found->second.digested ? hash_of(found->second.fact) : 0;
    bytes_ -= bytes_of(found->second.fact);
    facts_.erase(found);
}

const model::fact* fact_store::find(model::fact_kind kind, const std::string& name) const {
    const auto found = facts_.find({kind, name});
    return found == facts_.end() ? nullptr : &found->second.fact;
}

void fact_store::for_each(model::fact_kind kind, const std::function<void(const model::fact&)>& visit) const {
    for (auto at = facts_.lower_bound({kind, {}}); at != facts_.end() && at->first.kind == kind; ++at) {
        visit(at->second.fact);
    }
}

std::vector<model::fact_summary> fact_store::summaries() const {
    std::vector<model::fact_summary> list;
    list.reserve(facts_.size());
    for (const auto& [name, stored] : facts_) {
        if (name.kind != model::fact_kind::load_report) {
            list.push_back({name, stored.fact.version});
        }
    }
    return list;
}

std::vector<model::fact> fact_store::newer_than(const std::vector<model::fact_summary>& known) const {
    std::map<model::fact_name, model::fact_version, name_order> versions;
    for (const auto& summary : known) {
        versions.insert_or_assign(summary.name, summary.version);
    }
    std::vector<model::fact> list;
    for (const auto& [name, stored] : facts_) {
        const auto known_version = versions.find(name);
        const bool newer = known_version == versions.end() || is_newer(stored.fact.version, known_version->second);
        if (newer && name.kind != model::fact_kind::load_report) {
            list.push_back(stored.fact);
        }
    }
    return list;
}

bool fact_store::is_behind(const std::vector<model::fact_summary>& known) const {
    for (const auto& summary : known) {
        const model::fact* const local_fact = find(summary.name.kind, summary.name.name);
        if (local_fact == nullptr || is_newer(summary.version, local_fact->version)) {
            return true;
        }
    }
    return false;
}

} // namespace lovagetack::membership
