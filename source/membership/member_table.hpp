#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/boot_time.hpp"
#include "model/member.hpp"

namespace lovagetack::membership {

/// A ring neighbour that fell silent.
struct suspicion {
    base::boot_time since;
    base::boot_time probed_at;
    std::uint64_t nonce = 0;
};

/// What this instance knows and has seen of one other instance.
struct member_entry {
    model::member member;
    /// Last message from it, or the start if there is none.
    std::optional<base::boot_time> heard_at;
    /// It became left or unreachable.
    std::optional<base::boot_time> gone_since;
    /// It became a ring neighbour of this instance.
    std::optional<base::boot_time> neighbour_since;
    std::optional<suspicion> suspected;
    /// Its digest differs since then.
    std::optional<base::boot_time> mismatch_since;
    std::optional<base::boot_time> recent_pushed_at;
    /// The accusation that it did not yet refute was sent to it.
    std::optional<base::boot_time> accusation_sent_at;
};

/// True for the states joining, live and leaving.
[[nodiscard]] bool is_present(const model::member& member);

/// Order of names, which keeps iteration the same in every replay.
struct id_order {
    template <class Id>
    bool operator()(const Id& a, const Id& b) const {
        return a.value() < b.value();
    }
};

/// All other instances, with the ring of this instance's data centre and the present members of the other ones.
class member_table {
public:
    using map = std::map<model::instance_id, member_entry, id_order>;
    using names = std::vector<model::instance_id>;

    member_table(model::instance_id self, model::data_centre_id data_centre)
        : self_(std::move(self)), data_centre_(std::move(data_centre)) {}

    [[nodiscard]] member_entry* find(const model::instance_id& id);
    [[nodiscard]] const map& all() const { return entries_; }
    [[nodiscard]] map& all() { return entries_; }

    /// Adds or replaces what is known of an instance.
    member_entry& set(const model::member& member, base::boot_time now);
    void erase(const model::instance_id& id, base::boot_time now);

    /// One or two instances, none when this one is alone in its data centre.
    [[nodiscard]] const names& neighbours() const { return neighbours_; }
    /// The neighbours of another instance of this data centre.
    [[nodiscard]] names neighbours_of(const model::instance_id& id) const;
    /// Present members of this data centre, without this instance.
    [[nodiscard]] const names& local() const { return local_; }
    /// Present members by data centre, without this one's.
    [[nodiscard]] const std::map<model::data_centre_id, names, id_order>& remote() const { return remote_; }

private:
    void rebuild(base::boot_time now);
    void rebuild_neighbours(base::boot_time now);

    model::instance_id self_;
    model::data_centre_id data_centre_;
    map entries_;
    names ring_;
    names neighbours_;
    names local_;
    std::map<model::data_centre_id, names, id_order> remote_;
};

} // namespace lovagetack::membership
