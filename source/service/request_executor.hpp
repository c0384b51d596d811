#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include <QObject>
#include <QTimer>

#include "base/result.hpp"
#include "http/connection_pool.hpp"
#include "http/deferred_calls.hpp"
#include "http/server.hpp"
#include "model/address.hpp"
#include "model/deployment.hpp"
#include "requests/effect.hpp"
#include "requests/event.hpp"
#include "service/attempt.hpp"
#include "service/exchange.hpp"
#include "service/side_request.hpp"

namespace lovagetack::service {

/// The transport of the request path: turns requests from callers into events and carries out the effects of the
/// requests module.
///
/// Events are delivered from the event loop, never from within execute(), so that a handler may call execute().
/// A cancelled attempt is not reported as ended.
class request_executor final : private http::server_connection::handler, private attempt::owner {
public:
    struct settings {
        model::instance_id instance;
        http::server_limits limits;
        /// Connections to a backend server for which no limit_connections was given yet.
        std::size_t backend_server_connections = 16;
        /// Connections to the caller port of one other instance.
        std::size_t relay_connections = 256;
    };

    struct hooks {
        std::function<void(requests::event)> on_event;
        /// Random 64-bit numbers, for request ids.
        std::function<std::uint64_t()> random;
        /// Outstanding and queued requests of a backend server whose home is this instance; may be empty.
        std::function<std::int32_t(const model::backend_server_id&)> queue_length_of;
    };

    request_executor(settings values, hooks functions);
    request_executor(const request_executor&) = delete;
    request_executor& operator=(const request_executor&) = delete;
    ~request_executor() override;

    /// Fails with address_in_use. Port 0 selects a free port.
    base::result<void> listen(const model::address& address) { return server_.listen(address); }
    [[nodiscard]] std::uint16_t port() const { return server_.port(); }

    /// Sets which services are divided by key and their maximum body sizes; to be called for each new deployment.
    void set_deployment(const model::deployment& deployment);
    /// Carries out one effect. Effects that are not about transport are ignored.
    void execute(const requests::effect& effect);

    /// Delivers the reported events now instead of from the event loop.
    void flush_events();

    /// Stops listening, waits until everything in flight has ended, then calls the function from the event loop.
    void stop(std::function<void()> stopped) { server_.stop(std::move(stopped)); }

    [[nodiscard]] std::size_t open_exchanges() const { return exchanges_.size(); }
    [[nodiscard]] std::size_t caller_connections() const { return server_.connections(); }

private:
    void request_started(http::server_connection& connection) override;
    void request_body(http::server_connection& connection, std::string_view bytes) override;
    void request_body_ended(http::server_connection& connection) override;
    void answer_writable(http::server_connection& connection) override;
    void caller_left(http::server_connection& connection) override;

    void report(requests::event event) override;
    void attempt_over(exchange& exchange, const requests::attempt_ended& event) override;
    [[nodiscard]] const model::instance_id& instance() const override { return settings_.instance; }
    [[nodiscard]] std::string queue_field(const exchange& exchange) const override;

    void carry_out(const requests::start_attempt& effect);
    void carry_out(const requests::cancel_attempt& effect);
    void carry_out(const requests::answer_caller& effect);
    void carry_out(const requests::limit_connections& effect);
    void carry_out(const requests::probe_connection& effect);

    void buffer_or_send_body(exchange& exchange, http::server_connection& connection, std::string_view bytes);
    void send_side_request(const model::address& address, std::string text, bool fresh,
                           std::function<void(bool answered)> done);
    void check_times();
    void post(std::function<void()> function);
    exchange* find(requests::exchange_id id);
    exchange* find(const http::server_connection& connection);
    http::connection_pool& pool_of(const model::address& address, std::size_t limit);
    model::request_id new_request_id();

    settings settings_;
    hooks hooks_;
    std::uint64_t run_id_ = 0;
    std::uint64_t last_exchange_ = 0;
    std::uint64_t last_request_ = 0;
    std::unordered_map<model::service_id, model::service> services_;
    std::map<std::pair<std::string, std::uint16_t>, std::unique_ptr<http::connection_pool>> pools_;
    std::unordered_map<std::uint64_t, std::unique_ptr<exchange>> exchanges_;
    std::unordered_map<side_request*, std::unique_ptr<side_request>> side_requests_;
    std::vector<requests::event> events_;
    std::vector<requests::event> delivering_;
    bool delivery_posted_ = false;
    http::server server_;
    QTimer timer_;
    http::deferred_calls context_;
};

} // namespace lovagetack::service
