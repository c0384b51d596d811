#include "configuration/state.hpp"

#include <utility>

namespace lovagetack::configuration {

state::state(model::instance_id self, model::data_centre_id data_centre, parser parse, limits limits)
    : self_(std::move(self)), data_centre_(std::move(data_centre)), parse_(std::move(parse)), limits_(limits) {}

std::vector<model::service_state> state::service_states() const {
    std::vector<model::service_state> list;
    list.reserve(orders_.size());
    for (const auto& [key, order] : orders_) {
        list.push_back(order.state);
    }
    return list;
}

} // namespace lovagetack::configuration
