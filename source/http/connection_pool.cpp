#include "http/connection_pool.hpp"

#include <algorithm>
#include <utility>

namespace lovagetack::http {

connection_pool::connection_pool(model::address address, std::size_t limit, std::chrono::milliseconds open_time)
    : address_(std::move(address)), limit_(limit), open_time_(open_time) {}

connection_pool::~connection_pool() {
    for (const auto& [pointer, connection] : connections_) {
        connection->abort();
    }
}

bool connection_pool::is_stale(const client_connection& connection, client_connection::clock::time_point now) {
    const auto stated = std::chrono::duration_cast<std::chrono::milliseconds>(connection.keep_alive_time());
    const auto limit = stated.count() > 0 ? std::min<std::chrono::milliseconds>(idle_time, stated - idle_margin)
                                          : std::chrono::milliseconds(idle_time);
    return now - connection.state_since() > limit;
}

void connection_pool::acquire(waiter& waiting, bool fresh, std::chrono::milliseconds oldest_idle) {
    const auto now = client_connection::clock::now();
    while (!idle_.empty() && is_stale(*idle_.front(), now)) {
        close_oldest_idle();
    }
    if (!fresh && waiters_.empty() && !idle_.empty() && now - idle_.back()->state_since() <= oldest_idle) {
        const auto connection = std::move(idle_.back());
        idle_.pop_back();
        waiting.connection_ready(connection);
        return;
    }
    waiters_.push_back({&waiting, fresh});
    open_for_waiters();
}

void connection_pool::forget(waiter& waiting) {
    std::erase_if(waiters_, [&waiting](const waiting_entry& item) { return item.waiting == &waiting; });
}

void connection_pool::release(const std::shared_ptr<client_connection>& connection) {
    if (!connection->is_idle() || connections_.size() > limit_) {
        connection->abort();
        remove(*connection);
        open_for_waiters();
        return;
    }
    if (!assign_to_waiter(connection, false)) {
        idle_.push_back(connection);
        open_for_waiters();
    }
}

bool connection_pool::assign_to_waiter(const std::shared_ptr<client_connection>& connection, bool fresh) {
    const auto found = std::find_if(waiters_.begin(), waiters_.end(),
                                    [fresh](const waiting_entry& item) { return fresh || !item.fresh; });
    if (found == waiters_.end()) {
        return false;
    }
    waiter* const waiting = found->waiting;
    waiters_.erase(found);
    waiting->connection_ready(connection);
    return true;
}

void connection_pool::opened(client_connection& connection) {
    --opening_;
    last_open_refused_ = false;
    const auto shared = connection.shared_from_this();
    if (!assign_to_waiter(shared, true)) {
        idle_.push_back(shared);
    }
}

void connection_pool::ended(client_connection& connection) {
    const auto shared = connection.shared_from_this();
    const bool was_idle = std::erase(idle_, shared) > 0;
    remove(connection);
    if (!was_idle) {
        --opening_;
        last_open_refused_ = connection.was_refused();
        fail_first_waiter();
    }
    open_for_waiters();
}

void connection_pool::remove(client_connection& connection) {
    connections_.erase(&connection);
}

void connection_pool::fail_first_waiter() {
    if (waiters_.empty()) {
        return;
    }
    waiter* const waiting = waiters_.front().waiting;
    waiters_.pop_front();
    waiting->connection_failed();
}

void connection_pool::open_for_waiters() {
    while (opening_ < waiters_.size()) {
        const bool fresh_wanted =
            std::any_of(waiters_.begin(), waiters_.end(), [](const waiting_entry& item) { return item.fresh; });
        if (connections_.size() >= limit_ && !(fresh_wanted && close_oldest_idle())) {
            return;
        }
        const auto connection = std::make_shared<client_connection>(
            address_, client_connection::owner{[this](client_connection& open) { opened(open); },
                                               [this](client_connection& closed) { ended(closed); }});
        connections_.emplace(connection.get(), connection);
        ++opening_;
    }
}

bool connection_pool::close_oldest_idle() {
    if (idle_.empty()) {
        return false;
    }
    const auto oldest = idle_.front();
    idle_.erase(idle_.begin());
    oldest->abort();
    remove(*oldest);
    return true;
}

void connection_pool::set_limit(std::size_t limit) {
    limit_ = limit;
    while (connections_.size() > limit_ && close_oldest_idle()) {
    }
    open_for_waiters();
}

void connection_pool::check_times(client_connection::clock::time_point now) {
    while (!idle_.empty() && is_stale(*idle_.front(), now)) {
        close_oldest_idle();
    }
    std::vector<std::shared_ptr<client_connection>> late;
    for (const auto& [pointer, connection] : connections_) {
        if (connection->is_opening() && now - connection->state_since() > open_time_) {
            late.push_back(connection);
        }
    }
    for (const auto& connection : late) {
        // A waiter that failed may have called this function, which has ended the other late connections then.
        if (connection->is_opening()) {
            connection->abort();
            ended(*connection);
        }
    }
}

} // namespace lovagetack::http
