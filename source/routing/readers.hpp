#pragma once

#include <cstdint>
#include <string_view>

#include "routing/step.hpp"

namespace lovagetack::routing {

// Who follows the store in a large deployment.
//
// Calls to the store have a price, so that not every instance can follow its tables. In each data centre the first
// instance by rank, the reader, follows them and passes changes on to the instances of its data centre and to readers
// of the others. Its heartbeats carry the versions of its tables, by which the others notice a missed change. An
// instance that hears no reader that reaches the store follows the tables itself. Two readers at once do no harm.
//
// Messages get lost and a reader may be cut off without knowing it, so heartbeats also tell how long ago the sender's
// copies were known to be current. An instance that was not shown in time that its own copy is current asks the store.

[[nodiscard]] std::string_view name_of(followed_table table);

/// Version of the own copy of a table.
[[nodiscard]] std::uint64_t table_version(const state& state, followed_table table);

/// The newest version of a table that a reader has named; 0 if none has.
[[nodiscard]] std::uint64_t newest_heard(const state& state, followed_table table);

/// The reader of the own data centre that was heard last; this instance if it is a reader, empty if there is none.
[[nodiscard]] model::instance_id nearest_reader(const state& state);

void note_table(step& step, const table_updated& event);
void note_heartbeat(step& step, const reader_heartbeat& event);
void receive_table_change(step& step, const table_change_received& event);

/// Ranks the instances again after one has been added, changed or removed.
void forget_reader_ranks(step& step);

/// Decides whether this instance follows the store, and sends its heartbeat.
void run_readers(step& step);

} // namespace lovagetack::routing
