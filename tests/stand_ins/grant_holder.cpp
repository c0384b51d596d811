#include "stand_ins/grant_holder.hpp"

#include <algorithm>

namespace lovagetack::stand_ins {

model::grant_answer grant_holder::poll(simulated_time now, const model::grant_poll& poll) {
    model::grant_answer answer;
    answer.accepted = poll.epoch.value() >= epoch_.value();
    if (answer.accepted) {
        update_grants(now, poll);
    }
    answer.clock = now;
    answer.boot_id = boot_id_;
    answer.epoch = epoch_;
    answer.grant_version = grant_version_;
    answer.ranges = ranges_;
    return answer;
}

void grant_holder::update_grants(simulated_time now, const model::grant_poll& poll) {
    if (poll.epoch.value() > epoch_.value()) {
        epoch_ = poll.epoch;
        grant_version_ = 0;
    }
    if (poll.grant_version < grant_version_) {
        return;
    }
    grant_version_ = poll.grant_version;
    if (poll.replace_ranges) {
        ranges_ = poll.ranges;
    }
    // A lease start that this boot cannot have reported yet would lengthen the lease.
    const bool lease_clock_valid =
        poll.lease_boot_id == boot_id_ && poll.lease_from.count() > 0 && poll.lease_from <= now;
    if (lease_clock_valid) {
        lease_generation_ += now < lease_end_ ? 0 : 1;
        lease_end_ = std::max(lease_end_, poll.lease_from + poll.lease_time);
    }
}

grant_check_result grant_holder::check(simulated_time now, const std::string& service, std::uint64_t hash,
                                       const model::fence& fence) const {
    if (now >= lease_end_) {
        return grant_check_result::lease_lapsed;
    }
    const auto* range = find(service, hash);
    if (range == nullptr) {
        return grant_check_result::range_not_granted;
    }
    return range->fence == fence ? grant_check_result::valid : grant_check_result::fence_differs;
}

const model::granted_range* grant_holder::find(const std::string& service, std::uint64_t hash) const {
    const auto found = std::find_if(ranges_.begin(), ranges_.end(), [&](const model::granted_range& range) {
        return range.service.value() == service && range.first <= hash && hash <= range.last;
    });
    return found == ranges_.end() ? nullptr : &*found;
}

} // namespace lovagetack::stand_ins
