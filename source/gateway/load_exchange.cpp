#include "gateway/load_exchange.hpp"

#include <algorithm>
#include <optional>
#include <utility>

#include <QHostAddress>
#include <QNetworkDatagram>

#include "gateway/allowance_messages.hpp"
#include "wire/peer.pb.h"

namespace lovagetack::gateway {
namespace {

/// Values of rows are compressed from this length on, in bytes. A configuration of hundreds of routes shrinks to a
/// tenth.
constexpr std::size_t compressed_from_bytes = 2048;
/// Largest datagram, in bytes; the protocol allows 65,507.
constexpr std::size_t largest_datagram = 60000;
/// Ages above this one, which only a faulty sender tells, are taken for it.
constexpr auto longest_table_age = std::chrono::milliseconds(std::chrono::hours(1));

routing::instance_load decode_load(const wire::GatewayLoad& message) {
    routing::instance_load load;
    load.instance = model::instance_id(message.instance());
    load.incarnation = message.incarnation();
    load.sequence = message.sequence();
    load.is_keeper = message.keeper();
    load.renews = message.renews();
    load.store_contact = std::chrono::milliseconds(message.store_contact_ms());
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
        item.leaving_born = server.leaving_born();
        item.leaving_age = std::chrono::milliseconds(server.leaving_age_ms());
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
    change.part = message.part();
    change.parts = std::max(std::uint32_t(1), message.parts());
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

void encode_order(const routing::renewal_order& order, wire::GatewayRenewalOrder& message) {
    message.set_service(order.service.value());
    message.set_server(order.server.value());
    message.set_server_born(order.server_born);
    message.set_first(order.first);
    message.set_last(order.last);
    message.set_fence(order.fence);
}

routing::renewal_order decode_order(const wire::GatewayRenewalOrder& message) {
    return {model::service_id(message.service()),
            model::backend_server_id(message.server()),
            message.server_born(),
            message.first(),
            message.last(),
            message.fence()};
}

base::boot_time decode_time(std::int64_t microseconds) {
    return base::boot_time(std::chrono::microseconds(microseconds));
}

routing::renewal_orders decode_orders(const wire::GatewayRenewalOrders& message) {
    routing::renewal_orders orders;
    orders.keeper = model::instance_id(message.keeper());
    orders.term = message.term();
    orders.sequence = message.sequence();
    orders.renewer_incarnation = message.renewer_incarnation();
    orders.reported_at = decode_time(message.reported_at_us());
    orders.valid_for = std::chrono::milliseconds(message.valid_for_ms());
    for (const auto& item : message.orders()) {
        orders.orders.push_back(decode_order(item));
    }
    return orders;
}

routing::renewal_report decode_report(const wire::GatewayRenewalReport& message) {
    routing::renewal_report report;
    report.renewer = model::instance_id(message.renewer());
    report.incarnation = message.incarnation();
    report.term = message.term();
    report.sequence = message.sequence();
    report.reported_at = decode_time(message.reported_at_us());
    for (const auto& item : message.renewals()) {
        routing::renewal_status status;
        status.order = decode_order(item.order());
        status.under_way = item.under_way();
        status.superseded = item.superseded();
        status.failures_in_row = static_cast<std::int32_t>(item.failures_in_row());
        if (item.has_sent_ms()) {
            status.sent = std::chrono::milliseconds(item.sent_ms());
        }
        if (item.has_accepted_ms()) {
            status.accepted = std::chrono::milliseconds(item.accepted_ms());
        }
        if (item.has_unanswered_ms()) {
            status.unanswered = std::chrono::milliseconds(item.unanswered_ms());
        }
        report.renewals.push_back(std::move(status));
    }
    return report;
}

routing::reader_heartbeat decode_heartbeat(const wire::GatewayHeartbeat& message) {
    routing::reader_heartbeat heartbeat;
    heartbeat.instance = model::instance_id(message.instance());
    heartbeat.data_centre = model::data_centre_id(message.data_centre());
    heartbeat.reads = message.reads();
    heartbeat.store_contact = std::chrono::milliseconds(message.store_contact_ms());
    if (message.has_keeper_age_ms()) {
        heartbeat.keeper_age = std::chrono::milliseconds(message.keeper_age_ms());
    }
    const auto known = std::min<int>(message.tables_size(), static_cast<int>(heartbeat.tables.size()));
    std::copy_n(message.tables().begin(), known, heartbeat.tables.begin());
    // A former build sends none: its copies count as current.
    const auto ages = std::min<int>(message.table_ages_ms_size(), static_cast<int>(heartbeat.table_ages.size()));
    for (int table = 0; table < ages; ++table) {
        const auto age = std::min<std::uint64_t>(message.table_ages_ms(table), longest_table_age.count());
        heartbeat.table_ages.at(static_cast<std::size_t>(table)) = std::chrono::milliseconds(age);
    }
    for (const auto& item : message.assignments()) {
        heartbeat.assignments[model::service_id(item.service())] = item.version();
    }
    return heartbeat;
}

routing::slot_request decode_slot_request(const wire::GatewaySlotRequest& message) {
    routing::slot_request request;
    request.sender = model::instance_id(message.sender());
    request.incarnation = message.incarnation();
    request.ask = message.ask();
    request.service = model::service_id(message.service());
    request.data_centre = model::data_centre_id(message.data_centre());
    request.group = message.group();
    request.server = model::backend_server_id(message.server());
    request.priority = message.priority();
    request.age = std::chrono::milliseconds(message.age_ms());
    request.patience = std::chrono::milliseconds(message.patience_ms());
    for (const auto& server : message.excluded()) {
        request.excluded.emplace_back(server);
    }
    return request;
}

routing::slot_answer decode_slot_answer(const wire::GatewaySlotAnswer& message) {
    return {model::instance_id(message.dispatcher()), message.ask(),
            static_cast<routing::slot_outcome>(message.outcome()), model::backend_server_id(message.server()),
            std::chrono::milliseconds(message.wait_ms())};
}

routing::slot_release decode_slot_release(const wire::GatewaySlotRelease& message) {
    routing::slot_release release;
    release.sender = model::instance_id(message.sender());
    release.incarnation = message.incarnation();
    release.ask = message.ask();
    release.server = model::backend_server_id(message.server());
    if (!message.attempted()) {
        return release;
    }
    auto& attempt = release.attempt.emplace();
    attempt.outcome = static_cast<routing::attempt_outcome>(message.outcome());
    attempt.status = message.status();
    attempt.elapsed = std::chrono::milliseconds(message.elapsed_ms());
    attempt.signals.leaving = message.leaving();
    attempt.signals.pause = std::chrono::milliseconds(message.pause_ms());
    attempt.server_born = message.server_born();
    if (message.told()) {
        attempt.load = routing::reported_load{
            static_cast<std::int32_t>(message.running()), static_cast<std::int32_t>(message.waiting()),
            static_cast<std::int32_t>(message.slots()), static_cast<std::int32_t>(message.slowness())};
    }
    return release;
}

routing::slot_report decode_slot_report(const wire::GatewaySlotReport& message) {
    routing::slot_report report;
    report.sender = model::instance_id(message.sender());
    report.incarnation = message.incarnation();
    for (const auto& slot : message.slots()) {
        report.slots.push_back({slot.ask(), model::backend_server_id(slot.server())});
    }
    return report;
}

routing::request_strike decode_strike(const wire::GatewayStrike& message) {
    return {message.request(), message.target(), model::backend_server_id(message.server()), message.server_born()};
}

/// Nothing for a table that this build does not know.
std::optional<routing::followed_table> decode_table(std::uint32_t number) {
    if (number >= routing::followed_table_count) {
        return std::nullopt;
    }
    return static_cast<routing::followed_table>(number);
}

routing::table_change_received decode_table_change(routing::followed_table table,
                                                   const wire::GatewayTableChange& message) {
    routing::table_change_received received;
    received.sender = model::instance_id(message.sender());
    received.change.table = table;
    received.change.base = message.base();
    received.change.version = message.version();
    for (const auto& row : message.rows()) {
        auto value = row.compressed() ? qUncompress(QByteArray::fromStdString(row.value())).toStdString() : row.value();
        received.change.rows.push_back({row.key(), row.version(), row.removed(), std::move(value)});
    }
    return received;
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
    if (record.address.port == 0) {
        return;
    }
    ++counters_.sent;
    const auto written =
        socket_.writeDatagram(bytes.data(), static_cast<qint64>(bytes.size()),
                              QHostAddress(QString::fromStdString(record.address.host)), record.address.port);
    if (written != static_cast<qint64>(bytes.size())) {
        ++counters_.failed;
        on_event_(routing::message_not_sent{model::to_text(record.address), socket_.errorString().toStdString()});
    }
}

void load_exchange::send(const std::string& bytes, const model::instance_id& receiver,
                         const instance_records& instances) {
    const auto found = instances.find(receiver);
    if (found != instances.end()) {
        send(bytes, found->second);
    }
}

void load_exchange::send(const routing::send_load& effect, const instance_records& instances) {
    send(encode(effect.load), effect.receivers, instances);
}

void load_exchange::send(const std::string& bytes, const std::vector<model::instance_id>& receivers,
                         const instance_records& instances) {
    for (const auto& receiver : receivers) {
        send(bytes, receiver, instances);
    }
}

void load_exchange::send(const routing::send_heartbeat& effect, const instance_records& instances) {
    send(encode(effect.heartbeat), effect.receivers, instances);
}

void load_exchange::send(const routing::send_slot_request& effect, const instance_records& instances) {
    send(encode(effect.request), effect.receiver, instances);
}

void load_exchange::send(const routing::send_slot_answer& effect, const instance_records& instances) {
    send(encode(effect.answer), effect.receiver, instances);
}

void load_exchange::send(const routing::send_slot_release& effect, const instance_records& instances) {
    send(encode(effect.release), effect.receiver, instances);
}

void load_exchange::send(const routing::send_slot_report& effect, const instance_records& instances) {
    send(encode(effect.report), effect.receiver, instances);
}

void load_exchange::send(const routing::send_table_change& effect, const model::instance_id& sender,
                         const instance_records& instances) {
    auto bytes = encode(routing::table_change_received{sender, effect.change});
    if (bytes.size() > largest_datagram) {
        // The receivers read the change from the store.
        bytes = encode(routing::table_changes_unknown{effect.change.table});
    }
    send(bytes, effect.receivers, instances);
}

void load_exchange::send(const routing::request_table_changes& effect, const instance_records& instances) {
    send(encode(effect.request), effect.receiver, instances);
}

void load_exchange::send(const routing::table_changes_unknown& message, const model::instance_id& receiver,
                         const instance_records& instances) {
    send(encode(message), receiver, instances);
}

void load_exchange::send(const routing::send_renewal_orders& effect, const instance_records& instances) {
    send(encode(effect.orders), effect.receiver, instances);
}

void load_exchange::send(const routing::send_renewal_report& effect, const instance_records& instances) {
    send(encode(effect.report), effect.receiver, instances);
}

void load_exchange::send(const routing::send_strike& effect, const instance_records& instances) {
    send(encode(effect.strike), effect.receiver, instances);
}

void load_exchange::send(const routing::send_objection& effect, const instance_records& instances) {
    send(encode(effect.objection), effect.receiver, instances);
}

void load_exchange::send(const routing::send_allowance_message& effect, const instance_records& instances) {
    send(encode(effect.message), effect.receivers, instances);
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
        ++counters_.received;
        const auto event = decode(socket_.receiveDatagram().data());
        if (!event) {
            on_event_(routing::message_rejected{event.error().message});
            continue;
        }
        on_event_(event.value());
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
    message.set_store_contact_ms(static_cast<std::uint64_t>(load.store_contact.count()));
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
        server.set_leaving_born(item.leaving_born);
        server.set_leaving_age_ms(static_cast<std::uint32_t>(item.leaving_age.count()));
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
    message.set_part(change.part);
    message.set_parts(change.parts);
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

std::string load_exchange::encode(const routing::renewal_orders& orders) {
    wire::GatewayMessage envelope;
    auto& message = *envelope.mutable_orders();
    message.set_keeper(orders.keeper.value());
    message.set_term(orders.term);
    message.set_sequence(orders.sequence);
    message.set_renewer_incarnation(orders.renewer_incarnation);
    message.set_reported_at_us(orders.reported_at.time_since_epoch().count());
    message.set_valid_for_ms(static_cast<std::uint32_t>(orders.valid_for.count()));
    for (const auto& order : orders.orders) {
        encode_order(order, *message.add_orders());
    }
    return envelope.SerializeAsString();
}

std::string load_exchange::encode(const routing::renewal_report& report) {
    wire::GatewayMessage envelope;
    auto& message = *envelope.mutable_report();
    message.set_renewer(report.renewer.value());
    message.set_incarnation(report.incarnation);
    message.set_term(report.term);
    message.set_sequence(report.sequence);
    message.set_reported_at_us(report.reported_at.time_since_epoch().count());
    for (const auto& item : report.renewals) {
        auto& status = *message.add_renewals();
        encode_order(item.order, *status.mutable_order());
        status.set_under_way(item.under_way);
        status.set_superseded(item.superseded);
        status.set_failures_in_row(static_cast<std::uint32_t>(item.failures_in_row));
        if (item.sent) {
            status.set_sent_ms(static_cast<std::uint32_t>(item.sent->count()));
        }
        if (item.accepted) {
            status.set_accepted_ms(static_cast<std::uint32_t>(item.accepted->count()));
        }
        if (item.unanswered) {
            status.set_unanswered_ms(static_cast<std::uint32_t>(item.unanswered->count()));
        }
    }
    return envelope.SerializeAsString();
}

std::string load_exchange::encode(const routing::reader_heartbeat& heartbeat) {
    wire::GatewayMessage envelope;
    auto& message = *envelope.mutable_heartbeat();
    message.set_instance(heartbeat.instance.value());
    message.set_data_centre(heartbeat.data_centre.value());
    message.set_reads(heartbeat.reads);
    message.set_store_contact_ms(static_cast<std::uint64_t>(heartbeat.store_contact.count()));
    if (heartbeat.keeper_age) {
        message.set_keeper_age_ms(static_cast<std::uint32_t>(heartbeat.keeper_age->count()));
    }
    for (const auto version : heartbeat.tables) {
        message.add_tables(version);
    }
    for (const auto age : heartbeat.table_ages) {
        message.add_table_ages_ms(static_cast<std::uint64_t>(age.count()));
    }
    for (const auto& [service, version] : heartbeat.assignments) {
        auto& item = *message.add_assignments();
        item.set_service(service.value());
        item.set_version(version);
    }
    return envelope.SerializeAsString();
}

std::string load_exchange::encode(const routing::slot_request& request) {
    wire::GatewayMessage envelope;
    auto& message = *envelope.mutable_slot_request();
    message.set_sender(request.sender.value());
    message.set_incarnation(request.incarnation);
    message.set_ask(request.ask);
    message.set_service(request.service.value());
    message.set_data_centre(request.data_centre.value());
    message.set_group(request.group);
    message.set_server(request.server.value());
    message.set_priority(request.priority);
    message.set_age_ms(static_cast<std::uint32_t>(request.age.count()));
    message.set_patience_ms(static_cast<std::uint32_t>(request.patience.count()));
    for (const auto& server : request.excluded) {
        message.add_excluded(server.value());
    }
    return envelope.SerializeAsString();
}

std::string load_exchange::encode(const routing::slot_answer& answer) {
    wire::GatewayMessage envelope;
    auto& message = *envelope.mutable_slot_answer();
    message.set_dispatcher(answer.dispatcher.value());
    message.set_ask(answer.ask);
    message.set_outcome(static_cast<std::uint32_t>(answer.outcome));
    message.set_server(answer.server.value());
    message.set_wait_ms(static_cast<std::uint32_t>(answer.wait.count()));
    return envelope.SerializeAsString();
}

std::string load_exchange::encode(const routing::slot_release& release) {
    wire::GatewayMessage envelope;
    auto& message = *envelope.mutable_slot_release();
    message.set_sender(release.sender.value());
    message.set_incarnation(release.incarnation);
    message.set_ask(release.ask);
    message.set_server(release.server.value());
    if (release.attempt) {
        message.set_attempted(true);
        message.set_outcome(static_cast<std::uint32_t>(release.attempt->outcome));
        message.set_status(release.attempt->status);
        message.set_elapsed_ms(static_cast<std::uint32_t>(release.attempt->elapsed.count()));
        message.set_leaving(release.attempt->signals.leaving);
        message.set_pause_ms(static_cast<std::uint32_t>(release.attempt->signals.pause.count()));
        message.set_server_born(release.attempt->server_born);
    }
    if (release.attempt && release.attempt->load) {
        const auto& load = *release.attempt->load;
        message.set_told(true);
        message.set_running(static_cast<std::uint32_t>(load.running));
        message.set_waiting(static_cast<std::uint32_t>(load.waiting));
        message.set_slots(static_cast<std::uint32_t>(load.slots));
        message.set_slowness(static_cast<std::uint32_t>(load.slowness));
    }
    return envelope.SerializeAsString();
}

std::string load_exchange::encode(const routing::slot_report& report) {
    wire::GatewayMessage envelope;
    auto& message = *envelope.mutable_slot_report();
    message.set_sender(report.sender.value());
    message.set_incarnation(report.incarnation);
    for (const auto& slot : report.slots) {
        auto& item = *message.add_slots();
        item.set_ask(slot.ask);
        item.set_server(slot.server.value());
    }
    return envelope.SerializeAsString();
}

std::string load_exchange::encode(const routing::table_change_received& received) {
    wire::GatewayMessage envelope;
    auto& message = *envelope.mutable_table_change();
    message.set_sender(received.sender.value());
    message.set_table(static_cast<std::uint32_t>(received.change.table));
    message.set_base(received.change.base);
    message.set_version(received.change.version);
    for (const auto& item : received.change.rows) {
        auto& row = *message.add_rows();
        row.set_key(item.key);
        row.set_version(item.version);
        row.set_removed(item.removed);
        const bool compressed = item.value.size() >= compressed_from_bytes;
        row.set_compressed(compressed);
        row.set_value(compressed ? qCompress(QByteArray::fromStdString(item.value)).toStdString() : item.value);
    }
    return envelope.SerializeAsString();
}

std::string load_exchange::encode(const routing::table_changes_wanted& wanted) {
    wire::GatewayMessage envelope;
    auto& message = *envelope.mutable_table_request();
    message.set_sender(wanted.sender.value());
    message.set_table(static_cast<std::uint32_t>(wanted.table));
    message.set_after(wanted.after);
    return envelope.SerializeAsString();
}

std::string load_exchange::encode(const routing::table_changes_unknown& unknown) {
    wire::GatewayMessage envelope;
    envelope.mutable_table_unknown()->set_table(static_cast<std::uint32_t>(unknown.table));
    return envelope.SerializeAsString();
}

std::string load_exchange::encode(const routing::request_strike& strike) {
    wire::GatewayMessage envelope;
    auto& message = *envelope.mutable_strike();
    message.set_request(strike.request);
    message.set_target(strike.target);
    message.set_server(strike.server.value());
    message.set_server_born(strike.server_born);
    return envelope.SerializeAsString();
}

std::string load_exchange::encode(const routing::quarantine_objection& objection) {
    wire::GatewayMessage envelope;
    auto& message = *envelope.mutable_objection();
    message.set_request(objection.request);
    message.set_age_ms(static_cast<std::uint32_t>(objection.age.count()));
    return envelope.SerializeAsString();
}

std::string load_exchange::encode(const routing::allowance_message& message) {
    wire::GatewayMessage envelope;
    std::visit([&envelope](const auto& body) { write(body, envelope); }, message);
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
    case wire::GatewayMessage::kOrders:
        return routing::event(decode_orders(message.orders()));
    case wire::GatewayMessage::kReport:
        return routing::event(decode_report(message.report()));
    case wire::GatewayMessage::kHeartbeat:
        return routing::event(decode_heartbeat(message.heartbeat()));
    case wire::GatewayMessage::kTableChange:
        if (const auto table = decode_table(message.table_change().table())) {
            return routing::event(decode_table_change(*table, message.table_change()));
        }
        break;
    case wire::GatewayMessage::kTableRequest:
        if (const auto table = decode_table(message.table_request().table())) {
            return routing::event(routing::table_changes_wanted{model::instance_id(message.table_request().sender()),
                                                                *table, message.table_request().after()});
        }
        break;
    case wire::GatewayMessage::kTableUnknown:
        if (const auto table = decode_table(message.table_unknown().table())) {
            return routing::event(routing::table_changes_unknown{*table});
        }
        break;
    case wire::GatewayMessage::kSlotRequest:
        return routing::event(decode_slot_request(message.slot_request()));
    case wire::GatewayMessage::kSlotAnswer:
        if (message.slot_answer().outcome() <= static_cast<std::uint32_t>(routing::slot_outcome::refused)) {
            return routing::event(decode_slot_answer(message.slot_answer()));
        }
        break;
    case wire::GatewayMessage::kSlotRelease:
        if (message.slot_release().outcome() <= static_cast<std::uint32_t>(routing::attempt_outcome::cut_short)) {
            return routing::event(decode_slot_release(message.slot_release()));
        }
        break;
    case wire::GatewayMessage::kSlotReport:
        return routing::event(decode_slot_report(message.slot_report()));
    case wire::GatewayMessage::kStrike:
        return routing::event(decode_strike(message.strike()));
    case wire::GatewayMessage::kObjection:
        return routing::event(routing::quarantine_objection{message.objection().request(),
                                                            std::chrono::milliseconds(message.objection().age_ms())});
    case wire::GatewayMessage::kCounterRoles:
    case wire::GatewayMessage::kCounterReport:
    case wire::GatewayMessage::kTokenRequest:
    case wire::GatewayMessage::kTokenAnswer:
        return routing::event(routing::allowance_message_received{read_allowance_message(message)});
    case wire::GatewayMessage::BODY_NOT_SET:
        break;
    }
    return base::failure(base::result_code::peer_message_malformed,
                         "a message from another instance has no known body");
}

} // namespace lovagetack::gateway
