#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>

#include "base/fields.hpp"
#include "model/address.hpp"
#include "model/events.hpp"
#include "model/ids.hpp"
#include "model/store.hpp"
#include "model/timeline_entry.hpp"
#include "requests/event.hpp"

namespace lovagetack::requests {

/// Effect: send the request to a backend server, or relay it to the home instance.
struct start_attempt {
    exchange_id exchange;
    model::attempt_id attempt;
    model::backend_server_id backend_server;
    /// The home instance; empty to send to the backend server itself.
    model::instance_id relay_to;
    model::address address;
    /// Zero for services that are not divided by key.
    model::fence fence;
    /// Time left until the deadline.
    std::chrono::microseconds deadline = std::chrono::microseconds(0);
    /// Open a new connection even if an idle one exists.
    bool fresh_connection = false;

    bool operator==(const start_attempt&) const = default;
};

/// Effect: drop the connection of the attempt; notify also sends the cancellation to the backend server.
struct cancel_attempt {
    exchange_id exchange;
    model::attempt_id attempt;
    bool notify = false;

    bool operator==(const cancel_attempt&) const = default;
};

/// Outcome of a request as reported to its caller (header lovagetack-outcome).
enum class outcome : std::uint8_t {
    not_run = 0,
    failed = 1,
    unknown = 2,
    /// The answer is the stored one of an earlier request with the same idempotency key.
    repeated = 3,
};

/// Effect: send an answer of this instance itself. If the header of an answer was sent already, the shell closes the
/// connection instead.
struct answer_caller {
    exchange_id exchange;
    std::int32_t status = 500;
    /// base::result_code
    std::int32_t code = 0;
    requests::outcome outcome = requests::outcome::unknown;
    std::chrono::microseconds retry_after = std::chrono::microseconds(0);
    std::string message;
    /// Body of the repeated answer.
    std::string stored_body;

    bool operator==(const answer_caller&) const = default;
};

/// Effect: set the maximum number of connections to the backend server.
struct limit_connections {
    model::backend_server_id backend_server;
    model::address address;
    std::int32_t connections = 0;

    bool operator==(const limit_connections&) const = default;
};

/// Effect: open a new connection and GET /lovagetack/health on it.
struct probe_connection {
    model::backend_server_id backend_server;
    model::address address;

    bool operator==(const probe_connection&) const = default;
};

/// Effect: the measures of one request, for metrics and the log.
struct request_finished {
    exchange_id exchange;
    model::request_id request;
    model::service_id service;
    std::string key;
    model::backend_server_id backend_server;
    std::int32_t status = 0;
    std::int32_t code = 0;
    std::int32_t attempts = 0;
    bool relayed = false;
    std::chrono::microseconds queued_for = std::chrono::microseconds(0);
    std::chrono::microseconds total = std::chrono::microseconds(0);

    bool operator==(const request_finished&) const = default;
};

using effect =
    std::variant<start_attempt, cancel_attempt, answer_caller, limit_connections, probe_connection, request_finished,
                 model::publish_fact, model::store_read, model::store_transaction, model::timeline_entry>;

} // namespace lovagetack::requests

template <>
struct lovagetack::base::fields_of<lovagetack::requests::start_attempt> {
    static constexpr std::string_view name = "start_attempt";
    static constexpr auto list = std::make_tuple(
        make_field("exchange", &requests::start_attempt::exchange),
        make_field("attempt", &requests::start_attempt::attempt),
        make_field("backend_server", &requests::start_attempt::backend_server),
        make_field("relay_to", &requests::start_attempt::relay_to),
        make_field("address", &requests::start_attempt::address), make_field("fence", &requests::start_attempt::fence),
        make_field("deadline", &requests::start_attempt::deadline),
        make_field("fresh_connection", &requests::start_attempt::fresh_connection));
};

template <>
struct lovagetack::base::fields_of<lovagetack::requests::cancel_attempt> {
    static constexpr std::string_view name = "cancel_attempt";
    static constexpr auto list = std::make_tuple(make_field("exchange", &requests::cancel_attempt::exchange),
                                                 make_field("attempt", &requests::cancel_attempt::attempt),
                                                 make_field("notify", &requests::cancel_attempt::notify));
};

template <>
struct lovagetack::base::fields_of<lovagetack::requests::answer_caller> {
    static constexpr std::string_view name = "answer_caller";
    static constexpr auto list = std::make_tuple(make_field("exchange", &requests::answer_caller::exchange),
                                                 make_field("status", &requests::answer_caller::status),
                                                 make_field("code", &requests::answer_caller::code),
                                                 make_field("outcome", &requests::answer_caller::outcome),
                                                 make_field("retry_after", &requests::answer_caller::retry_after),
                                                 make_field("message", &requests::answer_caller::message),
                                                 make_field("stored_body", &requests::answer_caller::stored_body));
};

template <>
struct lovagetack::base::fields_of<lovagetack::requests::limit_connections> {
    static constexpr std::string_view name = "limit_connections";
    static constexpr auto list =
        std::make_tuple(make_field("backend_server", &requests::limit_connections::backend_server),
                        make_field("address", &requests::limit_connections::address),
                        make_field("connections", &requests::limit_connections::connections));
};

template <>
struct lovagetack::base::fields_of<lovagetack::requests::probe_connection> {
    static constexpr std::string_view name = "probe_connection";
    static constexpr auto list =
        std::make_tuple(make_field("backend_server", &requests::probe_connection::backend_server),
                        make_field("address", &requests::probe_connection::address));
};

template <>
struct lovagetack::base::fields_of<lovagetack::requests::request_finished> {
    static constexpr std::string_view name = "request_finished";
    static constexpr auto list =
        std::make_tuple(make_field("exchange", &requests::request_finished::exchange),
                        make_field("request", &requests::request_finished::request),
                        make_field("service", &requests::request_finished::service),
                        make_field("key", &requests::request_finished::key),
                        make_field("backend_server", &requests::request_finished::backend_server),
                        make_field("status", &requests::request_finished::status),
                        make_field("code", &requests::request_finished::code),
                        make_field("attempts", &requests::request_finished::attempts),
                        make_field("relayed", &requests::request_finished::relayed),
                        make_field("queued_for", &requests::request_finished::queued_for),
                        make_field("total", &requests::request_finished::total));
};
