#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "base/fields.hpp"
#include "model/deployment.hpp"
#include "model/fact.hpp"
#include "model/ids.hpp"
#include "model/member.hpp"
#include "model/route.hpp"
#include "model/service_state.hpp"

namespace lovagetack::model {

/// Event: time has passed. The shell sends one every 20 ms.
struct tick {
    bool operator==(const tick&) const = default;
};

/// Effect of any module, input of membership: distribute this fact to all instances. Ignored unless it is newer than
/// the known one.
struct publish_fact {
    model::fact fact;

    bool operator==(const publish_fact&) const = default;
};

/// Output of membership, input of the other modules: a new or newer fact came from a peer or from this instance itself.
struct fact_learned {
    model::fact fact;

    bool operator==(const fact_learned&) const = default;
};

/// Output of membership: all known instances, this one included, sorted by id.
struct members_changed {
    std::vector<member> members;

    bool operator==(const members_changed&) const = default;
};

/// Output of configuration: a newer configuration is in force.
struct deployment_changed {
    model::deployment deployment;

    bool operator==(const deployment_changed&) const = default;
};

/// Output of configuration: all operator orders in force; subjects that are not listed are in service.
struct service_states_changed {
    std::vector<service_state> states;

    bool operator==(const service_states_changed&) const = default;
};

/// Output of ownership: the active ranges of every service divided by key.
struct routes_changed {
    std::vector<service_routes> services;

    bool operator==(const routes_changed&) const = default;
};

/// Right of this instance to send to a backend server that does not check grants.
struct home_lease {
    backend_server_id backend_server;
    /// CLOCK_BOOTTIME of this instance.
    std::chrono::microseconds ends_at = std::chrono::microseconds(0);

    bool operator==(const home_lease&) const = default;
};

/// Output of ownership: the home leases that this instance holds.
struct home_leases_changed {
    std::vector<home_lease> leases;

    bool operator==(const home_leases_changed&) const = default;
};

/// Event: SIGTERM was received.
struct shutdown_started {
    bool operator==(const shutdown_started&) const = default;
};

} // namespace lovagetack::model

template <>
struct lovagetack::base::fields_of<lovagetack::model::tick> {
    static constexpr std::string_view name = "tick";
    static constexpr auto list = std::make_tuple();
};

template <>
struct lovagetack::base::fields_of<lovagetack::model::publish_fact> {
    static constexpr std::string_view name = "publish_fact";
    static constexpr auto list = std::make_tuple(make_field("fact", &model::publish_fact::fact));
};

template <>
struct lovagetack::base::fields_of<lovagetack::model::fact_learned> {
    static constexpr std::string_view name = "fact_learned";
    static constexpr auto list = std::make_tuple(make_field("fact", &model::fact_learned::fact));
};

template <>
struct lovagetack::base::fields_of<lovagetack::model::members_changed> {
    static constexpr std::string_view name = "members_changed";
    static constexpr auto list = std::make_tuple(make_field("members", &model::members_changed::members));
};

template <>
struct lovagetack::base::fields_of<lovagetack::model::deployment_changed> {
    static constexpr std::string_view name = "deployment_changed";
    static constexpr auto list = std::make_tuple(make_field("deployment", &model::deployment_changed::deployment));
};

template <>
struct lovagetack::base::fields_of<lovagetack::model::service_states_changed> {
    static constexpr std::string_view name = "service_states_changed";
    static constexpr auto list = std::make_tuple(make_field("states", &model::service_states_changed::states));
};

template <>
struct lovagetack::base::fields_of<lovagetack::model::routes_changed> {
    static constexpr std::string_view name = "routes_changed";
    static constexpr auto list = std::make_tuple(make_field("services", &model::routes_changed::services));
};

template <>
struct lovagetack::base::fields_of<lovagetack::model::home_lease> {
    static constexpr std::string_view name = "home_lease";
    static constexpr auto list = std::make_tuple(make_field("backend_server", &model::home_lease::backend_server),
                                                 make_field("ends_at", &model::home_lease::ends_at));
};

template <>
struct lovagetack::base::fields_of<lovagetack::model::home_leases_changed> {
    static constexpr std::string_view name = "home_leases_changed";
    static constexpr auto list = std::make_tuple(make_field("leases", &model::home_leases_changed::leases));
};

template <>
struct lovagetack::base::fields_of<lovagetack::model::shutdown_started> {
    static constexpr std::string_view name = "shutdown_started";
    static constexpr auto list = std::make_tuple();
};
