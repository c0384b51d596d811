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

/// The connections to one address, kept alive between requests, with a limit that includes those being opened.
class connection_pool {
public:
    /// Waits for a connection; served in the order of acquire.
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

    /// A fresh connection has carried no request yet; for it an idle one is closed when the limit is reached.
    void acquire(waiter& waiting, bool fresh) { acquire(waiting, fresh, idle_time); }
    /// An idle connection is taken if it was used within `oldest_idle`.
    void acquire(waiter& waiting, bool fresh, std::chrono::milliseconds oldest_idle);
    /// Gives up waiting; does nothing if the waiter does not wait.
    void forget(waiter& waiting);
    /// Returns a connection after use, in whatever state.
    void release(const std::shared_ptr<client_connection>& connection);

    /// Connections in use above a lowered limit stay open until their request ends.
    void set_limit(std::size_t limit);
    [[nodiscard]] std::size_t limit() const { return limit_; }
    [[nodiscard]] std::size_t connections() const { return connections_.size(); }
    [[nodiscard]] std::size_t waiting() const { return waiters_.size(); }

    /// Gives up connections that do not open in time and closes those that are idle for long.
    void check_times(client_connection::clock::time_point now);

    static constexpr auto default_open_time = std::chrono::milliseconds(1000);
    /// Kept from the time that a server states for idle connections: the request has to arrive before it closes.
    static constexpr auto idle_margin = std::chrono::milliseconds(1500);
    /// Below the usual idle times of servers, so that few requests meet a connection that is about to be closed.
    static constexpr auto idle_time = std::chrono::seconds(20);

private:
    struct entry {
        waiter* waiting = nullptr;
        bool fresh = false;
    };

    [[nodiscard]] static bool is_stale(const client_connection& connection, client_connection::clock::time_point now);
    void opened(client_connection& connection);
    void ended(client_connection& connection);
    void remove(client_connection& connection);
    void open_needed();
    bool close_one_idle();
    void fail_first();
    bool hand_over(const std::shared_ptr<client_connection>& connection, bool fresh);

    model::address address_;
    std::size_t limit_;
    std::chrono::milliseconds open_time_;
    std::size_t opening_ = 0;
    std::unordered_map<client_connection*, std::shared_ptr<client_connection>> connections_;
    /// The last one was used most recently and is taken first, so that surplus ones grow old and close.
    std::vector<std::shared_ptr<client_connection>> idle_;
    std::deque<entry> waiters_;
};

} // namespace lovagetack::http
