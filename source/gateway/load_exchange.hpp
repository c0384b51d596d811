#pragma once

#include <map>
#include <string>

#include <QUdpSocket>

#include "base/result.hpp"
#include "gateway/ports.hpp"
#include "model/address.hpp"
#include "routing/assignment.hpp"
#include "routing/effect.hpp"

namespace lovagetack::gateway {

/// Datagrams between instances. A lost message about load is made up for by the next one, a lost change of an
/// assignment by the row in the store.
class load_exchange {
public:
    using instance_records = std::map<model::instance_id, routing::instance_record>;

    explicit load_exchange(event_handler on_event);

    /// Fails with address_in_use.
    base::result<void> listen(const model::address& address);
    void send(const routing::send_load& effect, const instance_records& instances);
    /// To all instances but the sender.
    void send(const routing::send_change& effect, const model::instance_id& sender, const instance_records& instances);

    [[nodiscard]] static std::string encode(const routing::instance_load& load);
    [[nodiscard]] static std::string encode(const routing::assignment_changed& change);
    /// instance_load or assignment_changed. Fails with peer_message_malformed.
    [[nodiscard]] static base::result<routing::event> decode(const QByteArray& bytes);

private:
    void receive();
    void send(const std::string& bytes, const routing::instance_record& record);

    event_handler on_event_;
    QUdpSocket socket_;
};

} // namespace lovagetack::gateway
