#pragma once

#include <map>
#include <string>
#include <vector>

#include "ownership/step.hpp"

/// The rows assignments/<service>.<data centre>: creation, and new owners and successors after losses (4.1, 4.3).
namespace lovagetack::ownership {

/// Creates the rows of services that have none, and writes what failovers and losses changed.
void maintain_rows(step& step);

/// Chooses backend servers of a service for new ranges, those with the fewest ranges first.
class server_selector {
public:
    /// Considers the servers of one data centre. The ranges of its row are counted for their owners and successors.
    server_selector(const state& state, const model::service_id& service, const model::data_centre_id& data_centre,
                    base::boot_time now);

    /// A server that can be given ranges and is neither of the two excluded ones; empty when there is none.
    [[nodiscard]] model::backend_server_id pick(const model::backend_server_id& excluded_id,
                                                const model::backend_server_id& also_excluded_id = {});

    [[nodiscard]] bool empty() const { return range_counts_.empty(); }

private:
    std::map<model::backend_server_id, std::size_t> range_counts_;
};

/// A fence above all fences of the entry and above `floor`, under the controller's epoch where possible. A range that
/// comes from a data centre with higher epochs keeps that epoch with a higher sequence.
[[nodiscard]] model::fence next_fence(state& state, const model::range_assignment& entry, const model::fence& floor);

} // namespace lovagetack::ownership
