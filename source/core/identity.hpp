#pragma once

#include <cstdint>
#include <vector>

#include "base/fields.hpp"
#include "model/address.hpp"
#include "model/member.hpp"

namespace lovagetack::core {

/// This instance as a member, and the peer addresses where it looks for other instances; the first line of a recorded
/// trace.
struct identity {
    model::member self;
    std::vector<model::address> seeds;
    std::uint64_t seed = 0;

    bool operator==(const identity&) const = default;
};

} // namespace lovagetack::core

template <>
struct lovagetack::base::fields_of<lovagetack::core::identity> {
    static constexpr std::string_view name = "identity";
    static constexpr auto list =
        std::make_tuple(make_field("self", &core::identity::self), make_field("seeds", &core::identity::seeds),
                        make_field("seed", &core::identity::seed));
};
