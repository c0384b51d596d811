#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "base/boot_time.hpp"
#include "capacity/backoff.hpp"
#include "capacity/estimate.hpp"
#include "model/ids.hpp"
#include "routing/accounts/allowance_state.hpp"
#include "routing/assignment.hpp"
#include "routing/catalogue.hpp"
#include "routing/effect.hpp"
#include "routing/event.hpp"
#include "routing/limits.hpp"

namespace lovagetack::routing {

/// Who this instance is.
struct identity {
    model::instance_id instance;
    model::data_centre_id data_centre;
    std::uint64_t incarnation = 0;
    /// Processor time that it may use, in thousandths of a core; 0 if not known.
    std::uint32_t processor = 0;
    /// Number of the deployment's data centres; 0 if not known.
    std::uint32_t data_centres = 0;
};

/// Observed durations of work that have not been sent to other instances yet.
struct observed_times {
    std::int32_t count = 0;
    std::chrono::microseconds sum{0};
};

/// What a backend server has stated of its present run in its answers.
struct server_statements {
    /// When it was first and last heard to say that it leaves.
    std::optional<base::boot_time> leaving_since;
    base::boot_time leaving_heard_at;
    /// This instance had the word from the server itself, not from another instance.
    bool leaving_heard_here = false;
    /// It wants no requests from this instance until this time.
    base::boot_time paused_until;
    /// Most requests from this instance in progress after the pause, and those that are; 0 for no limit.
    std::int32_t most_after_pause = 0;
    std::int32_t sent_after_pause = 0;
};

/// What this instance knows of one backend server.
struct server_record {
    backend_server registration;
    /// False once the registry has dropped it; kept while requests are under way.
    bool registered = true;
    base::boot_time registered_at;
    /// When it began to leave, or its data centre's evacuation began.
    std::optional<base::boot_time> leaving_since;
    std::optional<base::boot_time> evacuated_since;
    base::boot_time cold_until;
    server_statements stated;

    /// Requests in progress at the server: those of this instance, and those that the other instances report.
    std::int32_t outstanding = 0;
    std::int32_t peers_outstanding = 0;
    std::int32_t peers_queued = 0;
    /// Requests beyond its slots that all instances together may have in progress at the server.
    double spare_window = first_spare_window;
    base::boot_time paused_until;
    std::int32_t failures_in_row = 0;

    /// What the server takes well, by its answers here and those that other instances report.
    capacity::estimate capacity;
    /// Rejections and failures that a lack of room at the server does not explain.
    capacity::backoff backoff;
    /// Share of the last requests that failed.
    double failing = 0;
    reported_load load;
    base::boot_time load_at;
    /// The server has reported its load to this instance since the last message to the other instances.
    bool load_unsent = false;
    /// Durations observed since the last message to the other instances of the data centre, and since the last one to a
    /// keeper in another data centre.
    observed_times times_for_peers;
    observed_times times_for_keeper;
    /// Successful answers since the record was reset for a new run of the server.
    std::uint64_t answers = 0;

    /// Requests that a cold server may get from this instance now.
    double cold_tokens = 1;
    base::boot_time cold_tokens_at;

