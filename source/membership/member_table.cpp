#include "membership/member_table.hpp"

#include <algorithm>
#include <tuple>

#include "base/key_hash.hpp"

namespace lovagetack::membership {

bool is_present(const model::member& member) {
    switch (member.state) {
    case model::member_state::joining:
    case model::member_state::live:
    case model::member_state::leaving:
        return true;
    case model::member_state::left:
    case model::member_state::unreachable:
        return false;
    }
    // A state of a newer protocol version.
    return true;
}

member_entry* member_table::find(const model::instance_id& id) {
    const auto found = entries_.find(id);
    return found == entries_.end() ? nullptr : &found->second;
}

member_entry& member_table::set(const model::member& member, base::boot_time now) {
    member_entry& entry = entries_[member.id];
    const bool was_present = is_present(entry.member) && !entry.member.id.empty();
    const bool same_data_centre = entry.member.data_centre == member.data_centre;
    if (entry.member.incarnation != member.incarnation) {
        entry = member_entry{};
    }
    entry.member = member;
    if (is_present(member)) {
        entry.gone_since.reset();
    } else if (!entry.gone_since) {
        entry.gone_since = now;
        entry.suspected.reset();
    }
    if (was_present != is_present(member) || !same_data_centre) {
        rebuild(now);
    } else {
        rebuild_neighbours(now);
    }
    return entry;
}

void member_table::erase(const model::instance_id& id, base::boot_time now) {
    entries_.erase(id);
    rebuild(now);
}

void member_table::rebuild(base::boot_time now) {
    ring_.clear();
    local_.clear();
    remote_.clear();
    for (const auto& [id, entry] : entries_) {
        if (!is_present(entry.member)) {
            continue;
        }
        auto& members = entry.member.data_centre == data_centre_ ? local_ : remote_[entry.member.data_centre];
        members.push_back(id);
    }
    ring_ = local_;
    ring_.push_back(self_);
    std::sort(ring_.begin(), ring_.end(), [](const auto& a, const auto& b) {
        return std::make_tuple(base::key_hash(a.value()), a.value()) <
               std::make_tuple(base::key_hash(b.value()), b.value());
    });
    rebuild_neighbours(now);
}

member_table::instance_ids member_table::neighbours_of(const model::instance_id& id) const {
    const auto found = std::find(ring_.begin(), ring_.end(), id);
    if (found == ring_.end() || ring_.size() < 2) {
        return {};
    }
    const auto position = static_cast<std::size_t>(found - ring_.begin());
    const auto& before = ring_[(position + ring_.size() - 1) % ring_.size()];
    const auto& after = ring_[(position + 1) % ring_.size()];
    return before == after ? instance_ids{before} : instance_ids{before, after};
}

void member_table::rebuild_neighbours(base::boot_time now) {
    neighbours_ = neighbours_of(self_);
    for (const auto& id : local_) {
        member_entry& entry = entries_[id];
        if (std::find(neighbours_.begin(), neighbours_.end(), id) == neighbours_.end()) {
            entry.neighbour_since.reset();
            entry.suspected.reset();
        } else if (!entry.neighbour_since) {
            entry.neighbour_since = now;
        }
    }
}

} // namespace lovagetack::membership
