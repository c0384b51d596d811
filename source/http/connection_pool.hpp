#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <unordered_map>
#include <vector>

#include <QObject>

#include "http/client_connection.hpp"
#include "model/address.hpp"

namespace lovagetack::http {

/// Keep-alive connections to one address. The limit on their number includes connections that are being opened.
class connection_pool {
public:
    /// Waits for a connection; waiters are served in the order of their acquire calls.
    class waiter {
    public:
        waiter() = default;
        waiter(const waiter&) = delete;
        waiter& operator=(const waiter&) = delete;
        virtual ~waiter() = default;

        /// May be called from within acquire.
        virtual void connection_ready(const std::shared_ptr<client_connection>& connection) = 0;
        /// A connection could not be opened; never called from within acquire.
        virtual void connection_failed() = 0;
    };

    connection_pool(model::address address, std::size_t limit, std::chrono::milliseconds open_time = default_open_time);
    connection_pool(const connection_pool&) = delete;
    connection_pool& operator=(const connection_pool&) = delete;
    ~connection_pool();

    /// A fresh connection has not carried a request yet. At the limit, an idle connection is closed to open a fresh
    /// one.
    void acquire(waiter& waiting, bool fresh) { acquire(waiting, fresh, idle_time); }
    /// An idle connection is reused only if it has been idle for at most `oldest_idle`.
    void acquire(waiter& waiting, bool fresh, std::chrono::milliseconds oldest_idle);
    /// Removes the waiter; does nothing if it is not waiting.
    void forget(waiter& waiting);
    /// Returns a connection after use, whatever its state.
    void release(const std::shared_ptr<client_connection>& connection);

    /// Connections in use above a lowered limit stay open until their request ends.
    void set_limit(std::size_t limit);
    [[nodiscard]] std::size_t limit() const { return limit_; }
    [[nodiscard]] std::size_t connections() const { return connections_.size(); }
    [[nodiscard]] std::size_t waiting() const { return waiters_.size(); }
    /// No process listens at the address: the last connection was refused, and no other one is open.
    [[nodiscard]] bool refuses_connections() const { return last_open_refused_ && connections_.size() <= opening_; }

    /// Closes connections that did not open within the open time and those that have been idle for too long.
    void check_times(client_connection::clock::time_point now);

    static constexpr auto default_open_time = std::chrono::milliseconds(1000);
    /// Subtracted from the idle time that a server states, because a request has to arrive before the server closes the
    /// connection.
    static constexpr auto idle_margin = std::chrono::milliseconds(1500);
    /// Below the usual idle timeouts of servers, so that few requests are sent on a connection that the server is
    /// closing.
    static constexpr auto idle_time = std::chrono::seconds(20);

private:
    struct waiting_entry {
        waiter* waiting = nullptr;
        bool fresh = false;
    };

    [[nodiscard]] static bool is_stale(const client_connection& connection, client_connection::clock::time_point now);
    void opened(client_connection& connection);
    void ended(client_connection& connection);
    void remove(client_connection& connection);
    void open_for_waiters();
    bool close_oldest_idle();
    void fail_first_waiter();
    bool assign_to_waiter(const std::shared_ptr<client_connection>& connection, bool fresh);

    model::address address_;
    std::size_t limit_;
    std::chrono::milliseconds open_time_;
    std::size_t opening_ = 0;
    bool last_open_refused_ = false;
    std::unordered_map<client_connection*, std::shared_ptr<client_connection>> connections_;
    /// Ordered by last use. The most recently used connection is reused first, so that surplus ones reach the idle time
    /// and are closed.
    std::vector<std::shared_ptr<client_connection>> idle_;
    std::deque<waiting_entry> waiters_;
};

} // namespace lovagetack::http
