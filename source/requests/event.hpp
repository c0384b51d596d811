#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>

#include "base/fields.hpp"
#include "model/events.hpp"
#include "model/ids.hpp"
#include "model/store.hpp"

namespace lovagetack::requests {

/// Number of one caller's request at this instance. It is unique, while callers may repeat a request id.
using exchange_id = base::strong_number<struct exchange_tag>;

/// Event: the header of a request is complete.
struct caller_request {
    exchange_id exchange;
    model::request_id request;
    model::service_id service;
    /// Empty for services that are not divided by key.
    std::string key;
    bool idempotent = false;
    std::string idempotency_key;
    /// Time left until the deadline; 0 for the default of the service.
    std::chrono::microseconds deadline = std::chrono::microseconds(0);
    /// Declared length; 0 when there is no body or its length is unknown.
    std::uint64_t body_bytes = 0;
    /// The instance that relayed the request; empty when it came from a caller.
    model::instance_id relayed_by;
    /// The backend server that the relaying instance chose.
    model::backend_server_id relay_target;

    bool operator==(const caller_request&) const = default;
};

/// Event: the first byte of the request was handed to the connection of the attempt.
struct attempt_sending {
    exchange_id exchange;
    model::attempt_id attempt;

    bool operator==(const attempt_sending&) const = default;
};

/// Event: the header of the answer is complete and goes to the caller; the request cannot be
/// retried after this event.
struct attempt_answering {
    exchange_id exchange;
    model::attempt_id attempt;
    std::int32_t status = 0;

    bool operator==(const attempt_answering&) const = default;
};

enum class attempt_outcome : std::uint8_t {
    /// The whole answer was forwarded to the caller.
    completed = 0,
    /// The backend server (or the home instance) said that it did not run the request.
    refused = 1,
    /// No connection could be opened; no byte was sent.
    connect_failed = 2,
    /// The connection ended before the header of the answer.
    connection_lost = 3,
    /// The connection ended after the header but before the end of the answer.
    cut_short = 4,
    /// The answer was not valid HTTP.
    malformed = 5,
    /// The home instance reported that the outcome is unknown.
    outcome_unknown = 6,
    /// The home instance reported that the request ran and failed.
    relay_failed = 7,
};

/// Event: an attempt has ended.
struct attempt_ended {
    exchange_id exchange;
    model::attempt_id attempt;
    attempt_outcome outcome = attempt_outcome::completed;
    /// HTTP status of the answer, 0 without one.
    std::int32_t status = 0;
    /// lovagetack-code of a refusal by a home instance.
    std::int32_t code = 0;
    /// At least one byte of the request was handed to the connection.
    bool bytes_sent = false;
    bool reused_connection = false;
    /// The shell still holds the whole request.
    bool can_resend = false;
    /// Outstanding and queued requests at the home of the backend server; -1 if not reported.
    std::int32_t queue_at_home = -1;
    std::chrono::microseconds retry_after = std::chrono::microseconds(0);
    /// Body of a short answer to a request with an idempotency key, stored for repeats of the request; else empty.
    std::string answer_body;

    bool operator==(const attempt_ended&) const = default;
};

/// Event: the caller closed its connection before the answer was complete.
struct caller_left {
    exchange_id exchange;

    bool operator==(const caller_left&) const = default;
};

/// Event: the outcome of probe_connection.
struct connection_probed {
    model::backend_server_id backend_server;
    bool reachable = false;

    bool operator==(const connection_probed&) const = default;
};

/// Event: the boot id and draining flag from a grant answer or a load endpoint.
struct backend_server_observed {
    model::backend_server_id backend_server;
    std::string boot_id;
    bool draining = false;
    std::chrono::microseconds uptime = std::chrono::microseconds(0);

    bool operator==(const backend_server_observed&) const = default;
};

using event = std::variant<model::tick, caller_request, attempt_sending, attempt_answering, attempt_ended, caller_left,
                           connection_probed, backend_server_observed, model::fact_learned, model::members_changed,
                           model::deployment_changed, model::service_states_changed, model::routes_changed,
                           model::home_leases_changed, model::store_reply, model::shutdown_started>;

} // namespace lovagetack::requests

template <>
struct lovagetack::base::fields_of<lovagetack::requests::caller_request> {
    static constexpr std::string_view name = "caller_request";
    static constexpr auto list = std::make_tuple(
        make_field("exchange", &requests::caller_request::exchange),
        make_field("request", &requests::caller_request::request),
        make_field("service", &requests::caller_request::service), make_field("key", &requests::caller_request::key),
        make_field("idempotent", &requests::caller_request::idempotent),
        make_field("idempotency_key", &requests::caller_request::idempotency_key),
        make_field("deadline", &requests::caller_request::deadline),
        make_field("body_bytes", &requests::caller_request::body_bytes),
        make_field("relayed_by", &requests::caller_request::relayed_by),
        make_field("relay_target", &requests::caller_request::relay_target));
};

template <>
struct lovagetack::base::fields_of<lovagetack::requests::attempt_sending> {
    static constexpr std::string_view name = "attempt_sending";
    static constexpr auto list = std::make_tuple(make_field("exchange", &requests::attempt_sending::exchange),
                                                 make_field("attempt", &requests::attempt_sending::attempt));
};

template <>
struct lovagetack::base::fields_of<lovagetack::requests::attempt_answering> {
    static constexpr std::string_view name = "attempt_answering";
    static constexpr auto list = std::make_tuple(make_field("exchange", &requests::attempt_answering::exchange),
                                                 make_field("attempt", &requests::attempt_answering::attempt),
                                                 make_field("status", &requests::attempt_answering::status));
};

template <>
struct lovagetack::base::fields_of<lovagetack::requests::attempt_ended> {
    static constexpr std::string_view name = "attempt_ended";
    static constexpr auto list = std::make_tuple(
        make_field("exchange", &requests::attempt_ended::exchange),
        make_field("attempt", &requests::attempt_ended::attempt),
        make_field("outcome", &requests::attempt_ended::outcome),
        make_field("status", &requests::attempt_ended::status), make_field("code", &requests::attempt_ended::code),
        make_field("bytes_sent", &requests::attempt_ended::bytes_sent),
        make_field("reused_connection", &requests::attempt_ended::reused_connection),
        make_field("can_resend", &requests::attempt_ended::can_resend),
        make_field("queue_at_home", &requests::attempt_ended::queue_at_home),
        make_field("retry_after", &requests::attempt_ended::retry_after),
        make_field("answer_body", &requests::attempt_ended::answer_body));
};

template <>
struct lovagetack::base::fields_of<lovagetack::requests::caller_left> {
    static constexpr std::string_view name = "caller_left";
    static constexpr auto list = std::make_tuple(make_field("exchange", &requests::caller_left::exchange));
};

template <>
struct lovagetack::base::fields_of<lovagetack::requests::connection_probed> {
    static constexpr std::string_view name = "connection_probed";
    static constexpr auto list =
        std::make_tuple(make_field("backend_server", &requests::connection_probed::backend_server),
                        make_field("reachable", &requests::connection_probed::reachable));
};

template <>
struct lovagetack::base::fields_of<lovagetack::requests::backend_server_observed> {
    static constexpr std::string_view name = "backend_server_observed";
    static constexpr auto list =
        std::make_tuple(make_field("backend_server", &requests::backend_server_observed::backend_server),
                        make_field("boot_id", &requests::backend_server_observed::boot_id),
                        make_field("draining", &requests::backend_server_observed::draining),
                        make_field("uptime", &requests::backend_server_observed::uptime));
};
