#include "routing/servers.hpp"

#include <algorithm>
#include <cmath>
#include <functional>

#include "routing/exchanges.hpp"
#include "routing/groups.hpp"
#include "routing/log_fields.hpp"
#include "routing/quarantine.hpp"
#include "routing/signals.hpp"

namespace lovagetack::routing {
namespace {

/// Share of failed requests above which a server gets no new work for failing_pause.
constexpr double failing_share = 0.35;

/// A server that has just started is slow for some seconds, which says nothing of its usual speed.
constexpr std::chrono::microseconds starting_time = 3s;

std::chrono::microseconds usual_time_of(const state& state, const model::service_id& service) {
    const auto found = state.services.find(service);
    return found == state.services.end() ? assumed_service_time : found->second.service_time;
}

/// Rank of an instance for a server: instances of the server's data centre come first, ties are ordered by hash.
std::pair<bool, std::size_t> rank(const model::instance_id& instance, const instance_record& record,
                                  const backend_server& server) {
    return {record.data_centre != server.data_centre,
            std::hash<std::string>{}(instance.value() + '/' + server.id.value())};
}

bool may_send_to_cold_server(const state& state, const backend_server& server) {
    const auto own = state.instances.find(state.self.instance);
    if (own == state.instances.end()) {
        return false;
    }
    const auto own_rank = rank(own->first, own->second, server);
    const auto better = std::count_if(state.instances.begin(), state.instances.end(), [&](const auto& entry) {
        return rank(entry.first, entry.second, server) < own_rank;
    });
    return static_cast<std::size_t>(better) < cold_server_senders;
}

/// The moving average `before` after `observations` further observations with the mean `observed`.
std::chrono::microseconds mean_after(std::chrono::microseconds before, std::chrono::microseconds observed,
                                     double weight, std::int32_t observations) {
    const double share = 1.0 - std::pow(1.0 - weight, observations);
    const double mean = static_cast<double>(before.count());
    return std::chrono::microseconds(
        static_cast<std::int64_t>(mean + share * (static_cast<double>(observed.count()) - mean)));
}

void reset_statistics(server_record& record) {
    record.spare_window = first_spare_window;
    record.paused_until = {};
    record.failures_in_row = 0;
    record.capacity = {};
    record.backoff = {};
    record.failing = 0;
    record.load = {};
    record.load_at = {};
    record.times_for_peers = {};
    record.times_for_keeper = {};
    record.answers = 0;
    record.cold_tokens = 1;
}

/// Cost of a further request at a server whose other slots are in use, as a share of the time of a request: some
/// servers slow down when they are nearly full. It counts until the server's answers show more.
constexpr double busy_slot_share = 0.25;

/// Whether the server had no room for the request by its own report, or by the requests that are known if it made none.
/// Rejecting is right then.
bool was_full(const server_record& server, const attempt_ended& event) {
    const auto slots = std::max(1, server.registration.slots);
    if (event.load) {
        return event.load->running >= slots || event.load->waiting > 0;
    }
    return server.outstanding + server.peers_outstanding >= slots;
}

void log_backoff(step& step, const server_record& server, bool begins) {
    step.add(log_line{begins,
                      begins ? "server_backed_off" : "server_readmitted",
                      {text_field("server", server.registration.id.value()),
                       text_field("service", server.registration.service.value()),
                       number_field("rejected_percent", static_cast<std::int64_t>(100 * server.backoff.share()))}});
}

/// Learns the time of a request that was answered without a queue at the server.
void note_work(step& step, server_record& server, const attempt_ended& event, std::chrono::microseconds elapsed) {
    const std::chrono::microseconds usual(elapsed.count() * 100 / std::max(10, event.load->slowness));
    auto& state = step.state;
    auto& service = state.services[server.registration.service];
    if (!learns_capacity(state)) {
        server.capacity.average(usual, 1, service.service_time);
    } else {
        const capacity::answer answer{usual, step.now - elapsed, event.load->running + 1, server.registration.slots,
                                      !is_cold(server, step.now) && step.now - server.registered_at >= starting_time};
        server.capacity.learn(step.now, answer, service.service_time);
    }
    service.service_time = mean_after(service.service_time, usual, service_average_weight, 1);
    for (auto* const times : {&server.times_for_peers, &server.times_for_keeper}) {
        ++times->count;
        times->sum += usual;
    }
}

/// Learns from an attempt whether the server rejects or fails requests that it has room for.
void note_backoff(step& step, server_record& server, const attempt_ended& event, bool good,
                  std::chrono::microseconds elapsed) {
    if (!learns_capacity(step.state)) {
        return;
    }
    const auto sent = step.now - elapsed;
    if (good) {
        if (server.backoff.note_answer(sent)) {
            log_backoff(step, server, false);
        }
        return;
    }
    if (!was_full(server, event) && server.backoff.note_rejection(step.now, sent)) {
        log_backoff(step, server, true);
    }
}

/// Requests running and waiting at the server by its last load report, less those that it has presumably served since
/// the report. 0 if the report is out of date.
double reported_requests(const server_record& server, double service_time, base::boot_time now) {
    const auto age = now - server.load_at;
    if (age >= report_age) {
        return 0;
    }
    const double served = static_cast<double>(age.count()) * std::max(1, server.registration.slots) / service_time;
    return std::max(0.0, static_cast<double>(server.load.running + server.load.waiting) - served);
}

/// Takes one token of the server's cold rate, of which this instance has the given share.
bool take_token(const state& state, server_record& server, double share, base::boot_time now) {
    const auto settings = state.configuration.services.find(server.registration.service);
    if (settings == state.configuration.services.end()) {
        return false;
    }
    const double passed = std::chrono::duration<double>(now - server.cold_tokens_at).count();
    server.cold_tokens = std::min(1.0, server.cold_tokens + settings->second.cold_rate * share * passed);
    server.cold_tokens_at = now;
    if (server.cold_tokens < 1.0) {
        return false;
    }
    server.cold_tokens -= 1.0;
    return true;
}

bool may_lack_evacuations(const step& step) {
    const auto restored_at = step.state.store_restored_at;
    return restored_at != base::boot_time() && step.now - restored_at < evacuation_return;
}

/// Whether the server has replaced the entry or has left since. A restored store shows such entries.
bool is_older(const step& step, const backend_server& entry, const server_record& known) {
    const auto& newest = known.registration;
    if (entry.born != newest.born) {
        return entry.born < newest.born && is_being_rewritten(step.state, step.now);
    }
    const bool has_left = !known.registered && entry.sequence > 0 && is_being_rewritten(step.state, step.now);
    return entry.sequence < newest.sequence || (has_left && entry.sequence == newest.sequence);
}

} // namespace

void update_server(step& step, const backend_server& server) {
    auto [found, is_new] = step.state.servers.try_emplace(server.id);
    auto& record = found->second;
    if (!is_new && is_older(step, server, record)) {
        return;
    }
    step.state.missing_servers.erase(server.id);
    if (!is_new && record.registration.born != server.born) {
        note_server_ended(step, server.id, server.born);
        forget_statements(step, record);
    }
    const bool needs_reset = is_new || !record.registered || record.registration.born != server.born;
    if (needs_reset) {
        forget_groups(step.state);
        reset_statistics(record);
        record.registered_at = step.now;
        record.leaving_since.reset();
    }
    if (server.draining && !record.leaving_since) {
        record.leaving_since = step.now;
    }
    if (!server.draining) {
        record.leaving_since.reset();
    }
    if (step.state.evacuated.contains(server.data_centre) && !record.evacuated_since) {
        record.evacuated_since = step.now;
    }
    record.cold_until = server.cold_time_left.count() > 0 ? step.now + server.cold_time_left : base::boot_time();
    record.registration = server;
    record.registered = true;
    if (needs_reset || server.draining || server.cold_time_left.count() > 0) {
        step.add(log_line{false,
                          "backend_server_learned",
                          {text_field("server", server.id.value()), text_field("service", server.service.value()),
                           number_field("born", server.born), number_field("draining", server.draining ? 1 : 0),
                           number_field("cold_ms", server.cold_time_left.count())}});
    }
}

void remove_server(step& step, const model::backend_server_id& id) {
    const auto found = step.state.servers.find(id);
    if (found == step.state.servers.end() || !found->second.registered) {
        return;
    }
    if (step.now < step.state.registry_incomplete_until || !step.state.store_reachable) {
        step.state.missing_servers.insert(id);
        return;
    }
    found->second.registered = false;
    note_server_ended(step, id, std::nullopt);
    forget_groups(step.state);
    if (!found->second.leaving_since) {
        found->second.leaving_since = step.now;
    }
    step.add(log_line{false, "backend_server_removed", {text_field("server", id.value())}});
}

void note_store_era(step& step, std::uint64_t era) {
    auto& state = step.state;
    if (state.store_era && era <= *state.store_era) {
        return;
    }
    state.era_seen_at = step.now;
    if (!state.store_era) {
        state.store_era = era;
        return;
    }
    step.add(
        log_line{true, "store_restored", {number_field("era", era), number_field("former_era", *state.store_era)}});
    state.store_era = era;
    state.store_restored_at = step.now;
    state.registry_incomplete_until = step.now + registry_return;
    // Other instances may not be able to answer this one, whose row the store may have lost.
    for (const auto table : followed_tables) {
        step.add(catch_up{table});
    }
}

bool is_being_rewritten(const state& state, base::boot_time now) {
    return state.store_restored_at != base::boot_time() && now - state.store_restored_at < registry_return;
}

void set_store_reachable(step& step, bool reachable) {
    if (step.state.store_reachable == reachable) {
        return;
    }
    step.state.store_reachable = reachable;
    if (reachable) {
        step.state.registry_incomplete_until = step.now + registry_return;
        step.state.store_reached_since = step.now;
    } else {
        step.state.store_lost_at = step.now;
    }
    step.add(log_line{!reachable, reachable ? "store_regained" : "store_lost", {}});
}

std::chrono::milliseconds store_contact(const state& state, base::boot_time now) {
    if (!state.store_reachable || state.store_reached_since == base::boot_time()) {
        return std::chrono::milliseconds(0);
    }
    // At least 1, as 0 means that there is none.
    return std::chrono::duration_cast<std::chrono::milliseconds>(now - state.store_reached_since) +
           std::chrono::milliseconds(1);
}

void note_store_contact(step& step, std::chrono::milliseconds contact) {
    auto& state = step.state;
    if (!state.store_reachable || step.now >= state.registry_incomplete_until) {
        return;
    }
    if (is_being_rewritten(state, step.now)) {
        return;
    }
    // This instance notices an outage late, so one that ended shortly before does not count as contact.
    if (step.now - contact + registry_return > state.store_lost_at) {
        return;
    }
    step.add(log_line{false, "store_was_not_down", {number_field("contact_ms", contact.count())}});
    state.registry_incomplete_until = step.now;
    remove_missing(step);
}

void remove_missing(step& step) {
    if (step.state.missing_servers.empty() || !step.state.store_reachable ||
        step.now < step.state.registry_incomplete_until) {
        return;
    }
    for (const auto& id : std::exchange(step.state.missing_servers, {})) {
        remove_server(step, id);
    }
}

void update_evacuations(step& step, std::set<model::data_centre_id> data_centres) {
    step.state.shown_evacuations = data_centres;
    if (may_lack_evacuations(step)) {
        data_centres.insert(step.state.evacuated.begin(), step.state.evacuated.end());
    }
    if (step.state.evacuated == data_centres) {
        return;
    }
    step.state.evacuated = data_centres;
    for (auto& [id, record] : step.state.servers) {
        if (!data_centres.contains(record.registration.data_centre)) {
            record.evacuated_since.reset();
        } else if (!record.evacuated_since) {
            record.evacuated_since = step.now;
        }
    }
    std::string names;
    for (const auto& name : data_centres) {
        names += (names.empty() ? "" : ",") + name.value();
    }
    step.add(log_line{false, "evacuations_changed", {text_field("data_centres", names)}});
}

void end_missing_evacuations(step& step) {
    if (step.state.evacuated != step.state.shown_evacuations && !may_lack_evacuations(step)) {
        update_evacuations(step, step.state.shown_evacuations);
    }
}

bool is_leaving(const server_record& server) {
    return server.leaving_since || server.stated.leaving_since;
}

bool is_cold(const server_record& server, base::boot_time now) {
    return server.cold_until > now;
}

bool is_unreachable(const server_record& server, base::boot_time now) {
    return server.failures_in_row > most_failed_connections && server.paused_until > now;
}

bool may_own(const state& state, const server_record& server, base::boot_time now) {
    return server.registered && !is_leaving(server) && !state.evacuated.contains(server.registration.data_centre) &&
           !is_cold(server, now);
}

bool takes_new_work(const state& state, const server_record& server, base::boot_time now) {
    return server.registered && !is_leaving(server) && !state.evacuated.contains(server.registration.data_centre) &&
           server.paused_until <= now;
}

bool serves_own_keys(const state& state, const server_record& server, base::boot_time now) {
    const auto leaving_time =
        state.instances.size() > small_deployment ? late_leaving_service_time : leaving_service_time;
    // This instance has the server's own word without delay.
    const auto& stated = server.stated.leaving_since;
    return (!server.leaving_since || now - *server.leaving_since < leaving_time) &&
           (!stated || now - *stated < leaving_service_time) &&
           (!server.evacuated_since || now - *server.evacuated_since < evacuated_service_time);
}

bool has_room(const state& state, const server_record& server, base::boot_time now) {
    if (server.paused_until > now) {
        return false;
    }
    const auto capacity = most_at_once(state, server, now) + static_cast<std::int32_t>(server.spare_window);
    // Only the owner of a key can serve it, so keeping work away from it would help no caller.
    if (!divided_by_key(state, server.registration.service) &&
        server.outstanding + server.peers_outstanding >= server.backoff.limit(now)) {
        return false;
    }
    if (server.outstanding + server.peers_outstanding >= std::max(1, capacity)) {
        return false;
    }
    // Requests from other data centres are known only from the load reports of the server itself.
    const bool remote_load_unknown = state.instances.size() > small_deployment;
    if (remote_load_unknown && reported_requests(server, static_cast<double>(usual_time(state, server, now).count()),
                                                 now) >= std::max(1, capacity)) {
        return false;
    }
    return state.instances.size() <= 1 || !state.peers.empty() || server.outstanding < outstanding_without_peers;
}

bool take_cold_token(const state& state, server_record& server, base::boot_time now) {
    return !is_cold(server, now) ||
           (may_send_to_cold_server(state, server.registration) &&
            take_token(state, server, cold_rate_share / static_cast<double>(cold_server_senders), now));
}

bool take_whole_cold_token(const state& state, server_record& server, base::boot_time now) {
    return !is_cold(server, now) || take_token(state, server, cold_rate_share, now);
}

std::chrono::microseconds expected_time(const state& state, const server_record& server, base::boot_time now) {
    const double slots = most_at_once(state, server, now);
    double service = static_cast<double>(usual_time(state, server, now).count());
    // A load report counts less the older it is, because the server has worked on its queue since.
    const auto age = now - server.load_at;
    if (age < report_age) {
        const double freshness = 1.0 - static_cast<double>(age.count()) / static_cast<double>(report_age.count());
        const double slowness = std::max(10, server.load.slowness) / 100.0;
        service *= 1.0 + (slowness - 1.0) * freshness;
    }
    const double ahead = std::max(reported_requests(server, service, now),
                                  static_cast<double>(server.outstanding + server.peers_outstanding));
    const double queued = std::max(0.0, ahead + 1.0 - slots);
    return std::chrono::microseconds(static_cast<std::int64_t>(service * (1.0 + queued / slots)));
}

std::chrono::microseconds usual_time(const state& state, const server_record& server) {
    return server.capacity.known() ? server.capacity.recent() : usual_time_of(state, server.registration.service);
}

std::chrono::microseconds usual_time(const state& state, const server_record& server, base::boot_time now) {
    return learns_capacity(state) ? server.capacity.time(now, usual_time_of(state, server.registration.service))
                                  : usual_time(state, server);
}

bool learns_capacity(const state& state) {
    return state.learns_capacity && state.instances.size() > small_deployment;
}

void note_reported_time(step& step, server_record& server, std::chrono::microseconds observed,
                        std::int32_t observations) {
    auto& service = step.state.services[server.registration.service];
    if (learns_capacity(step.state)) {
        server.capacity.learn_reported(step.now, observed, observations, service.service_time);
    } else {
        server.capacity.average(observed, observations, service.service_time);
    }
    service.service_time = mean_after(service.service_time, observed, service_average_weight, observations);
}

std::int32_t most_at_once(const state& state, const server_record& server, base::boot_time now) {
    const auto slots = std::max(1, server.registration.slots);
    // A slot that the owner of a key leaves unused is lost to callers that nobody else can serve.
    if (!learns_capacity(state) || divided_by_key(state, server.registration.service)) {
        return slots;
    }
    return server.capacity.limit(now, slots);
}

double throughput(const state& state, const server_record& server, base::boot_time now) {
    const auto time = std::chrono::duration<double>(usual_time(state, server, now)).count();
    return most_at_once(state, server, now) * (1.0 - server.backoff.share()) / std::max(1e-6, time);
}

double slowdown(const state& state, const server_record& server, std::int32_t others, base::boot_time now) {
    const auto slots = std::max(1, server.registration.slots);
    const auto learned = learns_capacity(state) ? server.capacity.slowdown(now, others + 1, slots) : std::nullopt;
    return learned.value_or(1.0 + busy_slot_share * others / slots);
}

void record_outcome(step& step, server_record& server, const attempt_ended& event, std::chrono::microseconds elapsed) {
    if (event.load) {
        server.load = *event.load;
        server.load_at = step.now;
        server.load_unsent = true;
    }
    const bool good = event.outcome == attempt_outcome::delivered && event.status < 500;
    const bool bad = event.outcome == attempt_outcome::failed || event.outcome == attempt_outcome::connection_lost ||
                     event.outcome == attempt_outcome::invalid_answer || event.outcome == attempt_outcome::cut_short;
    if (good || bad || event.outcome == attempt_outcome::not_run) {
        server.failing += average_weight * ((good ? 0.0 : 1.0) - server.failing);
        note_backoff(step, server, event, good, elapsed);
    }
    if (good) {
        ++server.answers;
        server.failures_in_row = 0;
        server.spare_window = std::min(largest_spare_window, server.spare_window + window_growth);
        // Without a queue at the server, the whole elapsed time is service time. An error may come without any work.
        const bool shows_work = event.status < 400 || !learns_capacity(step.state);
        if (event.load && event.load->waiting == 0 && shows_work) {
            note_work(step, server, event, elapsed);
        }
        return;
    }
    // The owner of a key that rejects requests although it has room may take the next one at once.
    const bool waiting_helps = !learns_capacity(step.state) || was_full(server, event) ||
                               event.outcome != attempt_outcome::not_run ||
                               !divided_by_key(step.state, server.registration.service);
    if (waiting_helps &&
        (event.outcome == attempt_outcome::not_run || event.outcome == attempt_outcome::connection_lost)) {
        server.spare_window = std::max(smallest_spare_window, server.spare_window - 1);
        server.paused_until = std::max(server.paused_until, step.now + full_server_pause);
    }
    if (event.outcome == attempt_outcome::not_connected) {
        const auto pause = unreachable_pause * (1 << std::min(server.failures_in_row, 4));
        ++server.failures_in_row;
        server.paused_until = std::max(server.paused_until, step.now + std::min(longest_pause, pause));
    }
    if (bad && server.failing > failing_share) {
        server.paused_until = std::max(server.paused_until, step.now + failing_pause);
    }
}

} // namespace lovagetack::routing
