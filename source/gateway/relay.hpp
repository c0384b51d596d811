#pragma once

#include <cstddef>
#include <list>
#include <map>
#include <memory>
#include <unordered_map>
#include <utility>

#include "base/result.hpp"
#include "gateway/attempt.hpp"
#include "gateway/memory_counters.hpp"
#include "gateway/ports.hpp"
#include "gateway/server_probe.hpp"
#include "http/byte_account.hpp"
#include "http/connection_pool.hpp"
#include "http/deferred_calls.hpp"
#include "http/server.hpp"
#include "routing/catalogue.hpp"
#include "routing/effect.hpp"

namespace lovagetack::gateway {

/// Transport of the request path: turns callers' requests and backend servers' answers into events and executes the
/// effects that concern them.
class relay final : private http::server_connection::handler, private attempt::owner {
public:
    /// Calls `on_event` from the event loop. `caller_connections` limits the connections of callers, `memory` the
    /// bytes that are held for them.
    relay(const dialect_port& dialect, event_handler on_event, std::size_t caller_connections,
          const http::byte_limits& memory = {});
    relay(const relay&) = delete;
    relay& operator=(const relay&) = delete;
    ~relay() override;

    base::result<void> listen(const model::address& address) { return server_.listen(address); }
    void set_limits(const routing::caller_limits& limits);

    void execute(const routing::send_request& effect);
    void execute(const routing::cancel_attempt& effect);
    void execute(const routing::probe_server& effect);
    void execute(const routing::report_answer_progress& effect);
    /// Sends the caller the stored failure of the exchange.
    void execute(const routing::deliver_answer& effect);
    void execute(const routing::answer_caller& effect);

    /// Limits the connections of this instance to one backend server.
    void set_connection_limit(std::size_t limit) { connection_limit_ = limit; }
    /// Ends attempts to connect that take too long, and closes idle connections. Called regularly.
    void check_times();

    /// From now on, answers tell callers to use another connection.
    void begin_closing() { server_.begin_closing(); }
    void stop(std::function<void()> on_stopped) { server_.stop(std::move(on_stopped)); }
    [[nodiscard]] std::size_t open_exchanges() const { return exchanges_.size(); }
    [[nodiscard]] const http::byte_account& account() const { return account_; }
    [[nodiscard]] const memory_counters& memory() const { return memory_; }
    [[nodiscard]] std::size_t caller_connections() const { return server_.connections(); }
    [[nodiscard]] std::uint64_t opened_connections() const { return opened_connections_; }

private:
    void request_started(http::server_connection& connection) override;
    void request_body(http::server_connection& connection, std::string_view bytes) override;
    void request_body_ended(http::server_connection& connection) override;
    void answer_writable(http::server_connection& connection) override;
    void caller_left(http::server_connection& connection) override;
    void bytes_discarded(http::server_connection& connection, std::size_t bytes) override;

    void attempt_sent(const routing::attempt_sent& event) override;
    void signals_received(const routing::signals_received& event) override;
    void answer_forwarding_started(const routing::answer_forwarding_started& event) override;
    void attempt_finished(const routing::attempt_ended& event) override;

    /// Changes the charge of a request, at the cost of slow bodies if memory is full.
    bool charge(exchange& item, std::uint64_t bytes);
    /// Refuses bodies that arrive too slowly, those with the largest charge first, until `enough` returns true.
    void refuse_slow_bodies(const exchange* except, const std::function<bool()>& enough);
    /// Refuses a request of which nothing was sent to a backend server.
    void refuse(exchange& item, int status, base::result_code code);
    void relieve_memory();

    http::connection_pool& pool_of(const model::address& address);
    [[nodiscard]] exchange* find(routing::exchange_id id);
    void erase(routing::exchange_id id);

    const dialect_port& dialect_;
    event_handler on_event_;
    /// Before the exchanges, which have charges in it.
    http::byte_account account_;
    memory_counters memory_;
    /// Time of the last check. If it is long ago, this process was held up and has not read what callers sent.
    http::server_connection::clock::time_point checked_at_;
    std::unordered_map<routing::exchange_id, std::unique_ptr<exchange>> exchanges_;
    std::map<std::pair<std::string, std::uint16_t>, std::unique_ptr<http::connection_pool>> pools_;
    /// Attempts that ended. They are destroyed from the event loop, when none of their functions is running.
    std::list<std::unique_ptr<attempt>> ended_attempts_;
    /// Probes by server. One that has ended is destroyed from the event loop.
    std::map<model::backend_server_id, std::unique_ptr<server_probe>> probes_;
    routing::exchange_id last_exchange_id_ = 0;
    routing::caller_limits limits_;
    std::size_t connection_limit_ = 16;
    std::uint64_t opened_connections_ = 0;
    http::deferred_calls calls_;
    http::server server_;
};

} // namespace lovagetack::gateway
