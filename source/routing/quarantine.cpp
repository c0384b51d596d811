#include "routing/quarantine.hpp"

#include <algorithm>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "base/key_hash.hpp"
#include "base/printable_text.hpp"
#include "routing/exchanges.hpp"
#include "routing/limits.hpp"
#include "routing/log_fields.hpp"
#include "routing/servers.hpp"
#include "routing/signals.hpp"

namespace lovagetack::routing {
namespace {

std::chrono::milliseconds in_whole_milliseconds(std::chrono::microseconds time) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(time);
}

/// The instances that count the strikes of a request: all of a small deployment, else the first by rendezvous hashing.
/// Several, since each of them can be down and each message can be lost.
std::vector<model::instance_id> collectors_of(const state& state, request_fingerprint request) {
    std::vector<std::pair<std::uint64_t, const model::instance_id*>> ranked;
    ranked.reserve(state.instances.size());
    const auto item = std::to_string(request);
    for (const auto& [id, record] : state.instances) {
        if (record.protocol >= quarantine_protocol || id == state.self.instance) {
            ranked.emplace_back(base::rendezvous_score(item, id.value()), &id);
        }
    }
    const auto count =
        state.instances.size() > small_deployment ? std::min(strike_collectors, ranked.size()) : ranked.size();
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count), ranked.end(),
                      [](const auto& left, const auto& right) {
                          return left.first != right.first ? left.first > right.first : *left.second > *right.second;
                      });
    std::vector<model::instance_id> collectors;
    collectors.reserve(count);
    for (std::size_t rank = 0; rank < count; ++rank) {
        collectors.push_back(*ranked[rank].second);
    }
    return collectors;
}

/// Position of this instance among the collectors of the request; nothing if it is none.
std::optional<std::size_t> own_rank(const state& state, request_fingerprint request) {
    const auto collectors = collectors_of(state, request);
    const auto found = std::find(collectors.begin(), collectors.end(), state.self.instance);
    if (found == collectors.end()) {
        return std::nullopt;
    }
    return static_cast<std::size_t>(found - collectors.begin());
}

/// Host and path in printable ASCII: protobuf rejects a message with other bytes, and the query may be private.
std::string shown_target(const exchange& exchange) {
    const auto path = exchange.request.path.substr(0, exchange.request.path.find('?'));
    return base::printable_text(exchange.request.host + path, longest_target);
}

void report_strike(step& step, const suspicion& suspicion) {
    const request_strike strike{suspicion.request, suspicion.target, suspicion.server, suspicion.server_born};
    step.state.quarantine.good_ends.erase(suspicion.request);
    step.add(log_line{true,
                      "server_ended_under_request",
                      {text_field("server", suspicion.server.value()), text_field("target", suspicion.target),
                       number_field("fingerprint", suspicion.request)}});
    for (const auto& receiver : collectors_of(step.state, suspicion.request)) {
        if (receiver == step.state.self.instance) {
            collect_strike(step, strike);
        } else {
            step.add(send_strike{receiver, strike});
        }
    }
}

/// The suspicion that the request ends the server. Nothing if the registry has shown the end of the run already: it
/// does not show it again, so that is reported as a strike.
std::optional<suspicion> suspect_living_run(step& step, const exchange& exchange, const server_record& server) {
    suspicion suspicion{exchange.request.fingerprint, shown_target(exchange), exchange.server, exchange.server_born,
                        step.now};
    if (server.registration.born == exchange.server_born) {
        return suspicion;
    }
    report_strike(step, suspicion);
    return std::nullopt;
}

/// Tells the collectors that the request has ended well, although servers are said to end under it.
void object(step& step, request_fingerprint request, base::boot_time good_end) {
    const quarantine_objection objection{request, in_whole_milliseconds(step.now - good_end)};
    for (const auto& receiver : collectors_of(step.state, request)) {
        if (receiver == step.state.self.instance) {
            collect_objection(step, objection);
        } else {
            step.add(send_objection{receiver, objection});
        }
    }
}

void forget_oldest_struck_request(quarantine_state& quarantine) {
    const auto oldest =
        std::min_element(quarantine.struck.begin(), quarantine.struck.end(), [](const auto& left, const auto& right) {
            return left.second.last_strike_at < right.second.last_strike_at;
        });
    quarantine.struck.erase(oldest);
}

