#pragma once

#include <cstdint>

#include "base/fields.hpp"

namespace lovagetack::stand_ins {

/// Totals since the start of the process, which a simulated restart does not reset; executing, queued and connections
/// are current values.
struct backend_counters {
    std::int64_t requests = 0;
    std::int64_t executions = 0;
    std::int64_t answered = 0;
    std::int64_t shed = 0;
    std::int64_t refused_draining = 0;
    /// Requests refused by the check of lease, range and fence.
    std::int64_t refused_grant = 0;
    std::int64_t refused_deadline = 0;
    std::int64_t overloaded = 0;
    std::int64_t cancelled = 0;
    std::int64_t grant_polls = 0;
    std::int32_t executing = 0;
    std::int32_t queued = 0;
    std::int32_t highest_executing = 0;
    /// Open connections, including those for control calls.
    std::int32_t connections = 0;
    std::int32_t highest_connections = 0;
    /// Connections closed when accepted, because the limit was reached.
    std::int32_t refused_connections = 0;
};

} // namespace lovagetack::stand_ins

template <>
struct lovagetack::base::fields_of<lovagetack::stand_ins::backend_counters> {
    static constexpr std::string_view name = "backend_counters";
    static constexpr auto list =
        std::make_tuple(make_field("requests", &stand_ins::backend_counters::requests),
                        make_field("executions", &stand_ins::backend_counters::executions),
                        make_field("answered", &stand_ins::backend_counters::answered),
                        make_field("shed", &stand_ins::backend_counters::shed),
                        make_field("refused_draining", &stand_ins::backend_counters::refused_draining),
                        make_field("refused_grant", &stand_ins::backend_counters::refused_grant),
                        make_field("refused_deadline", &stand_ins::backend_counters::refused_deadline),
                        make_field("overloaded", &stand_ins::backend_counters::overloaded),
                        make_field("cancelled", &stand_ins::backend_counters::cancelled),
                        make_field("grant_polls", &stand_ins::backend_counters::grant_polls),
                        make_field("executing", &stand_ins::backend_counters::executing),
                        make_field("queued", &stand_ins::backend_counters::queued),
                        make_field("highest_executing", &stand_ins::backend_counters::highest_executing),
                        make_field("connections", &stand_ins::backend_counters::connections),
                        make_field("highest_connections", &stand_ins::backend_counters::highest_connections),
                        make_field("refused_connections", &stand_ins::backend_counters::refused_connections));
};
