#pragma once

#include <set>
#include <vector>

#include "ownership/step.hpp"

/// Calls to the table service: controllers and assignments rows (3, 4.1, 4.5).
namespace lovagetack::ownership {

/// Makes the calls that are due: reading, reserving an epoch, recording the controller and the witnesses.
void run_store_calls(step& step);

void handle_store_reply(step& step, const model::store_reply& reply);

/// Whether this instance may write assignment rows: authority, its epoch recorded, rows read, the store up.
[[nodiscard]] bool may_write_rows(const step& step);

/// Whether a write of the row is waiting for its reply.
[[nodiscard]] bool is_writing(const state& state, const row_name& row);

/// Writes rows in one transaction, under the condition that the controller is unchanged.
void write_rows(step& step, std::vector<model::assignment> rows);

/// A fact of kind controller or assignment; a lower version than the known one is ignored.
void handle_row_fact(step& step, const model::fact& fact);

} // namespace lovagetack::ownership
