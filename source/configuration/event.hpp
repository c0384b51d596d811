#pragma once

#include <variant>

#include "base/fields.hpp"
#include "model/events.hpp"
#include "model/service_state.hpp"
#include "model/store.hpp"

namespace lovagetack::configuration {

/// Event: an operator gave an order at the admin endpoint of this instance.
struct service_state_ordered {
    model::service_state state;

    bool operator==(const service_state_ordered&) const = default;
};

using event =
    std::variant<model::tick, model::fact_learned, model::members_changed, model::store_reply, service_state_ordered>;

} // namespace lovagetack::configuration

template <>
struct lovagetack::base::fields_of<lovagetack::configuration::service_state_ordered> {
    static constexpr std::string_view name = "service_state_ordered";
    static constexpr auto list = std::make_tuple(make_field("state", &configuration::service_state_ordered::state));
};
