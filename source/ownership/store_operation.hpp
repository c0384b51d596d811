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

/// A call to the table service whose reply is awaited.
struct store_operation {
    operation_kind kind = operation_kind::read_controller;
    base::boot_time sent_at;
    /// Row values of a write, in the order of the transaction.
    std::vector<model::assignment> assignments;
    model::controller_record record;
};

} // namespace lovagetack::ownership