    /// Requests for this owner's keys, by priority and arrival.
    std::set<std::tuple<std::int32_t, base::boot_time, exchange_id>> queue;
};

/// What this instance knows of one service.
struct service_record {
    /// Time of one request without queueing, averaged over all its servers.
    std::chrono::microseconds service_time = assumed_service_time;
    double retry_tokens = most_retry_tokens;
    std::uint64_t assignment_version = 0;
    routing::assignment assignment;
    /// The parts of a change that have been received, as long as some are missing.
    assignment_changed incomplete_change;
    std::set<std::uint32_t> change_parts;
    /// Since when another instance has known a newer version.
    base::boot_time assignment_behind_since;
    /// Requests for any server, by priority and arrival.
    std::set<std::tuple<std::int32_t, base::boot_time, exchange_id>> queue;
    /// Requests for ranges that are moving or that their owner no longer holds.
    std::set<exchange_id> waiting;
    /// Recently requested keys with the time of the request.
    std::deque<std::pair<base::boot_time, std::uint32_t>> samples;
    /// Keys that have not been sent yet to the other instances of the data centre, or to a keeper in another data
    /// centre.
    std::vector<std::uint32_t> keys_for_peers;
    std::vector<std::uint32_t> keys_for_keeper;
};

/// Backend servers of one service and data centre whose slots one dispatcher gives out.
struct server_group {
    model::service_id service;
    model::data_centre_id data_centre;
    std::uint32_t number = 0;
    auto operator<=>(const server_group&) const = default;
};

enum class exchange_phase : std::uint8_t {
    /// Waits until a server has room.
    queued,
    /// Waits for a token of its client account's allowance.
    counting,
    /// Waits for a dispatcher to give it a slot.
    asking,
    /// Waits until its key has an owner that can serve it.
    waiting,
    sent,
};

/// One caller's request, from its arrival to its answer.
struct exchange {
    request_arrived request;
    model::service_id service;
    /// Version of the configuration that it was admitted by, and for how long that had been in force here.
    std::uint64_t configuration_version = 0;
    std::chrono::milliseconds configuration_age{0};
    request_kind kind = request_kind::non_idempotent;
    /// The client account of the request; empty for an anonymous one. Nothing if no client accounts are configured.
    std::optional<model::client_account_id> account;
    /// That of the client account, or of the route if the account has none.
    std::int32_t priority = 0;
    std::int32_t attempts_left = 1;
    std::chrono::milliseconds objective{0};
    std::chrono::milliseconds timeout{0};
    /// The earlier of the caller's deadline and the route's timeout.
    base::boot_time expires_at;
    exchange_phase phase = exchange_phase::queued;
    /// Since when it has waited for a token of its client account's allowance.
    base::boot_time counting_since;
    /// End of the life of its token, which goes back if the request is refused before it was sent.
    base::boot_time token_until;
    /// It is not sent before this time.
    base::boot_time not_before;
    model::backend_server_id server;
    /// Start of the server's run that it was sent to.
    std::uint64_t server_born = 0;
    model::attempt_id attempt;
    base::boot_time attempt_at;
    /// Number of the step that sent it.
    std::uint64_t attempt_step = 0;
    /// What the server has stated in the answer to the attempt.
    server_signals signals;
    std::int32_t attempts = 0;
    bool sending = false;
    /// A part of the server's answer has gone to the caller.
    bool forwarding = false;
    /// When the answer began to be forwarded.
    base::boot_time forwarding_since;
    /// When the progress of a started answer is checked next, when it was last reported, and the bytes of its body at
    /// that time.
    base::boot_time answer_check_at;
    base::boot_time answer_reported_at;
    std::uint64_t answer_bytes = 0;
    /// An earlier attempt may have run.
    bool may_have_run = false;
    /// The shell holds a server's failure answer that can be sent to the caller.
    bool answer_stored = false;
    std::vector<model::backend_server_id> tried_servers;
    /// The request for a slot, its group and its dispatcher; 0 if there is none. Kept while the slot is in use.
    std::uint64_t ask = 0;
    server_group group;
    /// The only server that is asked for; empty for any.
    model::backend_server_id wanted_server;
    model::instance_id dispatcher;
    /// When it was last sent to the dispatcher, and since when that has not answered; 0 if it has.
    base::boot_time asked_again_at;
    base::boot_time unanswered_since;
    /// The dispatcher has put it into its queue.
    bool ask_queued = false;
    std::int32_t groups_asked = 0;
    std::int32_t silent_dispatchers = 0;
    /// Server in whose queue it is; empty for the queue of the service.
    model::backend_server_id queued_at;
};

/// The renewals of one range.
struct grant_record {
    base::boot_time sent_at;
    bool under_way = false;
};

/// The keeper's record of the grants of one owner.
struct owner_record {
    /// End of the last call with a grant that may have reached it; the hold time counts from the arrival.
    base::boot_time granted_at;
    /// When the last grant that it has confirmed was sent.
    base::boot_time confirmed_at;
    /// End of the last call without an answer: the owner may still carry its grant out.
    base::boot_time unanswered_at;
    std::int32_t under_way = 0;
    std::int32_t failures_in_row = 0;
};

/// The keeper's record of one move.
struct move_record {
    /// When no more calls with grants of the range were under way to the leaving owner.
    base::boot_time started_at;
    base::boot_time release_sent_at;
    bool release_under_way = false;
    bool released = false;
    std::string handover;
    base::boot_time grant_sent_at;
    bool grant_under_way = false;
};

/// Identifies a range of a service: its first key and fencing token.
struct range_id {
    model::service_id service;
    std::uint32_t first = 0;
    std::uint64_t fence = 0;
    auto operator<=>(const range_id&) const = default;
};

/// A renewal that this instance makes for a keeper, or has made and dropped.
struct renewal_record {
    /// It is among the newest orders.
    bool ordered = true;
    bool under_way = false;
    bool superseded = false;
    std::int32_t failures_in_row = 0;
    base::boot_time sent_at;
    /// End of the last call that may have reached the server.
    base::boot_time granted_at;
    base::boot_time accepted_at;
    base::boot_time unanswered_at;
};

/// Orders of a keeper that this instance follows.
struct renewer_state {
    model::instance_id keeper;
    std::uint64_t term = 0;
    std::uint64_t sequence = 0;
    /// Renewals may be sent until this time.
    base::boot_time permitted_until;
    base::boot_time ordered_at;
    base::boot_time next_report;
    std::map<renewal_order, renewal_record> renewals;
};

/// The keeper's record of one renewer.
struct delegate_record {
    std::uint64_t incarnation = 0;
    std::vector<renewal_order> orders;
    std::uint64_t sequence = 0;
    base::boot_time sent_at;
    /// The last report: the keeper's and the renewer's clock, and the orders that it confirms.
    base::boot_time heard_at;
    base::boot_time reported_at;
    std::uint64_t confirmed_sequence = 0;
    std::vector<renewal_status> reported;
    /// The renewer may send renewals until this time of the keeper's clock.
    base::boot_time permitted_until;
    /// Owners, by service, whose grants the renewer may still renew. Not by token: a new token may be replaced before
    /// it was granted.
    std::set<std::pair<model::service_id, model::backend_server_id>> possible;
    /// Owners whose grants an earlier run of the renewer may have renewed until the given time.
    std::map<std::pair<model::service_id, model::backend_server_id>, base::boot_time> renewed_before;
};

enum class keeper_phase : std::uint8_t { idle, checking, claiming, reading, holding };

/// State of the keeper role, which assigns and grants keys, in this instance.
struct keeper_state {
    keeper_phase phase = keeper_phase::idle;
    base::boot_time next_check;
    std::uint64_t lease_version = 0;
    keeper_lease lease;
    /// The lease as the write in progress would leave it.
    keeper_lease pending;
    bool write_under_way = false;
    /// A write was not answered and may still be carried out, until another one succeeds or finds that it was.
    bool write_unresolved = false;
    bool read_under_way = false;
    /// Earliest times of the next write and read after the store refused one.
    base::boot_time next_write;
    base::boot_time next_read;
    /// The assignments were read under this lease; until then a change by the previous holder may be missing.
    bool assignments_current = false;
    /// The store's clock in milliseconds: `store_time` was read between asked_at and answered_at.
    std::int64_t store_time = 0;
    base::boot_time asked_at;
    base::boot_time answered_at;
    base::boot_time renewed_at;
    /// Fencing tokens are above this one: a restoration of the store has lost those that were issued after its copy.
    std::uint64_t token_floor = 0;
    /// Not before these times may grants be sent, and keys be moved: until then servers may hold keys by grants that a
    /// restoration of the store has lost.
    base::boot_time grants_from;
    base::boot_time moves_from;
    /// The previous holder, and the time until which it may still renew grants.
    model::instance_id former_holder;
    std::uint64_t former_incarnation = 0;
    bool former_delegates = false;
    base::boot_time former_renewals_until;
    /// Until when a holder before the previous one may still renew grants.
    base::boot_time earlier_renewals_until;
    /// Last call of run_keeper(), to detect pauses of this instance.
    base::boot_time last_run_at;
    /// Start of the current term.
    base::boot_time started_at;
    /// The first fencing token of this term, per service.
    std::map<model::service_id, std::uint64_t> first_tokens;
    /// Fencing tokens that their owners have accepted from this holder in this term.
    std::set<std::pair<model::service_id, std::uint64_t>> confirmed;
    base::boot_time next_plan;
    base::boot_time next_balance;
    base::boot_time next_postponed_log;
    std::map<range_id, grant_record> grants;
    std::map<range_id, move_record> moves;
    std::map<model::backend_server_id, owner_record> owners;
    /// Version of the lease's row when this term began.
    std::uint64_t term = 0;
    std::map<model::instance_id, delegate_record> delegates;
    std::map<model::backend_server_id, model::instance_id> delegate_of;
    /// Sequence number of the newest orders to any delegate in this term.
    std::uint64_t order_sequence = 0;
    base::boot_time next_delegation;
    counter_plan counters;
    /// Assignments that are not written yet; `writing` holds those of the write in progress.
    std::map<model::service_id, assignment> changed;
    /// When the first unwritten change was made, or when there was last none.
    base::boot_time first_change_at;
    std::map<model::service_id, assignment> writing;
};

/// The last message of another instance.
struct peer_record {
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    base::boot_time received_at;
    std::vector<peer_server_load> servers;
};

/// The last heartbeat of a reader or keeper.
struct reader_record {
    model::data_centre_id data_centre;
    base::boot_time heard_at;
    bool reads = false;
    std::chrono::milliseconds store_contact{0};
    /// When its copies that have to be current in time last all were.
    base::boot_time confirmed_at;
};

/// Identifies a request for a slot: its instance and number.
struct ask_id {
    model::instance_id sender;
    std::uint64_t ask = 0;
    auto operator<=>(const ask_id&) const = default;
};

/// A slot in use.
struct slot_record {
    model::backend_server_id server;
    std::uint64_t incarnation = 0;
    base::boot_time granted_at;
    base::boot_time confirmed_at;
};

/// A request in a dispatcher's queue.
struct queued_ask {
    slot_request request;
    /// Until when it may wait, and when it was last sent.
    base::boot_time until;
    base::boot_time heard_at;
};

/// A dispatcher that is passed over until a time, longer each time that it does not answer.
struct suspected_dispatcher {
    base::boot_time until;
    std::chrono::microseconds period{0};
};

/// Requests in the order in which they get slots: by priority and arrival.
using ask_queue = std::map<std::tuple<std::int32_t, base::boot_time, ask_id>, queued_ask>;

/// State of this instance as a dispatcher, and as one that asks dispatchers.
struct dispatch_state {
    std::map<ask_id, slot_record> slots;
    /// Slots in use at each server.
    std::map<model::backend_server_id, std::int32_t> used;
    /// Requests for any server of a group, and, with the name of the server, for one.
    std::map<std::pair<server_group, model::backend_server_id>, ask_queue> queues;

