#pragma once

#include <cstdint>

#include "base/fields.hpp"
#include "model/ids.hpp"

namespace lovagetack::routing {

/// The duty to count one slice of the allowances of one group of client accounts, and the run of the instance that has
/// it.
struct counter_role {
    std::uint32_t slice = 0;
    std::uint32_t group = 0;
    /// Empty while nobody has the duty.
    model::instance_id holder;
    std::uint64_t incarnation = 0;

    bool operator==(const counter_role&) const = default;
};

} // namespace lovagetack::routing

template <>
struct lovagetack::base::fields_of<lovagetack::routing::counter_role> {
    static constexpr std::string_view name = "counter_role";
    static constexpr auto list = std::make_tuple(make_field("slice", &routing::counter_role::slice),
                                                 make_field("group", &routing::counter_role::group),
                                                 make_field("holder", &routing::counter_role::holder),
                                                 make_field("incarnation", &routing::counter_role::incarnation));
};
