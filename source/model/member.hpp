#pragma once

#include <cstdint>

#include "base/fields.hpp"
#include "model/address.hpp"
#include "model/ids.hpp"

namespace lovagetack::model {

enum class member_state : std::uint8_t {
    joining = 0,
    live = 1,
    leaving = 2,
    left = 3,
    unreachable = 4,
};

/// One instance as known to the other instances; the value of a fact of kind member, named by the instance.
/// The fact version is (incarnation, sequence).
struct member {
    instance_id id;
    data_centre_id data_centre;
    model::incarnation incarnation;
    std::uint64_t sequence = 0;
    member_state state = member_state::joining;
    /// ZeroMQ endpoint for peers.
    model::address peer_address;
    /// HTTP endpoint for callers and relayed requests.
    model::address caller_address;
    /// HTTP endpoint for operators.
    model::address admin_address;
    /// Version of the configuration in force at this instance.
    std::uint64_t configuration_version = 0;

    bool operator==(const member&) const = default;
};

} // namespace lovagetack::model

template <>
struct lovagetack::base::fields_of<lovagetack::model::member> {
    static constexpr std::string_view name = "member";
    static constexpr auto list = std::make_tuple(
        make_field("id", &model::member::id), make_field("data_centre", &model::member::data_centre),
        make_field("incarnation", &model::member::incarnation), make_field("sequence", &model::member::sequence),
        make_field("state", &model::member::state), make_field("peer_address", &model::member::peer_address),
        make_field("caller_address", &model::member::caller_address),
        make_field("admin_address", &model::member::admin_address),
        make_field("configuration_version", &model::member::configuration_version));
};
