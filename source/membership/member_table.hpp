#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/boot_time.hpp"
#include "model/member.hpp"

namespace lovagetack::membership {

/// State of the probes of a ring neighbour from which messages stopped.
struct suspicion {
    base::boot_time since;
    base::boot_time probed_at;
    std::uint64_t nonce = 0;
};

/// What this instance knows of one other instance and when it last received messages from it.
struct member_entry {
    model::member member;
    /// Time of the last message from it or of its last answer to a probe, if there was any.
    std::optional<base::boot_time> last_contact_at;
    /// Time at which it became left or unreachable.
    std::optional<base::boot_time> gone_since;
    /// Time at which it became a ring neighbour of this instance.
    std::optional<base::boot_time> neighbour_since;
    std::optional<suspicion> suspected;
    /// Start of the period in which its digest differs.
    std::optional<base::boot_time> mismatch_since;
    std::optional<base::boot_time> recent_pushed_at;
    /// Time at which the report that it has not refuted yet was last sent to it.
    std::optional<base::boot_time> report_sent_at;
};

/// True for the states joining, live and leaving.
[[nodiscard]] bool is_present(const model::member& member);

/// Orders identifiers by their text, so that iteration has the same order in every replay.
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
    using instance_ids = std::vector<model::instance_id>;

    member_table(model::instance_id self, model::data_centre_id data_centre)
        : self_(std::move(self)), data_centre_(std::move(data_centre)) {}

    [[nodiscard]] member_entry* find(const model::instance_id& id);
    [[nodiscard]] const map& all() const { return entries_; }
    [[nodiscard]] map& all() { return entries_; }

    /// Adds or replaces the entry of an instance.
    member_entry& set(const model::member& member, base::boot_time now);
    void erase(const model::instance_id& id, base::boot_time now);

    /// One or two instances; none when this is the only one in its data centre.
    [[nodiscard]] const instance_ids& neighbours() const { return neighbours_; }
    /// The neighbours of another instance of this data centre.
    [[nodiscard]] instance_ids neighbours_of(const model::instance_id& id) const;
    /// Present members of this data centre, without this instance.
    [[nodiscard]] const instance_ids& local() const { return local_; }
    /// Present members by data centre, without this one's.
    [[nodiscard]] const std::map<model::data_centre_id, instance_ids, id_order>& remote() const { return remote_; }

private:
    void rebuild(base::boot_time now);
    void rebuild_neighbours(base::boot_time now);

    model::instance_id self_;
    model::data_centre_id data_centre_;
    map entries_;
    instance_ids ring_;
    instance_ids neighbours_;
    instance_ids local_;
    std::map<model::data_centre_id, instance_ids, id_order> remote_;
};

} // namespace lovagetack::membership
