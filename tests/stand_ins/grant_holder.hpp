#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "model/grant.hpp"
#include "model/ids.hpp"

namespace lovagetack::stand_ins {

/// Result of checking a request against the grants.
enum class grant_check_result : std::uint8_t { valid, lease_lapsed, range_not_granted, fence_differs };

/// The grants of a backend server; all times are of its simulated clock. Ranges are kept when the lease lapses, since
/// the lease alone decides whether they may be served; after a poll with a new lease and replace_ranges false they are
/// served again.
class grant_holder {
public:
    using simulated_time = std::chrono::microseconds;

    explicit grant_holder(std::string boot_id) : boot_id_(std::move(boot_id)) {}

    /// Applies the grants of the poll, unless its epoch or version is out of date, and returns the answer with the
    /// fields that describe grants.
    [[nodiscard]] model::grant_answer poll(simulated_time now, const model::grant_poll& poll);

    /// The fence of the request must equal the fence of the grant. A lower one is out of date; a higher one means that
    /// the range was granted again, to this or another server, and that this server has not received that grant.
    [[nodiscard]] grant_check_result check(simulated_time now, const std::string& service, std::uint64_t hash,
                                           const model::fence& fence) const;

    /// Number of the current period of leases without a gap; 0 when the lease has lapsed. A request that started in
    /// another period must not commit, since its range may have been served elsewhere in between.
    [[nodiscard]] std::uint64_t lease_generation(simulated_time now) const {
        return now < lease_end_ ? lease_generation_ : 0;
    }

    /// The granted range that contains the hash, or null.
    [[nodiscard]] const model::granted_range* find(const std::string& service, std::uint64_t hash) const;

    [[nodiscard]] const std::vector<model::granted_range>& ranges() const { return ranges_; }
    [[nodiscard]] const std::string& boot_id() const { return boot_id_; }

private:
    void update_grants(simulated_time now, const model::grant_poll& poll);

    std::string boot_id_;
    model::epoch epoch_;
    std::uint64_t grant_version_ = 0;
    simulated_time lease_end_{0};
    std::uint64_t lease_generation_ = 0;
    std::vector<model::granted_range> ranges_;
};

} // namespace lovagetack::stand_ins
