#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/boot_time.hpp"
#include "base/result_code.hpp"
#include "routing/event.hpp"
#include "routing/state.hpp"

namespace lovagetack::routing {

// Where a request would go now, and why, without sending it.
//
// The decision itself runs on a copy of the state, so the explanation cannot differ from what a request would meet at
// that moment, and nothing of it stays: no place in a queue, no token of an allowance, no sample of a key. The copy
// costs memory and time, so this is for operators and not for each request.

/// What this instance knows of a backend server to which a request may go.
struct server_outlook {
    model::backend_server_id server;
    model::data_centre_id data_centre;
    std::int32_t slots = 1;
    /// Requests at once that it takes well, as learned from its answers; at most its slots.
    std::int32_t most_at_once = 1;
    /// Requests in progress: for a dispatcher the slots that it has given out, else those that this instance knows of.
    std::int32_t in_progress = 0;
    /// Time of a request that is sent now: at work, and until its answer.
    std::chrono::microseconds work_time{0};
    std::chrono::microseconds expected_time{0};
    /// Time since the last answer or report of an answer; nothing if there was none.
    std::optional<std::chrono::microseconds> learned_ago;
    /// Duration of work relative to the usual one, in percent, if the server has reported it lately.
    std::optional<std::int32_t> slowness;
    /// Share of the last requests that were rejected or failed although the server had room.
    double rejecting = 0;
    /// Why it gets no request now, or fewer than its slots. Empty for a server that is in use without limits.
    std::vector<std::string_view> obstacles;
};

enum class placement : std::uint8_t {
    refused,
    sent,
    /// A dispatcher is asked for a slot.
    asks_for_slot,
    /// It waits until a server has room.
    queued,
    /// It waits until its key has an owner that can serve it.
    waits_for_owner,
};

[[nodiscard]] std::string_view name_of(placement placement);

/// Where a request that arrives at this instance now would go.
struct request_explanation {
    routing::placement placement = placement::refused;
    /// Nothing if no route matches.
    std::optional<routing::route> route;
    /// Nothing if no client accounts are configured; empty for an anonymous request.
    std::optional<model::client_account_id> account;
    /// It would first wait for a token of its account's allowance. What follows holds once it has one.
    bool waits_for_token = false;
    std::int32_t priority = 0;
    /// Empty if the request is refused and its route has several services.
    model::service_id service;
    /// The range of its key, if the service is divided by key.
    std::optional<key_range> range;
    /// The server that it is sent to, or that owns its key.
    model::backend_server_id server;
    /// The dispatcher that is asked for a slot, and the request to it.
    model::instance_id dispatcher;
    std::optional<slot_request> slot;
    /// Requests that wait at this instance for the same server or service.
    std::size_t queued = 0;
    /// The answer to a refused request.
    int status = 0;
    base::result_code code = base::result_code::ok;
    std::chrono::milliseconds retry_after{0};
    /// The owner of its key, or the servers of the group that is asked, or those of the service; the likeliest first.
    std::vector<server_outlook> servers;
};

/// What a dispatcher would answer to a request for a slot.
struct slot_explanation {
    /// The dispatcher of the group, as far as this instance knows; another one does not know which slots are in use.
    model::instance_id dispatcher;
    /// Nothing if this instance would not answer, so that another one is asked.
    std::optional<slot_answer> answer;
    /// Requests that wait for the same slots, and those of them that would get one first.
    std::size_t queued = 0;
    std::size_t ahead = 0;
    std::vector<server_outlook> servers;
};

[[nodiscard]] request_explanation explain_request(const state& state, base::boot_time now, request_arrived request);

[[nodiscard]] slot_explanation explain_slot(const state& state, base::boot_time now, slot_request request);

} // namespace lovagetack::routing
