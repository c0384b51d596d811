#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "base/fields.hpp"
#include "model/address.hpp"
#include "model/fact.hpp"
#include "model/ids.hpp"

namespace lovagetack::model {

/// Sent periodically to show that the sender is alive; the digest covers all facts that it knows.
struct heartbeat {
    std::uint64_t sequence = 0;
    std::uint64_t digest = 0;

    bool operator==(const heartbeat&) const = default;
};

/// New facts, forwarded once by each receiver that did not know them.
struct facts {
    std::vector<fact> list;

    bool operator==(const facts&) const = default;
};

/// Name and version of one fact.
struct fact_summary {
    fact_name name;
    fact_version version;

    bool operator==(const fact_summary&) const = default;
};

/// Sent on a digest mismatch: names and versions of all facts that the sender knows.
struct sync_request {
    std::vector<fact_summary> known;

    bool operator==(const sync_request&) const = default;
};

/// Asks the receiver to probe the target and to answer.
struct probe_request {
    instance_id target;
    std::uint64_t nonce = 0;

    bool operator==(const probe_request&) const = default;
};

/// Asks for a probe_answer. asked_by is the instance that sent the probe_request, empty when the sender probes on its
/// own account.
struct probe {
    std::uint64_t nonce = 0;
    instance_id asked_by;

    bool operator==(const probe&) const = default;
};

/// Sent by the target in answer to a probe, and forwarded to the instance in asked_by.
struct probe_answer {
    instance_id target;
    std::uint64_t nonce = 0;
    instance_id asked_by;

    bool operator==(const probe_answer&) const = default;
};

/// A home instance asks the controller for the right to send to a backend server that does not check grants.
struct lease_request {
    backend_server_id backend_server;
    /// Clock of the requesting instance, from which the lease time counts.
    std::chrono::microseconds asked_at = std::chrono::microseconds(0);

    bool operator==(const lease_request&) const = default;
};

/// Sent by the controller of a data centre to the next candidates.
struct controller_heartbeat {
    model::epoch epoch;

    bool operator==(const controller_heartbeat&) const = default;
};

/// Answer of the controller to a lease_request.
struct lease_reply {
    backend_server_id backend_server;
    std::chrono::microseconds asked_at = std::chrono::microseconds(0);
    bool granted = false;
    std::chrono::microseconds lease_time = std::chrono::microseconds(0);
    model::epoch epoch;

    bool operator==(const lease_reply&) const = default;
};

using peer_message_body = std::variant<heartbeat, facts, sync_request, probe_request, probe, probe_answer,
                                       lease_request, lease_reply, controller_heartbeat>;

/// Event: a message from an instance.
struct peer_message {
    instance_id from;
    model::incarnation from_incarnation;
    model::address from_address;
    peer_message_body body;
    /// Hybrid logical clock of the sender, microseconds since 1970; orders the time line.
    std::uint64_t stamp = 0;

    bool operator==(const peer_message&) const = default;
};

/// Effect: send to an instance. The message is lost without an error when the instance is unreachable.
struct send_peer_message {
    instance_id to;
    model::address to_address;
    peer_message_body body;

    bool operator==(const send_peer_message&) const = default;
};

} // namespace lovagetack::model

template <>
struct lovagetack::base::fields_of<lovagetack::model::heartbeat> {
    static constexpr std::string_view name = "heartbeat";
    static constexpr auto list = std::make_tuple(make_field("sequence", &model::heartbeat::sequence),
                                                 make_field("digest", &model::heartbeat::digest));
};

template <>
struct lovagetack::base::fields_of<lovagetack::model::facts> {
    static constexpr std::string_view name = "facts";
    static constexpr auto list = std::make_tuple(make_field("list", &model::facts::list));
};

template <>
struct lovagetack::base::fields_of<lovagetack::model::fact_summary> {
    static constexpr std::string_view name = "fact_summary";
    static constexpr auto list = std::make_tuple(make_field("name", &model::fact_summary::name),
                                                 make_field("version", &model::fact_summary::version));
};

template <>
struct lovagetack::base::fields_of<lovagetack::model::sync_request> {
    static constexpr std::string_view name = "sync_request";
    static constexpr auto list = std::make_tuple(make_field("known", &model::sync_request::known));
};

template <>
struct lovagetack::base::fields_of<lovagetack::model::probe_request> {
    static constexpr std::string_view name = "probe_request";
    static constexpr auto list = std::make_tuple(make_field("target", &model::probe_request::target),
                                                 make_field("nonce", &model::probe_request::nonce));
};

template <>
struct lovagetack::base::fields_of<lovagetack::model::probe> {
    static constexpr std::string_view name = "probe";
    static constexpr auto list =
        std::make_tuple(make_field("nonce", &model::probe::nonce), make_field("asked_by", &model::probe::asked_by));
};

template <>
struct lovagetack::base::fields_of<lovagetack::model::probe_answer> {
    static constexpr std::string_view name = "probe_answer";
    static constexpr auto list = std::make_tuple(make_field("target", &model::probe_answer::target),
                                                 make_field("nonce", &model::probe_answer::nonce),
                                                 make_field("asked_by", &model::probe_answer::asked_by));
};

template <>
struct lovagetack::base::fields_of<lovagetack::model::lease_request> {
    static constexpr std::string_view name = "lease_request";
    static constexpr auto list = std::make_tuple(make_field("backend_server", &model::lease_request::backend_server),
                                                 make_field("asked_at", &model::lease_request::asked_at));
};

template <>
struct lovagetack::base::fields_of<lovagetack::model::lease_reply> {
    static constexpr std::string_view name = "lease_reply";
    static constexpr auto list = std::make_tuple(
        make_field("backend_server", &model::lease_reply::backend_server),
        make_field("asked_at", &model::lease_reply::asked_at), make_field("granted", &model::lease_reply::granted),
        make_field("lease_time", &model::lease_reply::lease_time), make_field("epoch", &model::lease_reply::epoch));
};

template <>
struct lovagetack::base::fields_of<lovagetack::model::peer_message> {
    static constexpr std::string_view name = "peer_message";
    static constexpr auto list = std::make_tuple(make_field("from", &model::peer_message::from),
                                                 make_field("from_incarnation", &model::peer_message::from_incarnation),
                                                 make_field("from_address", &model::peer_message::from_address),
                                                 make_field("body", &model::peer_message::body),
                                                 make_field("stamp", &model::peer_message::stamp));
};

template <>
struct lovagetack::base::fields_of<lovagetack::model::send_peer_message> {
    static constexpr std::string_view name = "send_peer_message";
    static constexpr auto list = std::make_tuple(make_field("to", &model::send_peer_message::to),
                                                 make_field("to_address", &model::send_peer_message::to_address),
                                                 make_field("body", &model::send_peer_message::body));
};

template <>
struct lovagetack::base::fields_of<lovagetack::model::controller_heartbeat> {
    static constexpr std::string_view name = "controller_heartbeat";
    static constexpr auto list = std::make_tuple(make_field("epoch", &model::controller_heartbeat::epoch));
};
