#pragma once

#include <cstdint>
#include <variant>

#include "base/fields.hpp"
#include "model/address.hpp"
#include "model/events.hpp"
#include "model/grant.hpp"
#include "model/ids.hpp"
#include "model/peer_message.hpp"
#include "model/store.hpp"
#include "model/timeline_entry.hpp"

namespace lovagetack::ownership {

/// Effect: POST /lovagetack/grant; the outcome comes back as grant_answered with the same poll number.
struct send_grant_poll {
    model::backend_server_id backend_server;
    model::address address;
    std::uint64_t poll = 0;
    model::grant_poll body;

    bool operator==(const send_grant_poll&) const = default;
};

using effect =
    std::variant<send_grant_poll, model::store_read, model::store_transaction, model::publish_fact,
                 model::send_peer_message, model::routes_changed, model::home_leases_changed, model::timeline_entry>;

} // namespace lovagetack::ownership

template <>
struct lovagetack::base::fields_of<lovagetack::ownership::send_grant_poll> {
    static constexpr std::string_view name = "send_grant_poll";
    static constexpr auto list = std::make_tuple(
        make_field("backend_server", &ownership::send_grant_poll::backend_server),
        make_field("address", &ownership::send_grant_poll::address),
        make_field("poll", &ownership::send_grant_poll::poll), make_field("body", &ownership::send_grant_poll::body));
};
