#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "accounts/credential.hpp"
#include "base/boot_time.hpp"
#include "base/result_code.hpp"
#include "model/ids.hpp"
#include "routing/accounts/messages.hpp"
#include "routing/assignment.hpp"
#include "routing/catalogue.hpp"
#include "routing/table_change.hpp"

namespace lovagetack::routing {

/// Number of one open request of a caller, unique within the instance.
using exchange_id = std::uint64_t;

/// Hash of what makes two requests the same to a backend server: method, host, path, key and body. 0 if it is not
/// known.
using request_fingerprint = std::uint64_t;

// Events from the store.

/// The store stopped answering, or answers again.
struct store_reachability_changed {
    bool reachable = true;
};

/// The store's era, as its answers or other instances show it. A higher one than before means that the store has come
/// back from a copy and has lost what was written after the copy.
struct store_era_seen {
    std::uint64_t era = 0;
};

struct configuration_updated {
    routing::configuration configuration;
};

/// A configuration that cannot be read; the one before stays in force.
struct configuration_rejected {
    std::string reason;
};

/// Evacuated data centres, whose backend servers get no new work.
struct evacuations_updated {
    std::set<model::data_centre_id> data_centres;
};

struct backend_server_updated {
    routing::backend_server server;
};

struct backend_server_removed {
    model::backend_server_id id;
};

/// The registry has been read whole.
struct registry_complete {};

/// `version` is the store's version of the row.
struct assignment_learned {
    model::service_id service;
    std::uint64_t version = 0;
    routing::assignment assignment;
};

/// A change of an assignment from one version of its row to the next, sent by the keeper after the store has confirmed
/// it. It saves a read of the whole row.
struct assignment_changed {
    model::service_id service;
    std::uint64_t base_version = 0;
    std::uint64_t version = 0;
    std::uint64_t next_fence = 1;
    model::instance_id keeper;
    /// The new ranges; all parts together cover the ranges that they replace.
    std::vector<key_range> ranges;
    /// A long change is sent in parts.
    std::uint32_t part = 0;
    std::uint32_t parts = 1;
};

/// The table of assignments has been read whole.
struct assignments_complete {};

struct instance_updated {
    model::instance_id instance;
    instance_record record;
};

struct instance_removed {
    model::instance_id instance;
};

/// Answer to read_lease. Without a row, the number of `version` is 0. The era is that of the store.
struct lease_read {
    bool answered = false;
    std::uint64_t version = 0;
    /// The store has come back from a copy at least once, so that the lease of a former era may have been lost.
    bool store_was_restored = false;
    std::optional<keeper_lease> lease;
    /// The store's clock in milliseconds when it answered.
    std::int64_t store_time = 0;
    base::boot_time asked_at;
};

enum class write_outcome : std::uint8_t {
    written,
    /// A row did not have the expected version.
    conflict,
    /// Refused for lack of capacity or because the store is down: nothing was done.
    refused,
    /// No answer: the write may have been done, or may be done later.
    unknown,
};

/// Answer to write_rows.
struct rows_written {
    write_outcome outcome = write_outcome::unknown;
    /// Version of the written rows.
    std::uint64_t version = 0;
    std::int64_t store_time = 0;
    base::boot_time asked_at;
};

/// Answer to read_assignments: all assignment_learned events came before.
struct assignments_read {
    bool answered = false;
};

/// A row of the store quarantines the request.
struct quarantine_learned {
    request_fingerprint request = 0;
};

struct quarantine_removed {
    request_fingerprint request = 0;
};

// Answers of backend servers to grants and releases.

enum class grant_outcome : std::uint8_t {
    accepted,
    /// The server has seen a higher fencing token.
    superseded,
    /// Another server, or none, has the address.
    refused,
    /// No answer; the grant may have arrived.
    unanswered,
};

struct grant_ended {
    model::service_id service;
    model::backend_server_id server;
    std::uint32_t first = 0;
    std::uint32_t last = 0;
    std::uint64_t fence = 0;
    grant_outcome outcome = grant_outcome::unanswered;
    base::boot_time sent_at;
};

struct release_ended {
    model::service_id service;
    std::uint32_t first = 0;
    std::uint64_t fence = 0;
    bool released = false;
    /// State of the keys that the old owner passes to the new one; may be empty.
    std::string handover;
};

// Renewals that a keeper leaves to other instances, the renewers.

/// A grant that a renewer is to renew.
struct renewal_order {
    model::service_id service;
    model::backend_server_id server;
    std::uint64_t server_born = 0;
    std::uint32_t first = 0;
    std::uint32_t last = 0;
    std::uint64_t fence = 0;

