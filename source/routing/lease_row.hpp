#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "routing/assignment.hpp"

namespace lovagetack::routing {

/// The value of a lease's row. Builds that cannot read a divided assignment take the lease when the time `until` has
/// passed, so while an assignment is divided that field is far in the future, and another has the end of the lease.
[[nodiscard]] std::string lease_text(const keeper_lease& lease, bool divided);

/// Reads the output of lease_text, or a row without that second field; nothing if the text is not a lease.
[[nodiscard]] std::optional<keeper_lease> read_lease_text(const std::string& text);

} // namespace lovagetack::routing
