#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "base/result.hpp"
#include "model/address.hpp"

namespace lovagetack::cli {

/// The configuration as stored in the platform's table.
struct stored_configuration {
    /// Version of the row configuration/version; 0 before the first push.
    std::uint64_t version = 0;
    std::string base;
    /// By data centre.
    std::map<std::string, std::string> overlays;
};

/// Fails with platform_unreachable or platform_malformed_answer.
[[nodiscard]] base::result<stored_configuration> read_configuration(const model::address& platform);

/// Writes what differs between the two, in one transaction on the condition that `current` is still in force; yields
/// the new version. Fails with configuration_conflict, which shows both sides, or platform_unreachable. A lost answer
/// is resolved by reading back.
[[nodiscard]] base::result<std::uint64_t> write_configuration(const model::address& platform,
                                                              const stored_configuration& current,
                                                              const stored_configuration& next);

/// Describes two conflicting pushes: the lines in force and the lines that were to be pushed, where they differ.
[[nodiscard]] std::string describe_conflict(std::uint64_t edited_from, const stored_configuration& in_force,
                                            const stored_configuration& pushed);

} // namespace lovagetack::cli