    auto operator<=>(const renewal_order&) const = default;
};

/// All orders of a keeper to one renewer; they replace the ones before. Sent again regularly, as datagrams get lost.
struct renewal_orders {
    model::instance_id keeper;
    /// Version of the lease's row when the keeper took it over. The orders of a higher term win.
    std::uint64_t term = 0;
    /// Grows with each change of the orders in a term.
    std::uint64_t sequence = 0;
    /// The run of the renewer that the report below came from; another run must not act on its time.
    std::uint64_t renewer_incarnation = 0;
    /// The renewer's clock in its last report that the keeper has received. The renewer may send renewals until
    /// `valid_for` after this time, however long the orders were on their way.
    base::boot_time reported_at;
    std::chrono::milliseconds valid_for{0};
    std::vector<renewal_order> orders;
};

/// What a renewer has done for one order, or for one that it has dropped and that its server may still carry out. Times
/// are ages at the time of the report.
struct renewal_status {
    renewal_order order;
    bool under_way = false;
    /// The server has seen a higher fencing token.
    bool superseded = false;
    std::int32_t failures_in_row = 0;
    /// End of the last call that may have reached the server, or its start while it is under way; when a renewal was
    /// last sent that was accepted; and the end of the last call without an answer.
    std::optional<std::chrono::milliseconds> sent;
    std::optional<std::chrono::milliseconds> accepted;
    std::optional<std::chrono::milliseconds> unanswered;
};

/// Tells a keeper which orders a renewer follows and what came of them.
struct renewal_report {
    model::instance_id renewer;
    std::uint64_t incarnation = 0;
    std::uint64_t term = 0;
    /// Of the newest orders that the renewer follows.
    std::uint64_t sequence = 0;
    /// The renewer's clock.
    base::boot_time reported_at;
    std::vector<renewal_status> renewals;
};

// Requests of callers.

/// The header of a request with a body has been received.
struct request_announced {
    exchange_id exchange = 0;
    std::string host;
    std::string path;
    /// The key that the request shows; nothing without a key or with a field that cannot be one.
    std::optional<accounts::credential> credential;
};

/// The whole request has been received.
struct request_arrived {
    exchange_id exchange = 0;
    std::string request;
    std::string host;
    std::string path;
    std::optional<std::uint32_t> key;
    /// How long the caller waits, counted from `arrived`; 0 if it states no limit.
    std::chrono::milliseconds deadline{0};
    base::boot_time arrived;
    request_fingerprint fingerprint = 0;
    /// As in request_announced.
    std::optional<accounts::credential> credential;
};

struct caller_left {
    exchange_id exchange = 0;
    /// Why the connection ended; for the log.
    std::string cause;
};

/// This instance closed a caller's connection without an answer to what was received on it.
struct connection_dropped {
    /// Empty if no request was read.
    std::string request;
    /// For the log.
    std::string cause;
};

// Load reports of other instances and of backend servers.

/// Load that a backend server reported with an answer.
struct reported_load {
    std::int32_t running = 0;
    std::int32_t waiting = 0;
    std::int32_t slots = 0;
    /// Current duration of work in percent of the usual one; 100 if not reported.
    std::int32_t slowness = 100;
};

/// Requests that one instance has in progress at a backend server.
struct peer_server_load {
    model::backend_server_id server;
    std::int32_t outstanding = 0;
    std::int32_t queued = 0;
    /// Load that the server reported since the instance's last message, and the age of the report.
    std::optional<reported_load> load;
    std::chrono::milliseconds load_age{0};
    /// Answers since the last message that showed the duration of work there, and the mean of these durations.
    std::int32_t observations = 0;
    std::chrono::microseconds observed{0};
    /// The run of the server, by its start, that has told the sender that it leaves, and the age of its word; 0 if none
    /// has.
    std::uint64_t leaving_born = 0;
    std::chrono::milliseconds leaving_age{0};
};

/// Keys of one service that were requested at an instance since its last message.
struct requested_keys {
    model::service_id service;
    std::vector<std::uint32_t> keys;
};

/// Load of one instance. It has no requests in progress at servers that are not listed.
struct instance_load {
    model::instance_id instance;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    /// It is the keeper, by a lease that has not expired.
    bool is_keeper = false;
    /// It renews grants, which it may do for some time after its lease has expired.
    bool renews = false;
    /// How long the sender has reached the store without a break; 0 while it does not.
    std::chrono::milliseconds store_contact{0};
    std::vector<peer_server_load> servers;
    std::vector<requested_keys> keys;
};

/// What a backend server states of itself in the head of an answer.
struct server_signals {
    /// This run of the server is ending and is to get no more requests.
    bool leaving = false;
    /// It wants no requests from this instance for this long; 0 if it states nothing. At most longest_stated_pause.
    std::chrono::milliseconds pause{0};
    /// Fields that were ignored or bounded, and why; empty if there are none. For the log.
    std::string faults;