void forget_old_good_ends(quarantine_state& quarantine, base::boot_time now) {
    auto& order = quarantine.good_end_order;
    while (!order.empty() && (now - order.front().first > good_end_memory || order.size() > most_good_ends)) {
        const auto [at, request] = order.front();
        order.pop_front();
        const auto found = quarantine.good_ends.find(request);
        if (found != quarantine.good_ends.end() && found->second <= at) {
            quarantine.good_ends.erase(found);
        }
    }
}

/// Asks for a probe of the server; false if there was one just now, or the server has asked for a pause.
bool probe(step& step, const server_record& server) {
    if (is_pausing(server, step.now)) {
        return false;
    }
    auto& probed_at = step.state.quarantine.probed_at[server.registration.id];
    if (probed_at != base::boot_time() && step.now - probed_at < probe_pause) {
        return false;
    }
    probed_at = step.now;
    step.add(probe_server{server.registration.id, server.registration.address});
    return true;
}

/// Asks for the probes that came too soon after another one.
void send_late_probes(step& step) {
    auto& suspicions = step.state.quarantine.suspicions;
    for (auto& item : suspicions) {
        const auto server = step.state.servers.find(item.server);
        if (!item.needs_probe || server == step.state.servers.end() || !probe(step, server->second)) {
            continue;
        }
        for (auto& other : suspicions) {
            other.needs_probe = other.needs_probe && other.server != item.server;
        }
    }
}

/// Whether the server leaves, so that its end is no sign against a request that was cancelled there or had begun its
/// answer.
bool is_expected_to_end(const server_record& server) {
    return is_leaving(server) || server.evacuated_since;
}

/// Removes the items of runs of the server other than the living one, and returns them.
std::vector<suspicion> take_ended(std::deque<suspicion>& items, const model::backend_server_id& server,
                                  std::optional<std::uint64_t> living_run) {
    std::vector<suspicion> taken;
    std::erase_if(items, [&](const suspicion& item) {
        const bool is_ended = item.server == server && item.server_born != living_run;
        if (is_ended) {
            taken.push_back(item);
        }
        return is_ended;
    });
    return taken;
}

void forget_old(std::deque<suspicion>& items, base::boot_time now) {
    while (!items.empty() && now - items.front().since > suspicion_time) {
        items.pop_front();
    }
}

/// Whether the registry has dropped the server, and so does not show its end again.
bool is_removed(const state& state, const model::backend_server_id& server) {
    const auto found = state.servers.find(server);
    return found != state.servers.end() && !found->second.registered;
}

/// Removes the row of a quarantine, unless that was done just now.
void lift(step& step, request_fingerprint request, quarantined_request& record) {
    if (record.lifted_at == base::boot_time() || step.now - record.lifted_at >= quarantine_retry) {
        record.lifted_at = step.now;
        step.add(lift_quarantine{request});
    }
}

/// Ends quarantines that have lasted long enough. To rank the instances costs much more than to look at a time, so each
/// record holds when that is due.
void end_old_quarantines(step& step) {
    for (auto& [request, record] : step.state.quarantine.requests) {
        if (step.now < record.next_check) {
            continue;
        }
        const auto rank = own_rank(step.state, request);
        if (!rank) {
            // Instances may come and go until then.
            record.next_check = step.now + quarantine_rank_delay;
            continue;
        }
        const auto own_time = record.since + quarantine_time + quarantine_rank_delay * static_cast<std::int64_t>(*rank);
        if (step.now < own_time) {
            record.next_check = own_time;
            continue;
        }
        record.next_check = step.now + quarantine_retry;
        lift(step, request, record);
    }
}

/// Writes the row of a request with enough strikes, unless that was done just now.
void write_if_due(step& step, request_fingerprint request, struck_request& record) {
    const auto& quarantine = step.state.quarantine;
    const bool is_due = record.runs.size() >= quarantine_strikes && !quarantine.requests.contains(request) &&
                        quarantine.requests.size() < most_quarantined_requests;
    if (is_due && (record.written_at == base::boot_time() || step.now - record.written_at >= quarantine_retry)) {
        record.written_at = step.now;
        step.add(write_quarantine{request, record.target});
    }
}

} // namespace

bool is_quarantined(const state& state, request_fingerprint request) {
    return request != 0 && state.quarantine.requests.contains(request);
}

