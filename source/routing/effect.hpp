#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "base/result_code.hpp"
#include "model/address.hpp"
#include "model/ids.hpp"
#include "routing/accounts/messages.hpp"
#include "routing/event.hpp"

namespace lovagetack::routing {

/// Sends the request of an exchange to a backend server.
struct send_request {
    exchange_id exchange = 0;
    model::attempt_id attempt;
    model::backend_server_id server;
    model::address address;
    /// Time left until the caller's deadline.
    std::chrono::milliseconds deadline{0};
    /// The request must not run twice. It uses only a recently used connection or a new one, since it cannot be sent
    /// again if an idle connection turns out to be closed.
    bool at_most_once = false;
    /// The client account that the server is told; empty for an anonymous request. Nothing if no client accounts are
    /// configured.
    std::optional<model::client_account_id> account;
};

/// Drops an attempt and its connection; it is not reported as ended.
struct cancel_attempt {
    exchange_id exchange = 0;
    model::attempt_id attempt;
};

/// Requests an answer_progress event for an answer that has started.
struct report_answer_progress {
    exchange_id exchange = 0;
    model::attempt_id attempt;
};

/// Sends the caller the failure answer of the last attempt, which the shell holds.
struct deliver_answer {
    exchange_id exchange = 0;
};

/// Answers in place of a backend server.
struct answer_caller {
    exchange_id exchange = 0;
    int status = 503;
    base::result_code code = base::result_code::ok;
    /// 0 if none is sent.
    std::chrono::milliseconds retry_after{0};
};

struct grant_range {
    model::service_id service;
    model::backend_server_id server;
    model::address address;
    std::uint32_t first = 0;
    std::uint32_t last = 0;
    std::uint64_t fence = 0;
    std::chrono::milliseconds hold{0};
    std::string handover;
};

struct release_range {
    model::service_id service;
    model::backend_server_id server;
    model::address address;
    std::uint32_t first = 0;
    std::uint32_t last = 0;
    std::uint64_t fence = 0;
    /// Identifies the range in the answer: the first key of the stored range and its new fencing token.
    std::uint32_t range_first = 0;
    std::uint64_t range_fence = 0;
};

struct send_renewal_orders {
    model::instance_id receiver;
    renewal_orders orders;
};

struct send_renewal_report {
    model::instance_id receiver;
    renewal_report report;
};

/// Finds out whether a process listens at a backend server's address.
struct probe_server {
    model::backend_server_id server;
    model::address address;
};

struct send_strike {
    model::instance_id receiver;
    request_strike strike;
};

struct send_objection {
    model::instance_id receiver;
    quarantine_objection objection;
};

/// Writes the row of the store that quarantines the request at all instances.
struct write_quarantine {
    request_fingerprint request = 0;
    /// Host and path of the request, for people.
    std::string target;
};

/// Removes that row.
struct lift_quarantine {
    request_fingerprint request = 0;
};

/// Follows the store's tables directly, or stops doing so.
struct follow_store {
    bool follows = true;
    /// How long the store may hold a call for changes of the operators' table and of the registry.
    std::chrono::milliseconds longest_wait{0};
};

struct send_heartbeat {
    reader_heartbeat heartbeat;
    std::vector<model::instance_id> receivers;
};

struct send_table_change {
    table_change change;
    std::vector<model::instance_id> receivers;
};

struct request_table_changes {
    model::instance_id receiver;
    table_changes_wanted request;
};

/// Sends the changes after a version that the own copy remembers, or that they are not known.
struct send_known_changes {
    model::instance_id receiver;
    followed_table table = followed_table::operators;
    std::uint64_t after = 0;
};

/// Takes over changes that another instance has sent.
struct apply_table_change {
    table_change change;
};

/// Reads the changes of a table from the store once, without a wait. A call that waits for changes is given up.
struct catch_up {
    followed_table table = followed_table::operators;
};

struct send_slot_request {
    model::instance_id receiver;
    slot_request request;
};

struct send_slot_answer {
    model::instance_id receiver;
    slot_answer answer;
};

struct send_slot_release {
    model::instance_id receiver;
    slot_release release;
};

struct send_slot_report {
    model::instance_id receiver;
    slot_report report;
};

/// Sends the load of this instance to other instances.
struct send_load {
    instance_load load;
    std::vector<model::instance_id> receivers;
};

/// Sends a change of an assignment to all other instances.
struct send_change {
    assignment_changed change;
};

struct read_lease {};

struct read_assignments {};

/// Reports the current assignments as events, after a change that the keeper sent was missed. There is no event for the
/// end of the read.
struct refresh_assignments {};

/// Writes the lease and the given assignments in one transaction, if the lease still has the version.
struct write_rows {
    std::uint64_t expected_lease_version = 0;
    keeper_lease lease;
    std::vector<std::pair<model::service_id, assignment>> assignments;
};

/// A request was answered with a backend server's answer.
struct request_delivered {
    model::service_id service;
    int status = 0;
    std::int32_t attempts = 1;
    /// From the arrival of the request to the end of its answer.
    std::chrono::microseconds latency{0};
};

/// One line of the log.
struct log_line {
    bool warning = false;
    std::string name;
    std::vector<std::pair<std::string, std::string>> fields;
};

using effect =
    std::variant<send_request, cancel_attempt, report_answer_progress, deliver_answer, answer_caller, grant_range,
                 release_range, send_renewal_orders, send_renewal_report, probe_server, send_strike, send_objection,
                 write_quarantine, lift_quarantine, follow_store, send_heartbeat, send_table_change,
                 request_table_changes, send_known_changes, apply_table_change, catch_up, send_slot_request,
                 send_slot_answer, send_slot_release, send_slot_report, send_allowance_message, send_load, send_change,
                 read_lease, read_assignments, refresh_assignments, write_rows, request_delivered, log_line>;
using effects = std::vector<effect>;

} // namespace lovagetack::routing