    [[nodiscard]] bool empty() const { return !leaving && pause.count() == 0 && faults.empty(); }
};

// Outcomes of attempts.

enum class attempt_outcome : std::uint8_t {
    /// The whole answer went to the caller.
    delivered,
    /// The answer is a failure that the server signed; the shell holds it for deliver_answer.
    failed,
    /// The server reports that it did not run the request.
    not_run,
    /// Another server has the address.
    wrong_server,
    /// The server does not hold the key.
    no_key,
    /// No connection was made and nothing was sent.
    not_connected,
    /// The connection ended before a whole answer, and nothing of it went to the caller.
    connection_lost,
    /// The answer is not the server's whole, signed answer.
    invalid_answer,
    /// The answer ended early after a part had gone to the caller, whose connection is closed.
    cut_short,
};

// Requests that end backend servers.

/// A run of a backend server has ended while the request was under work there.
struct request_strike {
    request_fingerprint request = 0;
    /// Host and path, for people; cut off at longest_target.
    std::string target;
    model::backend_server_id server;
    std::uint64_t server_born = 0;
};

/// The request has ended well at the sender.
struct quarantine_objection {
    request_fingerprint request = 0;
    std::chrono::milliseconds age{0};
};

enum class probe_outcome : std::uint8_t {
    connected,
    /// No process listens at the address.
    refused,
    unanswered,
};

/// Answer to probe_server.
struct server_probed {
    model::backend_server_id server;
    probe_outcome outcome = probe_outcome::unanswered;
};

// Slots of backend servers, which one instance, the dispatcher of a group of servers, gives out for all.

/// Asks a dispatcher for a slot at any server of a group, or at one of them. Sent again until it is answered.
struct slot_request {
    model::instance_id sender;
    std::uint64_t incarnation = 0;
    /// Unique within the run of the sender.
    std::uint64_t ask = 0;
    model::service_id service;
    model::data_centre_id data_centre;
    std::uint32_t group = 0;
    /// The only server that can run the request, if it is for a key; empty otherwise.
    model::backend_server_id server;
    std::int32_t priority = 0;
    /// Time since the caller's request arrived.
    std::chrono::milliseconds age{0};
    /// Longest time in the queue after which the answer still comes in time.
    std::chrono::milliseconds patience{0};
    /// Servers that have been tried.
    std::vector<model::backend_server_id> excluded;
};

enum class slot_outcome : std::uint8_t { granted, queued, refused };

struct slot_answer {
    model::instance_id dispatcher;
    std::uint64_t ask = 0;
    slot_outcome outcome = slot_outcome::refused;
    model::backend_server_id server;
    /// Expected time until a slot is free, if refused.
    std::chrono::milliseconds wait{0};
};

/// What an attempt showed of its server.
struct attempt_summary {
    attempt_outcome outcome = attempt_outcome::connection_lost;
    int status = 0;
    std::chrono::milliseconds elapsed{0};
    std::optional<reported_load> load;
    /// What the run of the server that started at `server_born` stated in the answer.
    server_signals signals;
    std::uint64_t server_born = 0;
};

/// Gives a slot back, or takes a request out of the queue.
struct slot_release {
    model::instance_id sender;
    std::uint64_t incarnation = 0;
    std::uint64_t ask = 0;
    model::backend_server_id server;
    std::optional<attempt_summary> attempt;
};

/// A slot that an instance has, and its request for it.
struct slot_in_use {
    std::uint64_t ask = 0;
    model::backend_server_id server;
};

/// All slots that the sender has from a dispatcher, so that lost messages and lost instances leave none in use.
struct slot_report {
    model::instance_id sender;
    std::uint64_t incarnation = 0;
    std::vector<slot_in_use> slots;
};

// Tables of the store that few instances, the readers, follow for all.

/// A table has been read or changed. The events for its rows came before.
struct table_updated {
    /// The news; no rows if only the version is told.
    table_change news;
    /// Version of the own copy.
    std::uint64_t version = 0;
    /// The news came from the store, not from another instance.
    bool from_store = false;
};

/// A message of a reader, or of the keeper, which also follows the store.
struct reader_heartbeat {
    model::instance_id instance;
    model::data_centre_id data_centre;
    /// It passes changes on. False for a keeper that only tells that it is alive.
    bool reads = false;
    /// How long it has reached the store without a break; 0 while it does not.
    std::chrono::milliseconds store_contact{0};
    /// Age of the last sign of life of a keeper; nothing if there was none.
    std::optional<std::chrono::milliseconds> keeper_age;
    /// Versions of its copies, by followed_table, and how long ago each copy was known to be current.
    std::array<std::uint64_t, followed_table_count> tables{};
    std::array<std::chrono::milliseconds, followed_table_count> table_ages{};
    /// Versions of the assignments that it knows.
    std::map<model::service_id, std::uint64_t> assignments;
};

/// Changes that another instance passes on.
struct table_change_received {
    model::instance_id sender;
    table_change change;
};

/// Asks for the changes of a table after a version.
struct table_changes_wanted {
    model::instance_id sender;
    followed_table table = followed_table::operators;
    std::uint64_t after = 0;
};

/// The asked instance no longer knows all changes after the version.
struct table_changes_unknown {
    followed_table table = followed_table::operators;
};

// Progress and ends of attempts.

/// The request's first byte was written to a connection.
struct attempt_sent {
    exchange_id exchange = 0;
    model::attempt_id attempt;
};

/// The head of the server's answer has arrived and states something of the server. A long answer goes to the caller
/// from its head on, so this does not wait for the end of the attempt.
struct signals_received {
    exchange_id exchange = 0;
    model::attempt_id attempt;
    server_signals signals;
};

/// A part of the server's answer has gone to the caller, so that no other answer can.
struct answer_forwarding_started {
    exchange_id exchange = 0;
    model::attempt_id attempt;
};

/// Answer to report_answer_progress.
struct answer_progress {
    exchange_id exchange = 0;
    model::attempt_id attempt;
    /// Bytes of the body that have arrived.
    std::uint64_t bytes = 0;
    /// No more of the answer is read until the caller has taken some of it.
    bool awaits_caller = false;
};

struct attempt_ended {
    exchange_id exchange = 0;
    model::attempt_id attempt;
    attempt_outcome outcome = attempt_outcome::connection_lost;
    int status = 0;
    /// The answer came without delay on a connection that had carried requests before.
    bool reused_connection = false;
    std::optional<reported_load> load;
};

/// A refusal was about to promise that a request has not run although bytes of it had been written to a server. The
/// caller was told that the outcome is unknown.
struct promise_withheld {
    std::string request;
    base::result_code code = base::result_code::ok;
};

/// A message to another instance could not be sent.
struct message_not_sent {
    /// For the log.
    std::string receiver;
    std::string cause;
};

/// A datagram that is no message of an instance was received.
struct message_rejected {
    /// For the log.
    std::string cause;
};

struct ticked {};

/// Shutdown of the instance begins: it is no longer ready, and gives up the keeper's lease.
struct shutdown_begun {
    /// Time until open requests are broken off.
    std::chrono::milliseconds time_left = std::chrono::hours(1);
};

/// The rest of the grace period of a shutdown is too short for work at a backend server that has not begun.
struct shutdown_nears_end {};

/// The process is about to end: what has not been answered by now can only be answered by this instance.
struct shutdown_ends {};

using event = std::variant<
    store_reachability_changed, store_era_seen, configuration_updated, configuration_rejected, evacuations_updated,
    backend_server_updated, backend_server_removed, registry_complete, assignment_learned, assignment_changed,
    assignments_complete, instance_updated, instance_removed, quarantine_learned, quarantine_removed, request_strike,
    quarantine_objection, server_probed, lease_read, rows_written, assignments_read, grant_ended, release_ended,
    renewal_orders, renewal_report, table_updated, slot_request, slot_answer, slot_release, slot_report,
    reader_heartbeat, table_change_received, table_changes_wanted, table_changes_unknown, instance_load,
    request_announced, request_arrived, caller_left, connection_dropped, attempt_sent, signals_received,
    answer_forwarding_started, answer_progress, attempt_ended, promise_withheld, message_not_sent, message_rejected,
    allowance_message_received, ticked, shutdown_begun, shutdown_nears_end, shutdown_ends>;

} // namespace lovagetack::routing