std::chrono::milliseconds quarantine_time_left(const step& step, request_fingerprint request) {
    const auto found = step.state.quarantine.requests.find(request);
    const auto since = found == step.state.quarantine.requests.end() ? step.now : found->second.since;
    return std::max(std::chrono::milliseconds(1000), in_whole_milliseconds(since + quarantine_time - step.now));
}

void suspect_request(step& step, const exchange& exchange, attempt_outcome outcome) {
    auto& quarantine = step.state.quarantine;
    const auto server = step.state.servers.find(exchange.server);
    if (exchange.request.fingerprint == 0 || server == step.state.servers.end()) {
        return;
    }
    if (outcome == attempt_outcome::cut_short && is_expected_to_end(server->second)) {
        return;
    }
    const auto suspicion = suspect_living_run(step, exchange, server->second);
    if (!suspicion) {
        return;
    }
    if (quarantine.suspicions.size() >= most_suspicions) {
        quarantine.suspicions.pop_front();
    }
    quarantine.suspicions.push_back(*suspicion);
    quarantine.suspicions.back().needs_probe = !probe(step, server->second);
}

void note_cancelled_request(step& step, const exchange& exchange) {
    auto& cancelled = step.state.quarantine.cancelled;
    const auto server = step.state.servers.find(exchange.server);
    // A request that has begun its answer was run without harm so far, and most streams end by cancellation.
    const bool may_be_at_work = exchange.phase == exchange_phase::sent && exchange.sending && !exchange.forwarding;
    if (!may_be_at_work || exchange.request.fingerprint == 0 || server == step.state.servers.end() ||
        is_expected_to_end(server->second)) {
        return;
    }
    const auto suspicion = suspect_living_run(step, exchange, server->second);
    if (!suspicion) {
        return;
    }
    // Callers that repeat one request at one server take one entry.
    std::erase_if(cancelled, [&suspicion](const auto& item) {
        return item.request == suspicion->request && item.server == suspicion->server &&
               item.server_born == suspicion->server_born;
    });
    if (cancelled.size() >= most_cancelled_requests) {
        cancelled.pop_front();
    }
    cancelled.push_back(*suspicion);
}

void note_unreachable_server(step& step, const model::backend_server_id& server) {
    const auto& cancelled = step.state.quarantine.cancelled;
    const auto found = step.state.servers.find(server);
    const bool is_concerned = std::any_of(cancelled.begin(), cancelled.end(),
                                          [&server](const suspicion& item) { return item.server == server; });
    if (is_concerned && found != step.state.servers.end()) {
        probe(step, found->second);
    }
}

bool is_suspected_again(const state& state, request_fingerprint request) {
    if (request == 0) {
        return false;
    }
    const auto& quarantine = state.quarantine;
    std::set<std::pair<model::backend_server_id, std::uint64_t>> runs;
    for (const auto& item : quarantine.suspicions) {
        if (item.request == request) {
            runs.emplace(item.server, item.server_born);
        }
    }
    const auto struck = quarantine.struck.find(request);
    if (struck != quarantine.struck.end()) {
        for (const auto& [run, time] : struck->second.runs) {
            runs.insert(run);
        }
    }
    return runs.size() > 1;
}

void note_good_end(step& step, request_fingerprint request) {
    if (request == 0) {
        return;
    }
    auto& quarantine = step.state.quarantine;
    auto& good_end = quarantine.good_ends[request];
    // A request that ends well all the time takes few of the entries.
    if (good_end == base::boot_time() || step.now - good_end >= good_end_refresh) {
        good_end = step.now;
        quarantine.good_end_order.emplace_back(step.now, request);
        forget_old_good_ends(quarantine, step.now);
    }
    if (quarantine.requests.contains(request) || quarantine.struck.contains(request)) {
        object(step, request, step.now);
        // This instance may no longer be a collector of the request.
        quarantine.struck.erase(request);
    }
}

void note_server_ended(step& step, const model::backend_server_id& server, std::optional<std::uint64_t> living_run) {
    auto& quarantine = step.state.quarantine;
    for (const auto& item : take_ended(quarantine.suspicions, server, living_run)) {
        report_strike(step, item);
    }
    const auto cancelled = take_ended(quarantine.cancelled, server, living_run);
    const auto record = step.state.servers.find(server);
    if (record == step.state.servers.end() || is_expected_to_end(record->second)) {
        return;
    }
    for (const auto& item : cancelled) {
        report_strike(step, item);
    }
}

