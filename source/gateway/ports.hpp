#pragma once

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "accounts/credential.hpp"
#include "http/client_connection.hpp"
#include "http/server_connection.hpp"
#include "routing/effect.hpp"
#include "routing/event.hpp"

/// Interfaces that a platform implements for the gateway.
namespace lovagetack::gateway {

using event_handler = std::function<void(const routing::event&)>;

/// Totals of the calls to the store since the process started.
struct store_counters {
    std::uint64_t calls = 0;
    std::uint64_t failures = 0;
    std::uint64_t bytes_read = 0;
    std::uint64_t bytes_written = 0;
};

/// Access to the store, which holds what operators and backend servers write, and the rows that keepers write.
class store_port {
public:
    store_port() = default;
    store_port(const store_port&) = delete;
    store_port& operator=(const store_port&) = delete;
    virtual ~store_port() = default;

    /// Writes this instance's record to the store, and starts to report the store's content and each change as events.
    virtual void start(const routing::instance_record& own_record) = 0;
    virtual void execute(const routing::read_lease& effect) = 0;
    virtual void execute(const routing::read_assignments& effect) = 0;
    virtual void execute(const routing::refresh_assignments& effect) = 0;
    virtual void execute(const routing::write_rows& effect) = 0;
    virtual void execute(const routing::write_quarantine& effect) = 0;
    virtual void execute(const routing::lift_quarantine& effect) = 0;
    virtual void execute(const routing::follow_store& effect) = 0;
    virtual void execute(const routing::apply_table_change& effect) = 0;
    virtual void execute(const routing::catch_up& effect) = 0;
    /// The changes of the own copy of a table after a version; nothing if they are no longer known.
    [[nodiscard]] virtual std::optional<std::vector<routing::table_change>> changes_after(routing::followed_table table,
                                                                                          std::uint64_t version) = 0;
    [[nodiscard]] virtual const store_counters& counters() const = 0;
};

/// Grants key ranges to backend servers and releases them.
class grant_port {
public:
    grant_port() = default;
    grant_port(const grant_port&) = delete;
    grant_port& operator=(const grant_port&) = delete;
    virtual ~grant_port() = default;

    virtual void execute(const routing::grant_range& effect) = 0;
    virtual void execute(const routing::release_range& effect) = 0;
    /// Closes connections that have been idle too long. Called regularly.
    virtual void check_times() = 0;
};

/// Fields of the header of a caller's request.
struct caller_header {
    std::string request;
    std::string host;
    std::string path;
    std::optional<std::uint32_t> key;
    std::chrono::milliseconds deadline{0};
    /// The key of a client account that the request shows; nothing without one or with a field that cannot be one.
    std::optional<accounts::credential> credential;
};

/// Fields of the header of a backend server's answer.
struct server_header {
    /// Id of the request that is answered; empty if the header does not name it.
    std::string request;
    /// The answer carries the server's signature.
    bool is_signed = false;
    /// The server states that it did not run the request.
    bool not_run = false;
    /// Id of the server that answers; empty if the header does not name it.
    std::string server;
    /// The answer has a content encoding, so its body differs from what the server's service produced.
    bool encoded = false;
    std::optional<routing::reported_load> load;
    routing::server_signals signals;
};

/// Reads and writes the header fields of requests and answers under the platform's names.
class dialect_port {
public:
    dialect_port() = default;
    dialect_port(const dialect_port&) = delete;
    dialect_port& operator=(const dialect_port&) = delete;
    virtual ~dialect_port() = default;

    [[nodiscard]] virtual caller_header read(const http::server_connection::request& request) const = 0;
    [[nodiscard]] virtual server_header read(const http::client_connection::answer& answer) const = 0;
    /// Request line and fields for a backend server, without those of account_fields and append_attempt_fields.
    [[nodiscard]] virtual std::string request_head(const http::server_connection& caller) const = 0;
    /// Field lines in which the caller shows a key or names a client account. They are passed on only where no client
    /// accounts are configured.
    [[nodiscard]] virtual std::string account_fields(const http::server_connection& caller) const = 0;
    /// Appends the fields that differ between attempts.
    virtual void append_attempt_fields(std::string& head, const routing::send_request& attempt) const = 0;
    /// Field lines of a backend server's answer that are passed on to the caller.
    [[nodiscard]] virtual std::string answer_fields(const http::client_connection::answer& answer) const = 0;
    /// Field lines of an answer that this instance creates instead of a backend server.
    [[nodiscard]] virtual std::string local_answer_fields(const std::string& request, int status,
                                                          std::chrono::milliseconds retry_after) const = 0;
    [[nodiscard]] virtual bool is_readiness_request(const http::server_connection::request& request) const = 0;
};

} // namespace lovagetack::gateway
