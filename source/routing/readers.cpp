#include "routing/readers.hpp"

#include <algorithm>
#include <functional>
#include <tuple>

#include "routing/duty.hpp"
#include "routing/keeper.hpp"
#include "routing/log_fields.hpp"
#include "routing/servers.hpp"
#include "routing/store_version.hpp"
#include "routing/table_copy.hpp"

namespace lovagetack::routing {
namespace {

bool is_large(const state& state) {
    return state.instances.size() > small_deployment;
}

std::size_t index_of(followed_table table) {
    return static_cast<std::size_t>(table);
}

/// Instances with more processor time come first, ties are ordered by hash.
void rank_instances(state& state) {
    auto& ranks = state.readers.ranks;
    if (!ranks.empty()) {
        return;
    }
    for (const auto& [id, record] : state.instances) {
        if (record.protocol >= reader_protocol) {
            ranks[record.data_centre].push_back(id);
        }
    }
    const auto key = [&state](const model::instance_id& id) {
        const auto processor = static_cast<std::int64_t>(state.instances.at(id).processor);
        return std::tuple(-processor, std::hash<std::string>{}(id.value()), id);
    };
    for (auto& [data_centre, list] : ranks) {
        std::sort(list.begin(), list.end(),
                  [&key](const auto& left, const auto& right) { return key(left) < key(right); });
    }
}

/// Rank of an instance of the own data centre; past the last one if it is not known.
std::size_t rank_of(const state& state, const model::instance_id& instance) {
    const auto list = state.readers.ranks.find(state.self.data_centre);
    if (list == state.readers.ranks.end()) {
        return 0;
    }
    return static_cast<std::size_t>(std::find(list->second.begin(), list->second.end(), instance) -
                                    list->second.begin());
}

/// Tables whose changes have a time to be in force.
constexpr std::array timely_tables = {followed_table::operators, followed_table::registry};

bool is_usable_reader(const step& step, const reader_record& reader) {
    return reader.reads && reader.store_contact.count() > 0 && step.now - reader.heard_at < reader_silence &&
           step.now - reader.confirmed_at < longest_unconfirmed;
}

/// When all timely copies of the sender were last current.
base::boot_time confirmed_at(const step& step, const reader_heartbeat& event) {
    auto oldest = step.now;
    for (const auto table : timely_tables) {
        oldest = std::min<base::boot_time>(oldest, step.now - event.table_ages.at(index_of(table)));
    }
    return oldest;
}

/// The time by which this instance compares an unconfirmed copy later than others.
std::chrono::microseconds own_spread(const state& state) {
    const auto spread = static_cast<std::size_t>(unconfirmed_spread.count());
    return std::chrono::microseconds(std::hash<std::string>{}(state.self.instance.value()) % spread);
}

/// Messages of others may be lost for any time, so an instance that does not follow the store relies on them only as
/// long as they show that its copies are current.
void compare_unconfirmed_copies(step& step) {
    auto& readers = step.state.readers;
    if (readers.follows_store) {
        return;
    }
    for (const auto table : timely_tables) {
        const auto at = index_of(table);
        const auto age = step.now - readers.confirmed_at.at(at);
        if (age < longest_unconfirmed + own_spread(step.state) ||
            step.now - readers.compared_at.at(at) < confirmation_retry) {
            continue;
        }
        readers.compared_at.at(at) = step.now;
        step.add(log_line{
            false,
            "table_unconfirmed",
            {text_field("table", std::string(name_of(table))), number_field("version", readers.versions.at(at)),
             number_field("newest", readers.newest_heard.at(at)),
             number_field("age_ms", std::chrono::duration_cast<std::chrono::milliseconds>(age).count())}});
        step.add(catch_up{table});
    }
}

/// How long this instance waits for a reader before it follows the store itself.
std::chrono::microseconds takeover_delay(const state& state) {
    const auto rank = rank_of(state, state.self.instance);
    auto delay = reader_silence + reader_rank_delay * static_cast<std::int64_t>(std::min(rank, ranks_with_own_delay));
    if (rank >= ranks_with_own_delay) {
        const auto spread = static_cast<std::size_t>(reader_spread.count());
        delay += std::chrono::microseconds(std::hash<std::string>{}(state.self.instance.value()) % spread);
    }
    return delay;
}

bool should_read(const step& step) {
    const auto& readers = step.state.readers;
    const auto own_rank = rank_of(step.state, step.state.self.instance);
    const bool has_other = std::any_of(readers.heard.begin(), readers.heard.end(), [&](const auto& entry) {
        const bool precedes =
            !readers.reads || !step.state.store_reachable || rank_of(step.state, entry.first) < own_rank;
        return precedes && entry.second.data_centre == step.state.self.data_centre &&
               is_usable_reader(step, entry.second);
    });
    if (has_other || readers.reads) {
        return !has_other;
    }
    const auto delay = own_rank == 0 ? std::chrono::microseconds(0) : takeover_delay(step.state);
    return step.now - readers.reader_heard_at >= delay;
}

/// The instances of the own data centre, and the first ones of the others.
std::vector<model::instance_id> receivers_of(const state& state, bool own_data_centre) {
    std::vector<model::instance_id> receivers;
    for (const auto& [data_centre, list] : state.readers.ranks) {
        const bool own = data_centre == state.self.data_centre;
        if (own && !own_data_centre) {
            receivers.push_back(list.front());
            continue;
        }
        const auto count = own ? list.size() : std::min(list.size(), remote_receivers);
        receivers.insert(receivers.end(), list.begin(), list.begin() + static_cast<std::ptrdiff_t>(count));
    }
    // Readers that have taken over from the first ones.
    for (const auto& [id, reader] : state.readers.heard) {
        if (reader.reads && std::find(receivers.begin(), receivers.end(), id) == receivers.end()) {
            receivers.push_back(id);
        }
    }
    std::erase(receivers, state.self.instance);
    return receivers;
}

void send_heartbeat_if_due(step& step) {
    auto& state = step.state;
    auto& readers = state.readers;
    const bool is_keeper = state.keeper.phase == keeper_phase::holding;
    if ((!readers.reads && !is_keeper) || step.now - readers.heartbeat_at < heartbeat_period) {
        return;
    }
    readers.heartbeat_at = step.now;
    reader_heartbeat heartbeat;
    heartbeat.instance = state.self.instance;
    heartbeat.data_centre = state.self.data_centre;
    heartbeat.reads = readers.reads;
    heartbeat.store_contact = store_contact(state, step.now);
    heartbeat.keeper_age = keeper_age(state, step.now);
    heartbeat.tables = readers.versions;
    for (const auto table : followed_tables) {
        const auto age = step.now - readers.confirmed_at.at(index_of(table));
        heartbeat.table_ages.at(index_of(table)) = std::chrono::duration_cast<std::chrono::milliseconds>(age);
    }
    for (const auto& [name, service] : state.services) {
        if (service.assignment_version > 0) {
            heartbeat.assignments[name] = service.assignment_version;
        }
    }
    step.add(send_heartbeat{std::move(heartbeat), receivers_of(state, readers.reads)});
}

void decide_role(step& step) {
    auto& state = step.state;
    auto& readers = state.readers;
    const bool reads = !is_large(state) || should_read(step);
    if (reads != readers.reads) {
        readers.reads = reads;
        step.add(log_line{false,
                          reads ? "reader_started" : "reader_stopped",
                          {number_field("rank", rank_of(state, state.self.instance)),
                           number_field("instances", state.instances.size())}});
    }
    const bool is_keeper = state.keeper.phase == keeper_phase::holding || state.keeper.phase == keeper_phase::reading;
    const bool follows = reads || is_keeper;
    const auto longest_wait = is_large(state) ? reader_wait : small_deployment_wait;
    if (follows != readers.follows_store || longest_wait != readers.longest_wait) {
        readers.follows_store = follows;
        readers.longest_wait = longest_wait;
        step.add(follow_store{follows, longest_wait});
    }
}

void close_gap(step& step, followed_table table, std::uint64_t version, const model::instance_id& sender) {
    auto& readers = step.state.readers;
    const auto at = index_of(table);
    if (version <= readers.versions.at(at) || readers.follows_store) {
        readers.gap_since.at(at) = {};
        return;
    }
    if (readers.gap_since.at(at) == base::boot_time()) {
        readers.gap_since.at(at) = step.now;
        return;
    }
    if (step.now - readers.gap_since.at(at) < gap_tolerance || step.now - readers.asked_at.at(at) < gap_retry) {
        return;
    }
    readers.asked_at.at(at) = step.now;
    step.add(
        log_line{false,
                 "table_gap",
                 {text_field("table", std::string(name_of(table))), number_field("version", readers.versions.at(at)),
                  number_field("newest", version), text_field("asked", sender.value())}});
    step.add(request_table_changes{sender, {step.state.self.instance, table, readers.versions.at(at)}});
}

} // namespace

std::string_view name_of(followed_table table) {
    switch (table) {
    case followed_table::operators:
        return "operators";
    case followed_table::registry:
        return "registry";
    case followed_table::instances:
        return "instances";
    }
    return "";
}

std::uint64_t table_version(const state& state, followed_table table) {
    return state.readers.versions.at(index_of(table));
}

std::uint64_t newest_heard(const state& state, followed_table table) {
    return state.readers.newest_heard.at(index_of(table));
}

model::instance_id nearest_reader(const state& state) {
    if (state.readers.reads) {
        return state.self.instance;
    }
    model::instance_id nearest;
    base::boot_time heard_at;
    for (const auto& [id, reader] : state.readers.heard) {
        if (reader.reads && reader.data_centre == state.self.data_centre && reader.heard_at > heard_at) {
            nearest = id;
            heard_at = reader.heard_at;
        }
    }
    return nearest;
}

void note_table(step& step, const table_updated& event) {
    auto& state = step.state;
    state.readers.versions.at(index_of(event.news.table)) = event.version;
    if (event.from_store) {
        state.readers.confirmed_at.at(index_of(event.news.table)) = step.now;
    }
    if (!event.from_store || event.news.rows.empty() || !is_large(state) || !state.readers.reads) {
        return;
    }
    rank_instances(state);
    const auto receivers = receivers_of(state, true);
    for (auto& part : divide(event.news, rows_per_message)) {
        step.add(send_table_change{std::move(part), receivers});
    }
}

void note_heartbeat(step& step, const reader_heartbeat& event) {
    auto& state = step.state;
    auto& readers = state.readers;
    if (event.instance == state.self.instance) {
        return;
    }
    readers.heard[event.instance] = {event.data_centre, step.now, event.reads, event.store_contact,
                                     confirmed_at(step, event)};
    if (event.keeper_age) {
        note_keeper_alive(step, step.now - *event.keeper_age);
    }
    if (!is_large(state)) {
        return;
    }
    const bool reads_store = event.reads && event.store_contact.count() > 0;
    if (event.data_centre == state.self.data_centre && is_usable_reader(step, readers.heard.at(event.instance))) {
        readers.reader_heard_at = step.now;
        if (!readers.follows_store) {
            set_store_reachable(step, true);
        }
    }
    note_store_contact(step, event.store_contact);
    if (!reads_store) {
        return;
    }
    for (const auto table : followed_tables) {
        const auto version = event.tables.at(index_of(table));
        auto& newest = readers.newest_heard.at(index_of(table));
        newest = std::max(newest, version);
        if (version <= readers.versions.at(index_of(table))) {
            auto& confirmed = readers.confirmed_at.at(index_of(table));
            confirmed = std::max<base::boot_time>(confirmed, step.now - event.table_ages.at(index_of(table)));
        }
        note_store_era(step, era_of(version));
        close_gap(step, table, version, event.instance);
    }
    for (const auto& [service, version] : event.assignments) {
        note_assignment_version(step, service, version);
    }
}

void receive_table_change(step& step, const table_change_received& event) {
    auto& state = step.state;
    const auto sender = state.instances.find(event.sender);
    const bool is_remote = sender == state.instances.end() || sender->second.data_centre != state.self.data_centre;
    const bool is_news = event.change.version > state.readers.versions.at(index_of(event.change.table));
    note_store_era(step, era_of(event.change.version));
    step.add(apply_table_change{event.change});
    if (is_remote && is_news && is_large(state) && state.readers.reads) {
        rank_instances(state);
        auto receivers = receivers_of(state, true);
        std::erase_if(receivers, [&state](const model::instance_id& id) {
            const auto found = state.instances.find(id);
            return found == state.instances.end() || found->second.data_centre != state.self.data_centre;
        });
        step.add(send_table_change{event.change, std::move(receivers)});
    }
}

void forget_reader_ranks(step& step) {
    step.state.readers.ranks.clear();
}

void run_readers(step& step) {
    auto& state = step.state;
    auto& readers = state.readers;
    if (!state.registry_known || !state.assignments_known) {
        return;
    }
    if (readers.reader_heard_at == base::boot_time()) {
        readers.reader_heard_at = step.now;
    }
    rank_instances(state);
    std::erase_if(readers.heard,
                  [&step](const auto& entry) { return step.now - entry.second.heard_at > peer_timeout * 2; });
    decide_role(step);
    if (is_large(state)) {
        compare_unconfirmed_copies(step);
        send_heartbeat_if_due(step);
    }
}

} // namespace lovagetack::routing
