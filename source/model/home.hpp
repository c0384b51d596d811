#pragma once

#include <vector>

#include "model/ids.hpp"
#include "model/member.hpp"

namespace lovagetack::model {

/// The home instance of a backend server: the live member of its data centre with the highest rendezvous score, of
/// equal scores the one with the lower id. Null when the data centre has no live member.
[[nodiscard]] const member* home_instance(const std::vector<member>& members, const data_centre_id& data_centre,
                                          const backend_server_id& backend_server);

} // namespace lovagetack::model
