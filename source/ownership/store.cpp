#include "ownership/store.hpp"

#include <algorithm>

#include "base/json.hpp"
#include "ownership/changes.hpp"
#include "ownership/election.hpp"

namespace lovagetack::ownership {
namespace {

const std::string controllers_table = "controllers";
const std::string assignments_table = "assignments";

model::operation_id begin_operation(step& step, store_operation operation) {
    const model::operation_id id(step.state.next_operation++);
    operation.sent_at = step.now;
    step.state.operations.emplace(id, std::move(operation));
    return id;
}

bool is_pending(const state& state, operation_kind kind) {
    return std::any_of(state.operations.begin(), state.operations.end(),
                       [&](const auto& entry) { return entry.second.kind == kind; });
}

void publish_row(step& step, model::fact_kind kind, std::string name, std::uint64_t version, std::string value) {
    step.effects.emplace_back(
        model::publish_fact{model::fact{kind, std::move(name), model::fact_version{0, version}, std::move(value)}});
}

/// Follows the own reservation when a controller has moved it. An epoch that was claimed already is not taken again.
void follow_moved_reservation(state& state) {
    for (const auto& reservation : state.record.reservations) {
        const bool own =
            reservation.candidate == state.id && state.reserved_epoch && reservation.reserved == *state.reserved_epoch;
        if (own && state.role == role::candidate && reservation.epoch > state.epoch) {
            state.reservation = reservation.epoch;
        }
    }
}

bool update_known_record(step& step, std::uint64_t version, const model::controller_record& record) {
    auto& state = step.state;
    if (version <= state.record_version) {
        return false;
    }
    state.record_version = version;
    state.record = record;
    state.record_changed_at = step.now;
    if (state.role != role::candidate && record.current_epoch > state.epoch) {
        step_down(step, "the store records a higher epoch");
    }
    follow_moved_reservation(state);
    return true;
}

std::string row_key(const model::assignment& row) {
    return row.service.value() + "." + row.data_centre.value();
}

bool update_known_assignment(step& step, std::uint64_t version, const model::assignment& row) {
    auto& known = step.state.assignments[{row.service, row.data_centre}];
    if (version <= known.version) {
        return false;
    }
    known.version = version;
    known.value = row;
    return true;
}

bool is_known(const state& state, const model::row& row) {
    return std::any_of(state.assignments.begin(), state.assignments.end(), [&](const auto& known) {
        return known.second.version >= row.version && row_key(known.second.value) == row.key;
    });
}

void read(step& step, operation_kind kind) {
    const bool controllers = kind == operation_kind::read_controller;
    store_operation operation;
    operation.kind = kind;
    const auto id = begin_operation(step, std::move(operation));
    step.effects.emplace_back(model::store_read{id, controllers ? controllers_table : assignments_table,
                                                controllers ? step.state.data_centre.value() : std::string()});
}

void write_record(step& step, model::controller_record record) {
    auto& state = step.state;
    model::store_transaction transaction;
    transaction.conditions.push_back({controllers_table, state.data_centre.value(), state.record_version});
    transaction.writes.push_back({controllers_table, state.data_centre.value(), base::to_json_text(record)});
    store_operation operation;
    operation.kind = operation_kind::write_controller;
    operation.record = std::move(record);
    transaction.operation = begin_operation(step, std::move(operation));
    step.effects.emplace_back(std::move(transaction));
}

model::controller_record initial_record(const state& state) {
    model::controller_record record;
    record.current_epoch = model::epoch(1);
    record.next_epoch = model::epoch(2);
    record.holder = state.id;
    record.witnesses = wanted_witnesses(state);
    return record;
}

bool needs_reservation(const state& state) {
    if (state.role != role::candidate) {
        return false;
    }
    return !state.reservation || *state.reservation <= state.record.current_epoch ||
           *state.reservation < state.highest_epoch_seen;
}

bool has_left_or_is_unreachable(const state& state, const model::instance_id& id) {
    return std::any_of(state.members.begin(), state.members.end(), [&](const model::member& member) {
        return member.id == id &&
               (member.state == model::member_state::left || member.state == model::member_state::unreachable);
    });
}

/// Removes the reservations of this instance and of lost ones, and moves those that are not above the current epoch
/// above it in their order. A candidate can then take over without having written a new reservation.
void renew_reservations(const state& state, model::controller_record& record) {
    auto& reservations = record.reservations;
    std::erase_if(reservations, [&](const model::epoch_reservation& reservation) {
        return reservation.candidate == state.id || has_left_or_is_unreachable(state, reservation.candidate);
    });
    std::sort(reservations.begin(), reservations.end(),
              [](const auto& left, const auto& right) { return left.epoch < right.epoch; });
    for (auto& reservation : reservations) {
        if (reservation.epoch <= record.current_epoch) {
            reservation.epoch = record.next_epoch;
            record.next_epoch = record.next_epoch.next();
        }
    }
}

void reserve_epoch(step& step) {
    auto& state = step.state;
    auto record = state.record;
    renew_reservations(state, record);
    const auto epoch = std::max(record.next_epoch, state.highest_epoch_seen.next());
    record.reservations.push_back({state.id, epoch, epoch});
    record.next_epoch = epoch.next();
    write_record(step, std::move(record));
}

/// The witnesses that the record should list next: with authority one change at a time, so that the majorities of
/// consecutive lists share a server; without it only removals that an operator ordered.
std::vector<model::backend_server_id> next_witnesses(const state& state, bool controls) {
    const auto wanted = wanted_witnesses(state);
    auto list = state.record.witnesses;
    const auto unwanted = [&](const model::backend_server_id& id) {
        return std::find(wanted.begin(), wanted.end(), id) == wanted.end();
    };
    if (!controls) {
        std::erase_if(list, unwanted);
        return list.empty() ? state.record.witnesses : list;
    }
    const auto removed = std::find_if(list.begin(), list.end(), unwanted);
    if (removed != list.end()) {
        // The last witness stays, since an empty list means authority by a lease in the store.
        if (list.size() > 1) {
            list.erase(removed);
        }
        return list;
    }
    for (const auto& id : wanted) {
        if (std::find(list.begin(), list.end(), id) == list.end()) {
            list.push_back(id);
            return list;
        }
    }
    return list;
}

bool record_controller(step& step) {
    auto& state = step.state;
    const bool controls = is_controller(state, step.now);
    if (state.role == role::candidate || state.record.current_epoch > state.epoch) {
        return false;
    }
    auto record = state.record;
    record.witnesses = next_witnesses(state, controls);
    if (controls || record.witnesses != state.record.witnesses) {
        record.current_epoch = state.epoch;
        record.next_epoch = std::max(record.next_epoch, state.epoch.next());
        record.holder = state.id;
        renew_reservations(state, record);
    }
    const bool renew = record.witnesses.empty() && (!state.store_lease_from || step.now - *state.store_lease_from >
                                                                                   state.rules.store_lease_time / 3);
    const bool changed = record.current_epoch != state.record.current_epoch || record.holder != state.record.holder ||
                         record.witnesses != state.record.witnesses;
    if (!changed && !renew) {
        return false;
    }
    record.current_epoch = state.epoch;
    record.holder = state.id;
    write_record(step, std::move(record));
    return true;
}

/// A server that accepted the epoch of a claim that failed refuses the controller's lower one for good, so the
/// controller takes a higher one.
bool raise_epoch(step& step) {
    auto& state = step.state;
    const bool refused =
        std::any_of(state.servers.begin(), state.servers.end(), [](const auto& entry) { return entry.second.refused; });
    if (!refused || !is_controller(state, step.now) || state.record.current_epoch != state.epoch) {
        return false;
    }
    auto record = state.record;
    record.current_epoch = std::max(record.next_epoch, state.highest_epoch_seen.next());
    record.next_epoch = record.current_epoch.next();
    record.holder = state.id;
    renew_reservations(state, record);
    write_record(step, std::move(record));
    return true;
}

/// In a data centre without witnesses: claims control when the controllers row has not changed for the length of the
/// lease in the store, which has then ended.
bool claim_by_store(step& step) {
    auto& state = step.state;
    const bool applies = state.role == role::candidate && state.record.witnesses.empty() && state.reservation;
    if (!applies || step.now - state.record_changed_at <= state.rules.store_lease_time * 101 / 100) {
        return false;
    }
    claim(step, *state.reservation);
    return true;
}

void call_controllers_table(step& step) {
    auto& state = step.state;
    const bool busy =
        is_pending(state, operation_kind::read_controller) || is_pending(state, operation_kind::write_controller);
    if (busy || step.now < state.next_store_call_at) {
        return;
    }
    const auto retry = state.rules.store_retry_interval;
    state.next_store_call_at = step.now + retry + retry * (step.random % 16) / 16;
    if (!state.store_reachable || state.record_version == 0) {
        read(step, operation_kind::read_controller);
        return;
    }
    if (needs_reservation(state)) {
        reserve_epoch(step);
        return;
    }
    if (state.role == role::candidate && state.record.witnesses.empty() && !claim_by_store(step)) {
        read(step, operation_kind::read_controller);
        return;
    }
    if (record_controller(step) || raise_epoch(step)) {
        state.next_store_call_at = step.now;
        return;
    }
    if (state.role != role::candidate) {
        state.next_store_call_at = step.now + retry / 5;
        return;
    }
    // Only the read waits for the long interval: until an outdated reservation is replaced, this instance could not
    // take over from a controller that is lost together with the store.
    if (step.now >= state.next_candidate_read_at) {
        state.next_candidate_read_at = step.now + state.rules.candidate_read_interval;
        read(step, operation_kind::read_controller);
    }
}

void call_assignments_table(step& step) {
    auto& state = step.state;
    if (state.role != role::controller || is_pending(state, operation_kind::read_assignments)) {
        return;
    }
    if (step.now < state.next_row_read_at) {
        return;
    }
    state.next_row_read_at = step.now + state.rules.row_read_interval;
    read(step, operation_kind::read_assignments);
}

void set_store_reachable(step& step, bool reachable) {
    auto& state = step.state;
    if (state.store_reachable == reachable) {
        return;
    }
    state.store_reachable = reachable;
    state.store_since = step.now;
    add_timeline_entry(step, reachable ? "store_reachable" : "store_unreachable", {});
    if (reachable && state.role == role::candidate) {
        const auto spread = std::chrono::microseconds(state.rules.store_call_spread);
        state.next_store_call_at = step.now + spread * (step.random % 1024) / 1024;
    }
    if (reachable && state.role == role::controller) {
        state.next_row_read_at = step.now;
    }
}

void handle_record_read(step& step, const model::store_reply& reply) {
    auto& state = step.state;
    const bool absent = reply.rows.empty() || reply.rows.front().version == 0;
    if (absent) {
        if (state.record_version == 0 && state.role == role::candidate && !state.servers.empty()) {
            write_record(step, initial_record(state));
        }
        return;
    }
    const auto& row = reply.rows.front();
    model::controller_record record;
    if (base::from_json_text(row.value, record) && update_known_record(step, row.version, record)) {
        publish_row(step, model::fact_kind::controller, state.data_centre.value(), row.version, row.value);
    }
}

void handle_assignments_read(step& step, const store_operation& operation, const model::store_reply& reply) {
    for (const auto& row : reply.rows) {
        model::assignment value;
        // Rows are read every second and seldom change, so a known one is not parsed again.
        if (is_known(step.state, row)) {
            continue;
        }
        if (base::from_json_text(row.value, value) && update_known_assignment(step, row.version, value)) {
            publish_row(step, model::fact_kind::assignment, row.key, row.version, row.value);
        }
    }
    if (operation.sent_at >= step.state.rows_needed_since) {
        step.state.rows_read = true;
        step.state.rows_final = step.state.rows_final || may_write_rows(step);
    }
}

/// Requires another read of the rows: those read before now may be out of date.
void require_row_read(step& step) {
    step.state.rows_read = false;
    step.state.rows_needed_since = step.now;
    step.state.next_row_read_at = step.now;
}

void handle_record_written(step& step, const store_operation& operation, const model::store_reply& reply) {
    auto& state = step.state;
    const auto version = reply.versions.empty() ? 0 : reply.versions.front();
    const bool is_first = state.record_version == 0 && operation.record.holder == state.id;
    const auto old_epoch = state.record.current_epoch;
    const bool raised = operation.record.holder == state.id && operation.record.current_epoch > state.epoch;
    if (raised && state.role != role::candidate) {
        claim(step, operation.record.current_epoch);
    }
    update_known_record(step, version, operation.record);
    publish_row(step, model::fact_kind::controller, state.data_centre.value(), version,
                base::to_json_text(operation.record));
    const bool recorded = operation.record.holder == state.id && operation.record.current_epoch == state.epoch;
    if (recorded && old_epoch != state.epoch) {
        // Writes of former controllers conflict from now on; earlier ones may have changed the rows.
        require_row_read(step);
    }
    if (recorded) {
        state.store_lease_from = operation.sent_at;
    }
    for (const auto& reservation : operation.record.reservations) {
        if (reservation.candidate == state.id && state.role == role::candidate) {
            state.reservation = reservation.epoch;
            state.reserved_epoch = reservation.reserved;
        }
    }
    if (is_first) {
        claim(step, operation.record.current_epoch);
        state.store_lease_from = operation.sent_at;
    }
}

void handle_assignments_written(step& step, const store_operation& operation, const model::store_reply& reply) {
    for (std::size_t index = 0; index < operation.assignments.size() && index < reply.versions.size(); ++index) {
        const auto& row = operation.assignments[index];
        update_known_assignment(step, reply.versions[index], row);
        publish_row(step, model::fact_kind::assignment, row_key(row), reply.versions[index], base::to_json_text(row));
        add_timeline_entry(step, "assignment_acknowledged",
                           {{"service", row.service.value()},
                            {"row", row_key(row)},
                            {"version", std::to_string(reply.versions[index])},
                            {"ranges", std::to_string(row.ranges.size())}});
    }
}

void handle_success(step& step, const store_operation& operation, const model::store_reply& reply) {
    switch (operation.kind) {
    case operation_kind::read_controller:
        handle_record_read(step, reply);
        return;
    case operation_kind::read_assignments:
        handle_assignments_read(step, operation, reply);
        return;
    case operation_kind::write_controller:
        handle_record_written(step, operation, reply);
        return;
    case operation_kind::write_assignments:
        handle_assignments_written(step, operation, reply);
        return;
    }
}

/// After a conflict or a lost answer: reads the rows again before anything else is written.
void read_back(step& step, const store_operation& operation) {
    auto& state = step.state;
    if (operation.kind == operation_kind::write_assignments) {
        require_row_read(step);
    }
    const bool writes =
        operation.kind == operation_kind::write_controller || operation.kind == operation_kind::write_assignments;
    const bool reading = is_pending(state, operation_kind::read_controller);
    if (writes && !reading && state.store_reachable) {
        read(step, operation_kind::read_controller);
    }
}

void expire_operations(step& step) {
    auto& state = step.state;
    std::vector<model::operation_id> expired;
    for (const auto& [id, operation] : state.operations) {
        if (step.now - operation.sent_at > state.rules.store_timeout) {
            expired.push_back(id);
        }
    }
    for (const auto& id : expired) {
        handle_store_reply(step, model::store_reply{id, model::store_status::unknown, {}, {}});
    }
}

} // namespace

void run_store_calls(step& step) {
    auto& state = step.state;
    if (!state.first_store_call_planned) {
        state.first_store_call_planned = true;
        state.next_store_call_at =
            step.now + std::chrono::microseconds(state.rules.store_retry_interval) * (step.random % 1024) / 1024;
    }
    expire_operations(step);
    call_controllers_table(step);
    call_assignments_table(step);
}

void handle_store_reply(step& step, const model::store_reply& reply) {
    auto& state = step.state;
    const auto found = state.operations.find(reply.operation);
    if (found == state.operations.end()) {
        return;
    }
    const auto operation = std::move(found->second);
    state.operations.erase(found);
    mark_inputs_changed(state);
    set_store_reachable(step, reply.status != model::store_status::unknown);
    switch (reply.status) {
    case model::store_status::done:
        handle_success(step, operation, reply);
        return;
    case model::store_status::conflict:
    case model::store_status::unknown:
        read_back(step, operation);
        return;
    }
}

bool may_write_rows(const step& step) {
    const auto& state = step.state;
    return is_controller(state, step.now) && state.record.current_epoch == state.epoch &&
           state.record.holder == state.id && state.rows_read && state.store_reachable;
}

bool is_writing(const state& state, const row_name& row) {
    return std::any_of(state.operations.begin(), state.operations.end(), [&](const auto& entry) {
        const auto& rows = entry.second.assignments;
        return std::any_of(rows.begin(), rows.end(), [&](const model::assignment& value) {
            return value.service == row.first && value.data_centre == row.second;
        });
    });
}

void write_rows(step& step, std::vector<model::assignment> rows) {
    auto& state = step.state;
    model::store_transaction transaction;
    transaction.conditions.push_back({controllers_table, state.data_centre.value(), state.record_version});
    for (const auto& row : rows) {
        const auto known = state.assignments.find({row.service, row.data_centre});
        const auto version = known == state.assignments.end() ? 0 : known->second.version;
        transaction.conditions.push_back({assignments_table, row_key(row), version});
        transaction.writes.push_back({assignments_table, row_key(row), base::to_json_text(row)});
    }
    store_operation operation;
    operation.kind = operation_kind::write_assignments;
    operation.assignments = std::move(rows);
    transaction.operation = begin_operation(step, std::move(operation));
    step.effects.emplace_back(std::move(transaction));
}

void handle_row_fact(step& step, const model::fact& fact) {
    if (fact.kind == model::fact_kind::controller && fact.name == step.state.data_centre.value()) {
        model::controller_record record;
        if (base::from_json_text(fact.value, record)) {
            update_known_record(step, fact.version.sequence, record);
        }
        return;
    }
    model::assignment row;
    if (fact.kind == model::fact_kind::assignment && base::from_json_text(fact.value, row)) {
        update_known_assignment(step, fact.version.sequence, row);
    }
}

} // namespace lovagetack::ownership
