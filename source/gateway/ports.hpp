#pragma once

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "http/client_connection.hpp"
#include "http/server_connection.hpp"
#include "routing/effect.hpp"
#include "routing/event.hpp"

/// What the gateway needs of the platform it runs on.
namespace lovagetack::gateway {

using event_handler = std::function<void(const routing::event&)>;

/// Totals of the calls to the store since the start.
struct store_counters {
    std::uint64_t calls = 0;
    std::uint64_t failures = 0;
    std::uint64_t bytes_read = 0;
    std::uint64_t bytes_written = 0;
};

/// The store: what operators and backend servers write there, and the rows of the keepers.
class store_port {
public:
    store_port() = default;
    store_port(const store_port&) = delete;
    store_port& operator=(const store_port&) = delete;
    virtual ~store_port() = default;

    /// Begins to report what the store holds, and every change.
    virtual void start(const routing::instance_record& own_record) = 0;
    virtual void execute(const routing::read_lease& effect) = 0;
    virtual void execute(const routing::read_assignments& effect) = 0;
    virtual void execute(const routing::refresh_assignments& effect) = 0;
    virtual void execute(const routing::write_rows& effect) = 0;
    /// The keeper needs changes of the registry at once; others in a large deployment can wait for them.
    virtual void follow_closely(bool closely) = 0;
    [[nodiscard]] virtual const store_counters& counters() const = 0;
};

/// Grants of keys to backend servers.
class grant_port {
public:
    grant_port() = default;
    grant_port(const grant_port&) = delete;
    grant_port& operator=(const grant_port&) = delete;
    virtual ~grant_port() = default;

    virtual void execute(const routing::grant_range& effect) = 0;
    virtual void execute(const routing::release_range& effect) = 0;
    /// Closes connections that have been idle for long.
    virtual void check_times() = 0;
};

/// What a caller's header says.
struct caller_header {
    std::string request;
    std::string host;
    std::string path;
    std::optional<std::uint32_t> key;
    std::chrono::milliseconds deadline{0};
};

/// What the header of a backend server's answer says.
struct server_header {
    /// The id of the request that it answers; empty if it does not say.
    std::string request;
    /// The server vouches for the answer.
    bool is_signed = false;
    /// The server states that it did not run the request.
    bool not_run = false;
    /// The server that answers, where it says so.
    std::string server;
    /// The body differs from what the server's service made.
    bool encoded = false;
    std::optional<routing::load_told> load;
};

/// Header fields of requests and answers.
class dialect_port {
public:
    dialect_port() = default;
    dialect_port(const dialect_port&) = delete;
    dialect_port& operator=(const dialect_port&) = delete;
    virtual ~dialect_port() = default;

    [[nodiscard]] virtual caller_header read(const http::server_connection::request& request) const = 0;
    [[nodiscard]] virtual server_header read(const http::client_connection::answer& answer) const = 0;
    /// Request line and fields for a backend server, without those of append_attempt_fields.
    [[nodiscard]] virtual std::string request_head(const http::server_connection& caller) const = 0;
    virtual void append_attempt_fields(std::string& head, const routing::send_request& attempt) const = 0;
    /// Field lines of a backend server's answer that go to the caller.
    [[nodiscard]] virtual std::string answer_fields(const http::client_connection::answer& answer) const = 0;
    /// Field lines of an answer that this instance makes itself.
    [[nodiscard]] virtual std::string own_fields(const std::string& request,
                                                 std::chrono::milliseconds retry_after) const = 0;
    [[nodiscard]] virtual bool asks_readiness(const http::server_connection::request& request) const = 0;
};

} // namespace lovagetack::gateway
