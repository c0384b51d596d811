#pragma once

#include <cstdint>

#include "base/result.hpp"

namespace lovagetack::cli {

/// Exit status of the program, tabled in docs/result-codes.md.
enum class exit_code : std::uint8_t {
    done = 0,
    failed = 1,
    usage = 2,
    settings_invalid = 3,
    unreachable = 4,
    conflict = 5,
    outcome_differs = 6,
    address_in_use = 7,
};

[[nodiscard]] exit_code exit_code_of(base::result_code code);

/// Prints "error code=... name=... message" to standard error and returns the exit status.
exit_code report(const base::error& error);

} // namespace lovagetack::cli
