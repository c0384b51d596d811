#pragma once

#include <functional>
#include <memory>

#include <QTcpSocket>

#include "model/address.hpp"
#include "stand_ins/delayed_calls.hpp"
#include "stand_ins/link_condition.hpp"
#include "stand_ins/proxy_flow.hpp"

namespace lovagetack::stand_ins {

/// A client's connection to the proxy and the proxy's connection to the server.
class proxied_connection : public std::enable_shared_from_this<proxied_connection> {
public:
    /// Takes ownership of the client's socket; the event loop deletes it after this object. The condition, the counters
    /// and the calls must outlive this object.
    proxied_connection(QTcpSocket* client, link_condition& condition, link_counters& counters, delayed_calls& calls);
    ~proxied_connection();
    proxied_connection(const proxied_connection&) = delete;
    proxied_connection& operator=(const proxied_connection&) = delete;

    /// Connects to the server; both_closed is called once, when both sockets are closed.
    void start(const model::address& server, std::function<void()> both_closed);
    void abort();
    void silence();
    void pump();
    [[nodiscard]] bool silent() const { return silent_; }
    [[nodiscard]] bool lost_bytes() const { return to_server_.lost_bytes() || to_client_.lost_bytes(); }

private:
    void watch(QTcpSocket* socket, proxy_flow proxied_connection::*incoming);
    void notify_when_closed();

    QTcpSocket* client_;
    QTcpSocket* server_;
    delayed_calls& calls_;
    proxy_flow to_server_;
    proxy_flow to_client_;
    std::function<void()> both_closed_;
    bool silent_ = false;
};

} // namespace lovagetack::stand_ins