    std::uint64_t last_ask = 0;
    /// Exchanges by their request for a slot.
    std::unordered_map<std::uint64_t, exchange_id> asks;
    /// Dispatchers that did not answer.
    std::map<model::instance_id, suspected_dispatcher> suspects;
    base::boot_time next_report;
    /// Dispatchers that got a report with slots; they get one more without.
    std::set<model::instance_id> reported_to;
    /// Chooses the group that a request asks first.
    std::uint32_t turn = 0;

    /// Groups and their number by service and data centre, found again when servers come or go.
    bool groups_known = false;
    std::map<server_group, std::vector<model::backend_server_id>> groups;
    std::map<std::pair<model::service_id, model::data_centre_id>, std::uint32_t> group_counts;
};

/// Who follows the store, as this instance sees it.
struct reader_state {
    /// This instance follows the store's tables; as a reader it passes changes on.
    bool follows_store = false;
    bool reads = false;
    std::chrono::milliseconds longest_wait{0};
    /// Instances by their rank as readers, for each data centre. Empty if they have to be ordered again.
    std::map<model::data_centre_id, std::vector<model::instance_id>> ranks;
    std::map<model::instance_id, reader_record> heard;
    /// When a reader of the own data centre that reaches the store was last heard, or when this instance knew the
    /// tables.
    base::boot_time reader_heard_at;
    base::boot_time heartbeat_at;
    std::array<std::uint64_t, followed_table_count> versions{};
    /// The newest versions that readers have named.
    std::array<std::uint64_t, followed_table_count> newest_heard{};
    /// When the own copy was last known to be current: by an answer of the store, or by a reader whose copy was current
    /// and no newer.
    std::array<base::boot_time, followed_table_count> confirmed_at{};
    /// When an instance that follows no table last compared its copy with the store.
    std::array<base::boot_time, followed_table_count> compared_at{};
    /// When a gap in a table was first seen, and when its changes were last asked for.
    std::array<base::boot_time, followed_table_count> gap_since{};
    std::array<base::boot_time, followed_table_count> asked_at{};
};

/// A request that may have ended a server, until that is known.
struct suspicion {
    request_fingerprint request = 0;
    std::string target;
    model::backend_server_id server;
    std::uint64_t server_born = 0;
    base::boot_time since;
    /// The last probe of the server was asked for before.
    bool needs_probe = false;
};

/// A collector's record of a request under which servers have ended.
struct struck_request {
    std::string target;
    /// Runs of servers, by id and start, and when their ends were reported.
    std::map<std::pair<model::backend_server_id, std::uint64_t>, base::boot_time> runs;
    base::boot_time last_strike_at;
    base::boot_time written_at;
};

/// A request that a row of the store quarantines.
struct quarantined_request {
    base::boot_time since;
    /// When this instance last removed the row.
    base::boot_time lifted_at;
    /// When it has to be found out next whether this instance ends the quarantine.
    base::boot_time next_check;
};

/// Requests that end backend servers, or may do so.
struct quarantine_state {
    std::deque<suspicion> suspicions;
    /// Requests that were cancelled at work, so that their connections cannot show the ends of their servers.
    std::deque<suspicion> cancelled;
    std::map<model::backend_server_id, base::boot_time> probed_at;
    std::map<request_fingerprint, struck_request> struck;
    std::map<request_fingerprint, quarantined_request> requests;
    base::boot_time next_check;
    /// When requests last ended well here, and the same in the order of these times.
    std::unordered_map<request_fingerprint, base::boot_time> good_ends;
    std::deque<std::pair<base::boot_time, request_fingerprint>> good_end_order;
};

/// State of the routing decisions. Only reduce() changes it.
struct state {
    state(identity id, std::uint64_t seed) : self(std::move(id)), random(seed) {}

