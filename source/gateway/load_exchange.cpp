#include "gateway/load_exchange.hpp"

#include <utility>

#include <QHostAddress>
#include <QNetworkDatagram>

#include "wire/peer.pb.h"

namespace lovagetack::gateway {

load_exchange::load_exchange(event_handler on_event) : on_event_(std::move(on_event)) {
    QObject::connect(&socket_, &QUdpSocket::readyRead, &socket_, [this] { receive(); });
}

base::result<void> load_exchange::listen(const model::address& address) {
    if (!socket_.bind(QHostAddress(QString::fromStdString(address.host)), address.port)) {
        return base::failure(base::result_code::address_in_use, "cannot listen on UDP " + address.host + ":" +
                                                                    std::to_string(address.port) + ": " +
                                                                    socket_.errorString().toStdString());
    }
    return base::success();
}

void load_exchange::send(const routing::send_load& effect, const model::data_centre_id& data_centre,
                         const std::map<model::instance_id, routing::instance_record>& instances) {
    const auto bytes = encode(effect.load);
    for (const auto& [instance, record] : instances) {
        const bool elsewhere = effect.only_data_centre && record.data_centre != data_centre;
        if (instance == effect.load.instance || record.address.port == 0 || elsewhere) {
            continue;
        }
        socket_.writeDatagram(bytes.data(), static_cast<qint64>(bytes.size()),
                              QHostAddress(QString::fromStdString(record.address.host)), record.address.port);
    }
}

void load_exchange::receive() {
    while (socket_.hasPendingDatagrams()) {
        const auto load = decode(socket_.receiveDatagram().data());
        if (load) {
            on_event_(load.value());
        }
    }
}

std::string load_exchange::encode(const routing::instance_load& load) {
    wire::GatewayLoad message;
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
    }
    for (const auto& item : load.keys) {
        auto& keys = *message.add_keys();
        keys.set_service(item.service.value());
        for (const auto key : item.keys) {
            keys.add_keys(key);
        }
    }
    return message.SerializeAsString();
}

base::result<routing::instance_load> load_exchange::decode(const QByteArray& bytes) {
    wire::GatewayLoad message;
    if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) || message.instance().empty()) {
        return base::failure(base::result_code::peer_message_malformed, "a load message cannot be read");
    }
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
            item.load = routing::load_told{
                static_cast<std::int32_t>(server.running()), static_cast<std::int32_t>(server.waiting()),
                static_cast<std::int32_t>(server.slots()), static_cast<std::int32_t>(server.slowness())};
            item.load_age = std::chrono::milliseconds(server.age_ms());
        }
        load.servers.push_back(std::move(item));
    }
    for (const auto& keys : message.keys()) {
        load.keys.push_back(
            {model::service_id(keys.service()), std::vector<std::uint32_t>(keys.keys().begin(), keys.keys().end())});
    }
    return load;
}

} // namespace lovagetack::gateway
