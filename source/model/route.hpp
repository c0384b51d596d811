#pragma once

#include <cstdint>
#include <vector>

#include "base/fields.hpp"
#include "model/assignment.hpp"
#include "model/ids.hpp"

namespace lovagetack::model {

/// All active ranges of one service over all data centres, sorted by first; hashes outside them have no owner at
/// present.
struct service_routes {
    service_id service;
    std::vector<active_range> ranges;

    bool operator==(const service_routes&) const = default;
};

/// The active range that contains the hash, or null.
[[nodiscard]] const active_range* find_range(const service_routes& routes, std::uint64_t hash);

} // namespace lovagetack::model

template <>
struct lovagetack::base::fields_of<lovagetack::model::service_routes> {
    static constexpr std::string_view name = "service_routes";
    static constexpr auto list = std::make_tuple(make_field("service", &model::service_routes::service),
                                                 make_field("ranges", &model::service_routes::ranges));
};
