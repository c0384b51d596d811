#pragma once

#include <variant>
#include <vector>

#include "base/fields.hpp"
#include "model/address.hpp"
#include "model/events.hpp"
#include "model/ids.hpp"
#include "model/peer_message.hpp"

namespace lovagetack::membership {

/// One entry of the platform's lagging list.
struct listed_instance {
    model::instance_id id;
    model::data_centre_id data_centre;
    bool leaving = false;
    model::address peer_address;

    bool operator==(const listed_instance&) const = default;
};

/// Event: the platform's list was read.
struct instances_listed {
    std::vector<listed_instance> instances;

    bool operator==(const instances_listed&) const = default;
};

/// Event: this instance can serve callers; its member state becomes live.
struct service_started {
    bool operator==(const service_started&) const = default;
};

using event = std::variant<model::tick, model::peer_message, model::publish_fact, instances_listed, service_started,
                           model::deployment_changed, model::shutdown_started>;

} // namespace lovagetack::membership

template <>
struct lovagetack::base::fields_of<lovagetack::membership::listed_instance> {
    static constexpr std::string_view name = "listed_instance";
    static constexpr auto list =
        std::make_tuple(make_field("id", &membership::listed_instance::id),
                        make_field("data_centre", &membership::listed_instance::data_centre),
                        make_field("leaving", &membership::listed_instance::leaving),
                        make_field("peer_address", &membership::listed_instance::peer_address));
};

template <>
struct lovagetack::base::fields_of<lovagetack::membership::instances_listed> {
    static constexpr std::string_view name = "instances_listed";
    static constexpr auto list = std::make_tuple(make_field("instances", &membership::instances_listed::instances));
};

template <>
struct lovagetack::base::fields_of<lovagetack::membership::service_started> {
    static constexpr std::string_view name = "service_started";
    static constexpr auto list = std::make_tuple();
};
