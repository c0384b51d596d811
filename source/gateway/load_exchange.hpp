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

/// Datagrams between instances about their load. A lost one is made up for by the next.
class load_exchange {
public:
    explicit load_exchange(event_handler on_event);

    /// Fails with address_in_use.
    base::result<void> listen(const model::address& address);
    /// `data_centre` is the sender's.
    void send(const routing::send_load& effect, const model::data_centre_id& data_centre,
              const std::map<model::instance_id, routing::instance_record>& instances);

    [[nodiscard]] static std::string encode(const routing::instance_load& load);
    /// Fails with peer_message_malformed.
    [[nodiscard]] static base::result<routing::instance_load> decode(const QByteArray& bytes);

private:
    void receive();

    event_handler on_event_;
    QUdpSocket socket_;
};

} // namespace lovagetack::gateway
