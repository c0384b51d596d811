#pragma once

#include <vector>

#include "model/ids.hpp"
#include "model/member.hpp"

namespace lovagetack::model {

/// The home instance of a backend server: the highest rendezvous score over the live members of its data centre.
/// Null when the data centre has no live member.
[[nodiscard]] const member* home_instance(const std::vector<member>& members, const data_centre_id& data_centre,
                                          const backend_server_id& backend_server);

} // namespace lovagetack::model
