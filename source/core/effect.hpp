#pragma once

#include <variant>
#include <vector>

#include "base/fields.hpp"
#include "model/events.hpp"
#include "model/peer_message.hpp"
#include "model/store.hpp"
#include "model/timeline_entry.hpp"
#include "ownership/effect.hpp"
#include "requests/effect.hpp"

namespace lovagetack::core {

/// All effects that the reducer requests from the I/O shells. deployment_changed tells the shell that the instance is
/// ready.
using effect = std::variant<model::send_peer_message, model::store_read, model::store_transaction,
                            model::deployment_changed, model::timeline_entry, ownership::send_grant_poll,
                            requests::start_attempt, requests::cancel_attempt, requests::answer_caller,
                            requests::limit_connections, requests::probe_connection, requests::request_finished>;

using effects = std::vector<effect>;

} // namespace lovagetack::core
