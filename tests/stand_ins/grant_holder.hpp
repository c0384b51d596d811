#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "model/grant.hpp"
#include "model/ids.hpp"

namespace lovagetack::stand_ins {

/// What became of the check of a request against the grants.
enum class grant_verdict : std::uint8_t { valid, lease_lapsed, range_not_granted, fence_differs };

/// The grants of a backend server, all times by its own clock. Ranges stay when the lease lapses, since the lease
/// alone decides whether they may be served; a poll with a new lease and replace_ranges false serves them again.
class grant_holder {
public:
    using own_time = std::chrono::microseconds;

    explicit grant_holder(std::string boot_id) : boot_id_(std::move(boot_id)) {}

    /// Takes over what the poll grants and fills the fields of the answer that describe grants.
    [[nodiscard]] model::grant_answer poll(own_time now, const model::grant_poll& poll);

    /// The fence of the request has to be the fence of the grant: a lower one is out of date, and a higher one means
    /// that the range was granted anew, here or elsewhere, and that this server has not heard of it.
    [[nodiscard]] grant_verdict check(own_time now, const std::string& service, std::uint64_t hash,
                                      const model::fence& fence) const;

    /// Number of the unbroken run of leases that holds now; 0 when none holds. A request that started under another run
    /// has to be given up, since its range may have been served elsewhere in between.
    [[nodiscard]] std::uint64_t lease_run(own_time now) const { return now < lease_end_ ? lease_run_ : 0; }

    /// The granted range that contains the hash, or null.
    [[nodiscard]] const model::granted_range* find(const std::string& service, std::uint64_t hash) const;

    [[nodiscard]] const std::vector<model::granted_range>& ranges() const { return ranges_; }
    [[nodiscard]] const std::string& boot_id() const { return boot_id_; }

private:
    void take(own_time now, const model::grant_poll& poll);

    std::string boot_id_;
    model::epoch epoch_;
    std::uint64_t grant_version_ = 0;
    own_time lease_end_{0};
    std::uint64_t lease_run_ = 0;
    std::vector<model::granted_range> ranges_;
};

} // namespace lovagetack::stand_ins