void end_probe(step& step, const server_probed& event) {
    const bool is_silent = event.outcome == probe_outcome::unanswered && is_removed(step.state, event.server);
    if (event.outcome == probe_outcome::refused || is_silent) {
        note_server_ended(step, event.server, std::nullopt);
    } else if (event.outcome == probe_outcome::connected) {
        // The server may have ended after the probe.
        std::erase_if(step.state.quarantine.suspicions,
                      [&event](const suspicion& item) { return item.server == event.server && !item.needs_probe; });
    }
}

void collect_strike(step& step, const request_strike& strike) {
    auto& quarantine = step.state.quarantine;
    if (!quarantine.struck.contains(strike.request) && quarantine.struck.size() >= most_struck_requests) {
        forget_oldest_struck_request(quarantine);
    }
    auto& record = quarantine.struck[strike.request];
    record.target = strike.target;
    record.last_strike_at = step.now;
    record.runs.try_emplace({strike.server, strike.server_born}, step.now);
    write_if_due(step, strike.request, record);
}

void collect_objection(step& step, const quarantine_objection& objection) {
    auto& quarantine = step.state.quarantine;
    const auto good_end = step.now - objection.age;
    const auto found = quarantine.struck.find(objection.request);
    std::size_t dropped = 0;
    if (found != quarantine.struck.end()) {
        dropped = std::erase_if(found->second.runs, [good_end](const auto& run) { return run.second <= good_end; });
        if (found->second.runs.size() >= quarantine_strikes) {
            return;
        }
        if (found->second.runs.empty()) {
            quarantine.struck.erase(found);
        }
    }
    const auto quarantined = quarantine.requests.find(objection.request);
    // A collector that does not know the strikes cannot tell whether the request ended well before or after them.
    if (quarantined != quarantine.requests.end() && (dropped > 0 || good_end >= quarantined->second.since)) {
        lift(step, objection.request, quarantined->second);
    }
}

void begin_quarantine(step& step, request_fingerprint request) {
    auto& quarantine = step.state.quarantine;
    if (!quarantine.requests.try_emplace(request, quarantined_request{step.now, {}, step.now + quarantine_time})
             .second) {
        return;
    }
    step.add(log_line{true, "request_quarantined", {number_field("fingerprint", request)}});
    const auto good_end = quarantine.good_ends.find(request);
    if (good_end != quarantine.good_ends.end()) {
        object(step, request, good_end->second);
    }
    std::vector<exchange_id> waiting;
    for (const auto& [id, exchange] : step.state.exchanges) {
        if (exchange.request.fingerprint == request && exchange.phase != exchange_phase::sent) {
            waiting.push_back(id);
        }
    }
    for (const auto id : waiting) {
        answer(step, id, base::result_code::request_quarantined, quarantine_time_left(step, request));
    }
}

void end_quarantine(step& step, request_fingerprint request) {
    auto& quarantine = step.state.quarantine;
    const auto found = quarantine.requests.find(request);
    if (found == quarantine.requests.end()) {
        return;
    }
    // Other collectors may have learned of the row a little later. A row that was lost earlier is written again.
    const bool is_over = step.now - found->second.since >= quarantine_time - quarantine_rank_delay;
    const auto struck = quarantine.struck.find(request);
    while (is_over && struck != quarantine.struck.end() && struck->second.runs.size() >= quarantine_strikes) {
        // One strike fewer is left, so that the next one begins the quarantine again.
        struck->second.runs.erase(struck->second.runs.begin());
    }
    quarantine.requests.erase(found);
    step.add(log_line{false, "quarantine_ended", {number_field("fingerprint", request)}});
}

void run_quarantine(step& step) {
    auto& quarantine = step.state.quarantine;
    if (step.now < quarantine.next_check) {
        return;
    }
    quarantine.next_check = step.now + quarantine_check_period;
    forget_old(quarantine.suspicions, step.now);
    forget_old(quarantine.cancelled, step.now);
    send_late_probes(step);
    std::erase_if(quarantine.probed_at, [&step](const auto& entry) { return step.now - entry.second > probe_pause; });
    std::erase_if(quarantine.struck,
                  [&step](const auto& entry) { return step.now - entry.second.last_strike_at > strike_memory; });
    for (auto& [request, record] : quarantine.struck) {
        write_if_due(step, request, record);
    }
    end_old_quarantines(step);
}

} // namespace lovagetack::routing
