#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/boot_time.hpp"
#include "model/assignment.hpp"
#include "model/deployment.hpp"
#include "model/events.hpp"
#include "model/fact.hpp"
#include "model/load_report.hpp"
#include "model/member.hpp"
#include "model/service_state.hpp"
#include "ownership/decision_inputs.hpp"
#include "ownership/departure.hpp"
#include "ownership/limits.hpp"
#include "ownership/server_view.hpp"
#include "ownership/store_operation.hpp"

namespace lovagetack::ownership {

enum class role : std::uint8_t {
    /// Listens for the controller's heartbeats.
    candidate = 0,
    /// Polls the witnesses with its epoch, without a majority.
    claimant = 1,
    controller = 2,
};

/// A row assignments/<service>.<data centre> that the table service is known to hold.
struct known_assignment {
    std::uint64_t version = 0;
    model::assignment value;
};

struct known_activation {
    model::fact_version version;
    model::activation value;
};

struct known_load {
    base::boot_time received_at;
    model::load_report report;
};

/// Service and data centre of a row.
using row_name = std::pair<model::service_id, model::data_centre_id>;

/// State of the ownership module of one instance. Only reduce() changes it.
struct state {
    state(model::instance_id own_id, model::data_centre_id own_data_centre, model::incarnation own_incarnation,
          limits own_limits = {})
        : id(std::move(own_id)), data_centre(std::move(own_data_centre)), incarnation(own_incarnation),
          rules(own_limits) {}

    model::instance_id id;
    model::data_centre_id data_centre;
    model::incarnation incarnation;
    limits rules;

    model::deployment deployment;
    std::vector<model::member> members;
    std::vector<model::service_state> service_states;
    std::map<row_name, known_assignment> assignments;
    std::map<row_name, known_activation> activations;
    std::map<model::instance_id, known_load> loads;

    std::uint64_t record_version = 0;
    model::controller_record record;

    std::optional<base::boot_time> last_event_at;
    /// Earliest start of any period of silence. It is set again after a pause of this process, which would otherwise
    /// count as silence of others.
    base::boot_time listening_since;

    ownership::role role = role::candidate;
    model::epoch epoch;
    /// Start of the role claimant.
    base::boot_time claim_since;
    /// Start of the role controller, when the authority was gained.
    base::boot_time term_start;
    std::optional<model::epoch> reservation;
    /// The epoch of the last reservation that this process wrote itself; see model::epoch_reservation::reserved.
    std::optional<model::epoch> reserved_epoch;
    model::epoch highest_epoch_seen;
    std::optional<base::boot_time> last_heartbeat_at;
    model::instance_id heartbeat_sender;
    bool receives_heartbeats = false;
    base::boot_time next_heartbeat_at;
    /// Sending time of the last renewal of the lease in the store, for a data centre without witnesses.
    std::optional<base::boot_time> store_lease_from;
    base::boot_time record_changed_at;

    std::map<model::backend_server_id, server_view> servers;
    std::uint64_t next_poll = 1;
    std::uint64_t grant_version = 0;
    std::uint64_t fence_sequence = 0;
    /// The highest fence known to have been granted, by hash.
    std::map<model::service_id, std::vector<model::active_range>> granted;

    std::map<model::operation_id, store_operation> operations;
    std::uint64_t next_operation = 1;
    bool store_reachable = true;
    base::boot_time store_since;
    bool first_store_call_planned = false;
    base::boot_time next_store_call_at;
    /// When a candidate without other calls to make reads the controllers row again.
    base::boot_time next_candidate_read_at;
    base::boot_time next_row_read_at;
    /// The assignment rows were read since the claim began, or since a write without an answer.
    bool rows_read = false;
    /// The rows were read in this term after the store recorded it, so no former controller changes them any more.
    bool rows_final = false;
    /// Reads of the assignment rows that were sent before this time do not set rows_read.
    base::boot_time rows_needed_since;
    std::deque<base::boot_time> recent_moves;
    base::boot_time next_balance_at;
    std::vector<departure> departures;
    /// The move in progress to a data centre that has less than its share of the hash space.
    std::optional<departure> planned_departure;
    /// Ranges that nobody served when the term began; see withhold_withdrawn().
    std::vector<departure> withdrawn;

    std::map<model::service_id, std::vector<model::active_range>> published;
    std::uint64_t activation_sequence = 0;
    std::vector<model::service_routes> routes;
    /// An activation or the deployment changed since the routes were built.
    bool routes_outdated = true;

    /// See changes.hpp.
    bool inputs_changed = true;
    /// No range had to wait when the decisions were last made.
    bool settled = false;
    decision_inputs last_decision_inputs;

    base::boot_time next_home_request_at;
    std::map<model::backend_server_id, base::boot_time> home_leases;
    std::vector<model::home_lease> published_home_leases;
};

/// Controller of the data centre with a valid authority at this time.
[[nodiscard]] bool is_controller(const state& state, base::boot_time now);

/// End of the authority as it stands; absent without a majority of accepted polls.
[[nodiscard]] std::optional<base::boot_time> authority_until(const state& state);

/// Bound of the lease of a backend server, for status pages; absent when it never had one from this instance.
[[nodiscard]] std::optional<base::boot_time> lease_bound_of(const state& state, const model::backend_server_id& id);

/// Ranges of a service that are active in all data centres as known here.
[[nodiscard]] const model::service_routes* routes_of(const state& state, const model::service_id& service);

/// Answer of `lovagetack explain` about one hash.
struct explanation {
    bool known = false;
    model::data_centre_id data_centre;
    model::backend_server_id owner;
    model::fence fence;
    model::backend_server_id successor;
    model::fence successor_fence;
    /// Whether a backend server serves the hash now, and which one.
    bool active = false;
    model::backend_server_id active_owner;
    model::fence active_fence;
    std::uint64_t row_version = 0;
    /// Epoch of the controller that made the last change; 0 when the reason is not known.
    model::epoch since;
    model::change_reason reason = model::change_reason::not_known;
};

[[nodiscard]] explanation explain(const state& state, const model::service_id& service, std::uint64_t hash);

[[nodiscard]] std::string name_of(model::change_reason reason);

} // namespace lovagetack::ownership
