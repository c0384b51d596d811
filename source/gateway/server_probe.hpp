#pragma once

#include <functional>
#include <memory>

#include "http/connection_pool.hpp"
#include "routing/event.hpp"

namespace lovagetack::gateway {

/// Opens a connection to a backend server to find out whether a process listens there. The connection stays in the pool
/// for requests.
class server_probe final : private http::connection_pool::waiter {
public:
    using done_function = std::function<void(routing::probe_outcome)>;

    /// `done` is called at most once. The pool must outlive the probe.
    server_probe(http::connection_pool& pool, done_function done);
    server_probe(const server_probe&) = delete;
    server_probe& operator=(const server_probe&) = delete;
    ~server_probe() override;

    void begin();

private:
    void connection_ready(const std::shared_ptr<http::client_connection>& connection) override;
    void connection_failed() override;

    http::connection_pool& pool_;
    done_function done_;
};

} // namespace lovagetack::gateway
