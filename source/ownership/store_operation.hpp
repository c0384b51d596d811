#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/boot_time.hpp"
#include "model/assignment.hpp"
#include "model/service_state.hpp"

namespace lovagetack::ownership {

enum class operation_kind : std::uint8_t {
    read_controller,
    read_assignments,
    write_controller,
    write_assignments,
};

/// Why a range is with its owner since its last change.
enum class change_reason : std::uint8_t {
    initial_assignment,
    failover,
    move,
    hot_key,
    balance,
    drain,
};

/// Reason and epoch of the last change of a range, for explain; known at the instance that wrote it.
struct recorded_change {
    std::uint64_t first = 0;
    std::uint64_t last = 0;
    change_reason reason = change_reason::initial_assignment;
    model::epoch epoch;
};

/// A call to the table service whose reply is awaited.
struct store_operation {
    operation_kind kind = operation_kind::read_controller;
    base::boot_time sent_at;
    /// Row values of a write, in the order of the transaction.
    std::vector<model::assignment> assignments;
    model::controller_record record;
    /// Changes to note for explain when the write is done.
    std::vector<std::pair<model::service_id, recorded_change>> changes;
};

} // namespace lovagetack::ownership
