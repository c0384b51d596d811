#pragma once

#include <cstdint>
#include <variant>

#include "base/boot_time.hpp"
#include "base/fields.hpp"
#include "configuration/event.hpp"
#include "membership/event.hpp"
#include "model/peer_message.hpp"
#include "model/store.hpp"
#include "ownership/event.hpp"
#include "requests/event.hpp"

namespace lovagetack::core {

/// All events that the I/O shells report to the reducer.
using event_body = std::variant<model::tick, model::peer_message, model::store_reply, model::shutdown_started,
                                membership::instances_listed, configuration::service_state_ordered,
                                ownership::grant_answered, requests::caller_request, requests::attempt_sending,
                                requests::attempt_answering, requests::attempt_ended, requests::caller_left,
                                requests::connection_probed, requests::backend_server_observed>;

/// One input of the reducer. Decisions use no time and no random number other than at and random.
struct event {
    base::boot_time at;
    std::uint64_t random = 0;
    event_body body;

    bool operator==(const event&) const = default;
};

} // namespace lovagetack::core

template <>
struct lovagetack::base::fields_of<lovagetack::core::event> {
    static constexpr std::string_view name = "event";
    static constexpr auto list =
        std::make_tuple(make_field("at", &core::event::at), make_field("random", &core::event::random),
                        make_field("body", &core::event::body));
};