    identity self;
    std::mt19937_64 random;
    bool shutting_down = false;
    base::boot_time shutdown_begun_at;
    /// When open requests are broken off.
    base::boot_time work_ends_at;
    /// The end of a shutdown is so near that nothing more is sent to backend servers.
    bool sends_nothing_more = false;
    bool registry_known = false;
    bool assignments_known = false;

    routing::configuration configuration;
    /// When it came into force at this instance.
    base::boot_time configuration_since;
    std::set<model::data_centre_id> evacuated;
    /// Evacuations as the store shows them. Those that it no longer shows after its restoration stay in force until the
    /// operators have had time to write them again.
    std::set<model::data_centre_id> shown_evacuations;
    /// After an outage of the store, servers that are missing in the registry may return until this time.
    base::boot_time registry_incomplete_until;
    bool store_reachable = true;
    /// Nothing until an answer of the store has shown its era.
    std::optional<std::uint64_t> store_era;
    /// When the era was first seen, and when one that is not the first that this instance has seen.
    base::boot_time era_seen_at;
    base::boot_time store_restored_at;
    /// When the store was last lost, and since when it has been reachable.
    base::boot_time store_lost_at;
    base::boot_time store_reached_since;
    std::set<model::backend_server_id> missing_servers;
    std::map<model::backend_server_id, server_record> servers;
    /// Servers whose statements are in force; few or none, so that the others cost nothing.
    std::set<model::backend_server_id> stating_servers;
    std::map<model::service_id, service_record> services;
    std::map<model::instance_id, instance_record> instances;
    std::map<model::instance_id, peer_record> peers;
    /// Last message of an instance that reported to be the keeper.
    base::boot_time keeper_reported_at;
    /// The instance that wrote the newest assignment.
    model::instance_id assignment_keeper;
    base::boot_time load_sent_at;
    base::boot_time reported_at;
    /// When the assignments were last read because of a missed change.
    base::boot_time refreshed_at;
    std::uint64_t load_sequence = 0;
    bool load_changed = false;
    std::map<std::string, std::map<model::service_id, double>> split_credit;
    /// Number of calls of reduce().
    std::uint64_t steps = 0;
    std::unordered_map<exchange_id, exchange> exchanges;
    /// Give-up times of the exchanges.
    std::set<std::pair<base::boot_time, exchange_id>> deadlines;
    /// Times at which the progress of started answers is checked.
    std::set<std::pair<base::boot_time, exchange_id>> answer_checks;
    keeper_state keeper;
    renewer_state renewer;
    reader_state readers;
    dispatch_state dispatch;
    quarantine_state quarantine;
    allowance_state allowances;
    /// In a large deployment, dispatchers give out the slots of backend servers.
    bool uses_dispatchers = true;
    /// In a large deployment, what each backend server takes well is learned from its answers.
    bool learns_capacity = true;
    std::uint64_t last_attempt = 0;
    /// When refusals of requests without a valid key may be logged next, and those since the last line.
    base::boot_time next_unauthenticated_log;
    std::uint64_t unlogged_unauthenticated = 0;

    // Counters since the start, for metrics.
    std::uint64_t delivered = 0;
    std::map<base::result_code, std::uint64_t> refused;
    std::uint64_t retries = 0;
    std::uint64_t moves = 0;
    std::uint64_t unauthenticated = 0;
    std::uint64_t stated_pauses = 0;
};

/// Whether callers can be served: configuration, registry and assignments are known.
[[nodiscard]] bool is_ready(const state& state);

} // namespace lovagetack::routing
