#include "peers/message_conversion.hpp"

#include <chrono>
#include <limits>
#include <optional>
#include <utility>
#include <variant>

#include <QByteArray>
#include <QtEndian>
#include <google/protobuf/stubs/logging.h>

#include "wire/peer.pb.h"

namespace lovagetack::peers {
namespace {

void write_version(const model::fact_version& version, wire::FactVersion& out) {
    out.set_epoch(version.epoch);
    out.set_sequence(version.sequence);
}

model::fact_version read_version(const wire::FactVersion& in) {
    return {in.epoch(), in.sequence()};
}

bool is_representable_kind(std::uint32_t kind) {
    return kind <= std::numeric_limits<std::uint8_t>::max();
}

// Values of at least this size are compressed: they are JSON texts with many repeated names. Shorter ones gain nothing.
constexpr std::size_t compression_threshold_bytes = 256;
constexpr int compression_level = 1;
// A value that claims to be longer is rejected before memory is reserved for it.
constexpr std::uint32_t maximum_value_bytes = 4U * 1024 * 1024;

void write_value(const std::string& value, wire::Fact& out) {
    if (value.size() < compression_threshold_bytes) {
        out.set_value(value);
        return;
    }
    const auto compressed_value = qCompress(reinterpret_cast<const uchar*>(value.data()),
                                            static_cast<qsizetype>(value.size()), compression_level);
    out.set_value(compressed_value.constData(), static_cast<std::size_t>(compressed_value.size()));
    out.set_compressed(true);
}

/// The value, or nothing when it cannot be decompressed.
std::optional<std::string> read_value(const wire::Fact& in) {
    const std::string& value = in.value();
    if (!in.compressed()) {
        return value;
    }
    if (value.size() < sizeof(std::uint32_t) || qFromBigEndian<std::uint32_t>(value.data()) > maximum_value_bytes) {
        return std::nullopt;
    }
    const auto decompressed =
        qUncompress(reinterpret_cast<const uchar*>(value.data()), static_cast<qsizetype>(value.size()));
    if (decompressed.isEmpty()) {
        return std::nullopt;
    }
    return decompressed.toStdString();
}

void write_body(const model::heartbeat& body, wire::PeerMessage& out) {
    out.mutable_heartbeat()->set_sequence(body.sequence);
    out.mutable_heartbeat()->set_digest(body.digest);
}

void write_body(const model::facts& body, wire::PeerMessage& out) {
    auto& list = *out.mutable_facts()->mutable_list();
    list.Reserve(static_cast<int>(body.list.size()));
    for (const auto& fact : body.list) {
        auto& entry = *list.Add();
        entry.set_kind(static_cast<std::uint32_t>(fact.kind));
        entry.set_name(fact.name);
        write_version(fact.version, *entry.mutable_version());
        write_value(fact.value, entry);
    }
}

void write_body(const model::sync_request& body, wire::PeerMessage& out) {
    auto& list = *out.mutable_sync_request()->mutable_known();
    list.Reserve(static_cast<int>(body.known.size()));
    for (const auto& summary : body.known) {
        auto& entry = *list.Add();
        entry.set_kind(static_cast<std::uint32_t>(summary.name.kind));
        entry.set_name(summary.name.name);
        write_version(summary.version, *entry.mutable_version());
    }
}

void write_body(const model::probe_request& body, wire::PeerMessage& out) {
    out.mutable_probe_request()->set_target(body.target.value());
    out.mutable_probe_request()->set_nonce(body.nonce);
}

void write_body(const model::probe& body, wire::PeerMessage& out) {
    out.mutable_probe()->set_nonce(body.nonce);
    out.mutable_probe()->set_asked_by(body.asked_by.value());
}

void write_body(const model::probe_answer& body, wire::PeerMessage& out) {
    out.mutable_probe_answer()->set_target(body.target.value());
    out.mutable_probe_answer()->set_nonce(body.nonce);
    out.mutable_probe_answer()->set_asked_by(body.asked_by.value());
}

void write_body(const model::lease_request& body, wire::PeerMessage& out) {
    out.mutable_lease_request()->set_backend_server(body.backend_server.value());
    out.mutable_lease_request()->set_asked_at_us(body.asked_at.count());
}

void write_body(const model::lease_reply& body, wire::PeerMessage& out) {
    auto& reply = *out.mutable_lease_reply();
    reply.set_backend_server(body.backend_server.value());
    reply.set_asked_at_us(body.asked_at.count());
    reply.set_granted(body.granted);
    reply.set_lease_time_us(body.lease_time.count());
    reply.set_epoch(body.epoch.value());
}

void write_body(const model::controller_heartbeat& body, wire::PeerMessage& out) {
    out.mutable_controller_heartbeat()->set_epoch(body.epoch.value());
}

model::facts read_facts(const wire::Facts& in) {
    model::facts body;
    body.list.reserve(static_cast<std::size_t>(in.list_size()));
    for (const auto& entry : in.list()) {
        if (!is_representable_kind(entry.kind())) {
            continue;
        }
        auto value = read_value(entry);
        if (value) {
            body.list.push_back({static_cast<model::fact_kind>(entry.kind()), entry.name(),
                                 read_version(entry.version()), std::move(*value)});
        }
    }
    return body;
}

model::sync_request read_sync_request(const wire::SyncRequest& in) {
    model::sync_request body;
    body.known.reserve(static_cast<std::size_t>(in.known_size()));
    for (const auto& entry : in.known()) {
        if (!is_representable_kind(entry.kind())) {
            continue;
        }
        body.known.push_back(
            {{static_cast<model::fact_kind>(entry.kind()), entry.name()}, read_version(entry.version())});
    }
    return body;
}

model::lease_reply read_lease_reply(const wire::LeaseReply& in) {
    model::lease_reply body;
    body.backend_server = model::backend_server_id(in.backend_server());
    body.asked_at = std::chrono::microseconds(in.asked_at_us());
    body.granted = in.granted();
    body.lease_time = std::chrono::microseconds(in.lease_time_us());
    body.epoch = model::epoch(in.epoch());
    return body;
}

/// False when the body is absent or of an unknown type.
bool read_body(const wire::PeerMessage& in, model::peer_message_body& body) {
    switch (in.body_case()) {
    case wire::PeerMessage::kHeartbeat:
        body = model::heartbeat{in.heartbeat().sequence(), in.heartbeat().digest()};
        return true;
    case wire::PeerMessage::kFacts:
        body = read_facts(in.facts());
        return true;
    case wire::PeerMessage::kSyncRequest:
        body = read_sync_request(in.sync_request());
        return true;
    case wire::PeerMessage::kProbeRequest:
        body = model::probe_request{model::instance_id(in.probe_request().target()), in.probe_request().nonce()};
        return true;
    case wire::PeerMessage::kProbe:
        body = model::probe{in.probe().nonce(), model::instance_id(in.probe().asked_by())};
        return true;
    case wire::PeerMessage::kProbeAnswer:
        body = model::probe_answer{model::instance_id(in.probe_answer().target()), in.probe_answer().nonce(),
                                   model::instance_id(in.probe_answer().asked_by())};
        return true;
    case wire::PeerMessage::kLeaseRequest:
        body = model::lease_request{model::backend_server_id(in.lease_request().backend_server()),
                                    std::chrono::microseconds(in.lease_request().asked_at_us())};
        return true;
    case wire::PeerMessage::kLeaseReply:
        body = read_lease_reply(in.lease_reply());
        return true;
    case wire::PeerMessage::kControllerHeartbeat:
        body = model::controller_heartbeat{model::epoch(in.controller_heartbeat().epoch())};
        return true;
    case wire::PeerMessage::BODY_NOT_SET:
        return false;
    }
    return false;
}

/// Turns off the log of the protobuf library, which prints a line for each string that is not UTF-8: malformed input
/// could flood the log.
void disable_library_log() {
    static const bool disabled = [] {
        google::protobuf::SetLogHandler(nullptr);
        return true;
    }();
    static_cast<void>(disabled);
}

} // namespace

std::string encode(const model::peer_message& message) {
    wire::PeerMessage out;
    out.set_protocol_version(protocol_version);
    out.set_from(message.from.value());
    out.set_from_incarnation(message.from_incarnation.value());
    out.set_from_host(message.from_address.host);
    out.set_from_port(message.from_address.port);
    out.set_stamp(message.stamp);
    std::visit([&](const auto& body) { write_body(body, out); }, message.body);
    return out.SerializeAsString();
}

decode_status decode(std::string_view bytes, model::peer_message& message) {
    if (bytes.size() > static_cast<std::size_t>(std::numeric_limits<int>::max())) {
        return decode_status::malformed;
    }
    disable_library_log();
    wire::PeerMessage in;
    if (!in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        return decode_status::malformed;
    }
    if (in.from().empty() || in.from_port() > std::numeric_limits<std::uint16_t>::max()) {
        return decode_status::malformed;
    }
    message.from = model::instance_id(in.from());
    message.from_incarnation = model::incarnation(in.from_incarnation());
    message.from_address = {in.from_host(), static_cast<std::uint16_t>(in.from_port())};
    message.stamp = in.stamp();
    return read_body(in, message.body) ? decode_status::ok : decode_status::unknown_body;
}

} // namespace lovagetack::peers
