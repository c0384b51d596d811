#pragma once

#include <variant>

#include "base/fields.hpp"
#include "model/events.hpp"
#include "model/peer_message.hpp"
#include "model/timeline_entry.hpp"

namespace lovagetack::membership {

using effect =
    std::variant<model::send_peer_message, model::fact_learned, model::members_changed, model::timeline_entry>;

} // namespace lovagetack::membership
