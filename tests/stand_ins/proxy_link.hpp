#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_set>

#include <QTcpServer>

#include "base/result.hpp"
#include "model/address.hpp"
#include "stand_ins/delayed_calls.hpp"
#include "stand_ins/link_condition.hpp"
#include "stand_ins/proxied_connection.hpp"

namespace lovagetack::stand_ins {

/// Listens on one address and forwards its TCP connections to one server, with the faults of the link's condition.
class proxy_link {
public:
    proxy_link(std::string name, model::address server);
    ~proxy_link();
    proxy_link(const proxy_link&) = delete;
    proxy_link& operator=(const proxy_link&) = delete;

    /// Port 0 selects a free port; the result is the address in use.
    [[nodiscard]] base::result<model::address> listen(const model::address& address);

    /// Open connections that lost bytes in one direction are closed when the loss ends, since TCP never delivers a
    /// stream with a gap.
    void set_condition(const link_condition& condition);
    /// Open connections discard all bytes from now on; new connections are not affected.
    void silence_open();

    [[nodiscard]] const std::string& name() const { return counters_.name; }
    [[nodiscard]] link_counters counters() const;

private:
    [[nodiscard]] base::result<void> reserve_port();
    [[nodiscard]] base::result<void> accept_connections();
    [[nodiscard]] base::result<void> refuse_connections();
    void accept();
    void close_all();
    void close_lossy_connections();

    model::address server_;
    model::address address_;
    link_condition condition_;
    link_counters counters_;
    delayed_calls calls_;
    /// Bound but not listening while connections are refused, so that no other process takes the port; else -1.
    int reserved_socket_ = -1;
    QTcpServer listener_;
    std::unordered_set<std::shared_ptr<proxied_connection>> connections_;
};

} // namespace lovagetack::stand_ins
