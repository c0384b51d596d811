#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "ownership/step.hpp"

/// Which backend server should serve each part of the hash space that is homed in the data centre.
namespace lovagetack::ownership {

/// How the highest fence granted so far relates to the row.
enum class row_relation : std::uint8_t {
    /// With the owner of the row, or with a former one.
    with_owner,
    /// The successor of the row was activated.
    failed_over,
    /// Granted above the owner's fence to a server that is not the successor: the row known here is out of date.
    not_in_row,
};

/// A part of a row's range throughout which the same server was granted the highest fence.
struct unit {
    std::uint64_t first = 0;
    std::uint64_t last = 0;
    /// Index in the row.
    std::size_t entry = 0;
    std::optional<model::active_range> highest;
    ownership::row_relation row_relation = row_relation::with_owner;
    /// The server that should serve it now; empty when none can.
    model::backend_server_id target;
    model::fence fence;
};

/// The units of a service in the own data centre, sorted. `now` decides which servers are down.
[[nodiscard]] std::vector<unit> units_of(const state& state, const model::service_id& service, base::boot_time now);

/// Whether no other server than `target` can execute a request for the range.
[[nodiscard]] bool is_clear(const state& state, const model::service_id& service, const unit& unit,
                            base::boot_time now);

/// Whether a range that the target reported may stay with it. A former controller can still have activated the range
/// at its other server, as long as that one was not reached; or at any server, while the rows may be out of date.
[[nodiscard]] bool may_adopt(const state& state, const model::service_id& service, const unit& unit,
                             base::boot_time now);

/// Whether the server may execute requests for the range, as far as is known here.
[[nodiscard]] bool may_execute(const state& state, const server_view& view, const model::service_id& service,
                               std::uint64_t first, std::uint64_t last, base::boot_time now);

/// Whether the server confirmed the range under the fence and its lease may still be valid.
[[nodiscard]] bool is_serving(const server_view& view, const model::service_id& service, const unit& unit,
                              base::boot_time now);

/// Row of a service in the own data centre, or null.
[[nodiscard]] const known_assignment* own_row(const state& state, const model::service_id& service);

} // namespace lovagetack::ownership
