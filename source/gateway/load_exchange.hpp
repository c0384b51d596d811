#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <QUdpSocket>

#include "base/result.hpp"
#include "gateway/ports.hpp"
#include "model/address.hpp"
#include "routing/assignment.hpp"
#include "routing/effect.hpp"

namespace lovagetack::gateway {

/// Totals of the messages between instances since the process started.
struct message_counters {
    std::uint64_t sent = 0;
    std::uint64_t failed = 0;
    std::uint64_t received = 0;
};

/// Sends and receives the messages between instances, as UDP datagrams. Lost datagrams are not sent again: the next
/// message about load, orders or renewals replaces a lost one, and the row in the store replaces a lost change of an
/// assignment.
class load_exchange {
public:
    using instance_records = std::map<model::instance_id, routing::instance_record>;

    explicit load_exchange(event_handler on_event);

    /// Fails with address_in_use.
    base::result<void> listen(const model::address& address);
    void send(const routing::send_load& effect, const instance_records& instances);
    /// Sends to all instances but the sender.
    void send(const routing::send_change& effect, const model::instance_id& sender, const instance_records& instances);

    void send(const routing::send_renewal_orders& effect, const instance_records& instances);
    void send(const routing::send_renewal_report& effect, const instance_records& instances);
    void send(const routing::send_heartbeat& effect, const instance_records& instances);
    void send(const routing::send_slot_request& effect, const instance_records& instances);
    void send(const routing::send_slot_answer& effect, const instance_records& instances);
    void send(const routing::send_slot_release& effect, const instance_records& instances);
    void send(const routing::send_slot_report& effect, const instance_records& instances);
    void send(const routing::send_strike& effect, const instance_records& instances);
    void send(const routing::send_objection& effect, const instance_records& instances);
    void send(const routing::send_allowance_message& effect, const instance_records& instances);
    void send(const routing::send_table_change& effect, const model::instance_id& sender,
              const instance_records& instances);
    void send(const routing::request_table_changes& effect, const instance_records& instances);
    void send(const routing::table_changes_unknown& message, const model::instance_id& receiver,
              const instance_records& instances);

    [[nodiscard]] const message_counters& counters() const { return counters_; }

    [[nodiscard]] static std::string encode(const routing::instance_load& load);
    [[nodiscard]] static std::string encode(const routing::assignment_changed& change);
    [[nodiscard]] static std::string encode(const routing::renewal_orders& orders);
    [[nodiscard]] static std::string encode(const routing::renewal_report& report);
    [[nodiscard]] static std::string encode(const routing::reader_heartbeat& heartbeat);
    [[nodiscard]] static std::string encode(const routing::slot_request& request);
    [[nodiscard]] static std::string encode(const routing::slot_answer& answer);
    [[nodiscard]] static std::string encode(const routing::slot_release& release);
    [[nodiscard]] static std::string encode(const routing::slot_report& report);
    [[nodiscard]] static std::string encode(const routing::table_change_received& message);
    [[nodiscard]] static std::string encode(const routing::table_changes_wanted& message);
    [[nodiscard]] static std::string encode(const routing::table_changes_unknown& message);
    [[nodiscard]] static std::string encode(const routing::request_strike& strike);
    [[nodiscard]] static std::string encode(const routing::quarantine_objection& objection);
    [[nodiscard]] static std::string encode(const routing::allowance_message& message);
    /// Returns the event of one of the encoded kinds. Fails with peer_message_malformed.
    [[nodiscard]] static base::result<routing::event> decode(const QByteArray& bytes);

private:
    void receive();
    void send(const std::string& bytes, const routing::instance_record& record);
    void send(const std::string& bytes, const model::instance_id& receiver, const instance_records& instances);
    void send(const std::string& bytes, const std::vector<model::instance_id>& receivers,
              const instance_records& instances);

    event_handler on_event_;
    message_counters counters_;
    QUdpSocket socket_;
};

} // namespace lovagetack::gateway
