#pragma once

#include <variant>

#include "base/fields.hpp"
#include "model/events.hpp"
#include "model/store.hpp"
#include "model/timeline_entry.hpp"

namespace lovagetack::configuration {

using effect = std::variant<model::store_read, model::store_transaction, model::publish_fact, model::deployment_changed,
                            model::service_states_changed, model::timeline_entry>;

} // namespace lovagetack::configuration
