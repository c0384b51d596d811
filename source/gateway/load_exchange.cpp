#include "gateway/load_exchange.hpp"

#include <utility>

#include <QHostAddress>
#include <QNetworkDatagram>

#include "wire/peer.pb.h"

namespace lovagetack::gateway {
namespace {

routing::instance_load decode_load(const wire::GatewayLoad& message) {
    routing::instance_load load;
    load.instance = model::instance_id(message.instance());
    load.incarnation = message.incarnation();
    load.sequence = message.sequence();
    load.is_keeper = message.keeper();
    load.renews = message.renews();
    for (const auto& server : message.servers()) {
        routing::peer_server_load item;
        item.server = model::backend_server_id(server.server());
        item.outstanding = static_cast<std::int32_t>(server.outstanding());
        item.queued = static_cast<std::int32_t>(server.queued());
        if (server.told()) {
            item.load = routing::reported_load{
                static_cast<std::int32_t>(server.running()), static_cast<std::int32_t>(server.waiting()),
                static_cast<std::int32_t>(server.slots()), static_cast<std::int32_t>(server.slowness())};
            item.load_age = std::chrono::milliseconds(server.age_ms());
        }
        item.observations = static_cast<std::int32_t>(server.observations());
        item.observed = std::chrono::microseconds(server.observed_us());
        load.servers.push_back(std::move(item));
    }
    for (const auto& keys : message.keys()) {
        load.keys.push_back(
            {model::service_id(keys.service()), std::vector<std::uint32_t>(keys.keys().begin(), keys.keys().end())});
    }
    return load;
}

routing::assignment_changed decode_change(const wire::GatewayAssignmentChange& message) {
    routing::assignment_changed change;
    change.service = model::service_id(message.service());
    change.base_version = message.base_version();
    change.version = message.version();
    change.next_fence = message.next_fence();
    change.keeper = model::instance_id(message.keeper());
    for (const auto& item : message.ranges()) {
        routing::key_range range;
        range.first = item.first();
        range.last = item.last();
        range.owner = model::backend_server_id(item.owner());
        range.owner_born = item.owner_born();
        range.fence = item.fence();
        range.leaving = model::backend_server_id(item.leaving());
        range.leaving_born = item.leaving_born();
        range.leaving_fence = item.leaving_fence();
        change.ranges.push_back(std::move(range));
    }
    return change;
}

} // namespace

load_exchange::load_exchange(event_handler on_event) : on_event_(std::move(on_event)) {
    QObject::connect(&socket_, &QUdpSocket::readyRead, &socket_, [this] { receive(); });
}

base::result<void> load_exchange::listen(const model::address& address) {
    if (!socket_.bind(QHostAddress(QString::fromStdString(address.host)), address.port)) {
        return base::failure(base::result_code::address_in_use, "cannot listen on UDP " + model::to_text(address) +
                                                                    ": " + socket_.errorString().toStdString());
    }
    return base::success();
}

void load_exchange::send(const std::string& bytes, const routing::instance_record& record) {
    if (record.address.port != 0) {
        socket_.writeDatagram(bytes.data(), static_cast<qint64>(bytes.size()),
                              QHostAddress(QString::fromStdString(record.address.host)), record.address.port);
    }
}

void load_exchange::send(const routing::send_load& effect, const instance_records& instances) {
    const auto bytes = encode(effect.load);
    for (const auto& receiver : effect.receivers) {
        const auto found = instances.find(receiver);
        if (found != instances.end()) {
            send(bytes, found->second);
        }
    }
}

void load_exchange::send(const routing::send_change& effect, const model::instance_id& sender,
                         const instance_records& instances) {
    const auto bytes = encode(effect.change);
    for (const auto& [instance, record] : instances) {
        if (instance != sender) {
            send(bytes, record);
        }
    }
}

void load_exchange::receive() {
    while (socket_.hasPendingDatagrams()) {
        const auto event = decode(socket_.receiveDatagram().data());
        if (event) {
            on_event_(event.value());
        }
    }
}

std::string load_exchange::encode(const routing::instance_load& load) {
    wire::GatewayMessage envelope;
    auto& message = *envelope.mutable_load();
    message.set_instance(load.instance.value());
    message.set_incarnation(load.incarnation);
    message.set_sequence(load.sequence);
    message.set_keeper(load.is_keeper);
    message.set_renews(load.renews);
    for (const auto& item : load.servers) {
        auto& server = *message.add_servers();
        server.set_server(item.server.value());
        server.set_outstanding(static_cast<std::uint32_t>(item.outstanding));
        server.set_queued(static_cast<std::uint32_t>(item.queued));
        if (item.load) {
            server.set_told(true);
            server.set_running(static_cast<std::uint32_t>(item.load->running));
            server.set_waiting(static_cast<std::uint32_t>(item.load->waiting));
            server.set_slots(static_cast<std::uint32_t>(item.load->slots));
            server.set_slowness(static_cast<std::uint32_t>(item.load->slowness));
            server.set_age_ms(static_cast<std::uint32_t>(item.load_age.count()));
        }
        server.set_observations(static_cast<std::uint32_t>(item.observations));
        server.set_observed_us(static_cast<std::uint64_t>(item.observed.count()));
    }
    for (const auto& item : load.keys) {
        auto& keys = *message.add_keys();
        keys.set_service(item.service.value());
        for (const auto key : item.keys) {
            keys.add_keys(key);
        }
    }
    return envelope.SerializeAsString();
}

std::string load_exchange::encode(const routing::assignment_changed& change) {
    wire::GatewayMessage envelope;
    auto& message = *envelope.mutable_change();
    message.set_service(change.service.value());
    message.set_base_version(change.base_version);
    message.set_version(change.version);
    message.set_next_fence(change.next_fence);
    message.set_keeper(change.keeper.value());
    for (const auto& item : change.ranges) {
        auto& range = *message.add_ranges();
        range.set_first(item.first);
        range.set_last(item.last);
        range.set_owner(item.owner.value());
        range.set_owner_born(item.owner_born);
        range.set_fence(item.fence);
        range.set_leaving(item.leaving.value());
        range.set_leaving_born(item.leaving_born);
        range.set_leaving_fence(item.leaving_fence);
    }
    return envelope.SerializeAsString();
}

base::result<routing::event> load_exchange::decode(const QByteArray& bytes) {
    wire::GatewayMessage message;
    if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        return base::failure(base::result_code::peer_message_malformed,
                             "a message from another instance cannot be parsed");
    }
    switch (message.body_case()) {
    case wire::GatewayMessage::kLoad:
        return routing::event(decode_load(message.load()));
    case wire::GatewayMessage::kChange:
        return routing::event(decode_change(message.change()));
    case wire::GatewayMessage::BODY_NOT_SET:
        break;
    }
    return base::failure(base::result_code::peer_message_malformed,
                         "a message from another instance has no known body");
}

} // namespace lovagetack::gateway
