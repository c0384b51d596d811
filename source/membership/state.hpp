#pragma once

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/boot_time.hpp"
#include "membership/counters.hpp"
#include "membership/event.hpp"
#include "membership/fact_store.hpp"
#include "membership/limits.hpp"
#include "membership/member_table.hpp"
#include "model/member.hpp"

/// Members, their incarnations, failure detection and the dissemination of versioned facts (section 6 and 2.2 of the
/// design).
namespace lovagetack::membership {

class step;

/// The state of membership. Only reduce changes it.
class state {
public:
    /// self is this instance in state joining, seeds are the peer addresses of instances that may know other
    /// members.
    state(model::member self, std::vector<model::address> seeds, limits limits = {});

    state(const state&) = delete;
    state& operator=(const state&) = delete;

    /// All known instances, this one included, sorted by id.
    [[nodiscard]] std::vector<model::member> members() const;
    [[nodiscard]] const model::member& self() const { return self_; }
    [[nodiscard]] std::uint64_t digest() const { return facts_.digest(); }
    [[nodiscard]] std::size_t fact_count() const { return facts_.size(); }
    [[nodiscard]] std::size_t fact_bytes() const { return facts_.bytes(); }
    /// The fact, or null.
    [[nodiscard]] const model::fact* find_fact(model::fact_kind kind, const std::string& name) const;
    [[nodiscard]] const counters& totals() const { return counters_; }
    /// True when a later incarnation of this instance runs: this one ignores all events, sends nothing and has to end.
    [[nodiscard]] bool is_superseded() const { return superseded_; }

private:
    friend class step;

    struct recent_fact {
        model::fact fact;
        model::instance_id from;
        base::boot_time at;
    };

    limits limits_;
    model::member self_;
    std::vector<model::address> seeds_;
    std::vector<listed_instance> listed_instances_;
    fact_store facts_;
    member_table table_;
    /// Last facts of removed members by name.
    std::map<std::string, model::fact> removed_members_;
    std::deque<recent_fact> recent_;
    counters counters_;
    bool superseded_ = false;

    std::optional<base::boot_time> last_tick_;
    /// End of the last pause, or the start.
    base::boot_time running_since_;
    base::boot_time next_heartbeat_;
    base::boot_time next_remote_heartbeat_;
    base::boot_time next_contact_;
    base::boot_time next_sync_;
    base::boot_time next_reverse_sync_;
    base::boot_time next_version_report_;
    std::uint64_t configuration_version_ = 0;
    std::uint64_t heartbeat_sequence_ = 0;
    /// Time of the last message from any member of a data centre, by data centre.
    std::map<std::string, base::boot_time> data_centre_last_contact_;
    /// Start of the period in which the digests of a data centre's members differ, by data centre. Kept per data centre
    /// only for remote ones, where every heartbeat comes from another member.
    std::map<std::string, base::boot_time> remote_mismatch_since_;
};

} // namespace lovagetack::membership
