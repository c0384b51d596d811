#pragma once

#include <cstdint>
#include <optional>
#include <variant>

#include "base/fields.hpp"
#include "model/events.hpp"
#include "model/grant.hpp"
#include "model/ids.hpp"
#include "model/peer_message.hpp"
#include "model/store.hpp"

namespace lovagetack::ownership {

/// Event: the outcome of a grant poll; no answer means that it failed or timed out.
struct grant_answered {
    model::backend_server_id backend_server;
    std::uint64_t poll = 0;
    std::optional<model::grant_answer> answer;

    bool operator==(const grant_answered&) const = default;
};

/// Event: a lease request or reply from a peer.
struct lease_message {
    model::instance_id from;
    model::address from_address;
    std::optional<model::lease_request> request;
    std::optional<model::lease_reply> reply;

    bool operator==(const lease_message&) const = default;
};

/// Event: a heartbeat of a controller of this data centre.
struct controller_heard {
    model::instance_id from;
    model::epoch epoch;

    bool operator==(const controller_heard&) const = default;
};

using event =
    std::variant<model::tick, model::fact_learned, model::members_changed, model::deployment_changed,
                 model::service_states_changed, model::store_reply, grant_answered, lease_message, controller_heard>;

} // namespace lovagetack::ownership

template <>
struct lovagetack::base::fields_of<lovagetack::ownership::grant_answered> {
    static constexpr std::string_view name = "grant_answered";
    static constexpr auto list = std::make_tuple(
        make_field("backend_server", &ownership::grant_answered::backend_server),
        make_field("poll", &ownership::grant_answered::poll), make_field("answer", &ownership::grant_answered::answer));
};

template <>
struct lovagetack::base::fields_of<lovagetack::ownership::lease_message> {
    static constexpr std::string_view name = "lease_message";
    static constexpr auto list = std::make_tuple(make_field("from", &ownership::lease_message::from),
                                                 make_field("from_address", &ownership::lease_message::from_address),
                                                 make_field("request", &ownership::lease_message::request),
                                                 make_field("reply", &ownership::lease_message::reply));
};

template <>
struct lovagetack::base::fields_of<lovagetack::ownership::controller_heard> {
    static constexpr std::string_view name = "controller_heard";
    static constexpr auto list = std::make_tuple(make_field("from", &ownership::controller_heard::from),
                                                 make_field("epoch", &ownership::controller_heard::epoch));
};
