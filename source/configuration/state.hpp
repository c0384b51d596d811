#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "base/boot_time.hpp"
#include "base/result.hpp"
#include "model/deployment.hpp"
#include "model/ids.hpp"
#include "model/service_state.hpp"

namespace lovagetack::configuration {

using parser = std::function<base::result<model::deployment>(const std::string& base, const std::string& overlay,
                                                             std::uint64_t version)>;

struct state {
    state(model::instance_id id, model::data_centre_id own_data_centre, parser own_parser)
        : self(std::move(id)), data_centre(std::move(own_data_centre)), parse(std::move(own_parser)) {}

    model::instance_id self;
    model::data_centre_id data_centre;
    parser parse;
    std::uint64_t version = 0;
    base::boot_time next_read_at;
    std::uint64_t operations = 0;
};

struct order_view {
    model::service_state state;
    bool stored = false;
    bool superseded = false;
};

[[nodiscard]] std::vector<order_view> orders_of(const state& state);

} // namespace lovagetack::configuration
