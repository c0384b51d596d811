#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "base/fields.hpp"
#include "model/ids.hpp"

namespace lovagetack::model {

/// A range with the fence under which it is granted.
struct granted_range {
    service_id service;
    std::uint64_t first = 0;
    std::uint64_t last = 0;
    model::fence fence;

    bool operator==(const granted_range&) const = default;
};

/// Body of POST /lovagetack/grant: renews a lease and replaces the list of granted ranges.
struct grant_poll {
    model::epoch epoch;
    /// Within an epoch the higher version replaces the lower; a poll with a lower one is ignored.
    std::uint64_t grant_version = 0;
    /// The clock of the previous answer of the same boot; 0 grants no lease.
    std::chrono::microseconds lease_from = std::chrono::microseconds(0);
    /// The boot that lease_from belongs to; a server with a different boot id ignores the lease.
    std::string lease_boot_id;
    std::chrono::microseconds lease_time = std::chrono::microseconds(0);
    /// False leaves the granted ranges as they are.
    bool replace_ranges = false;
    std::vector<granted_range> ranges;

    bool operator==(const grant_poll&) const = default;
};

/// Requests of a granted or recently revoked range that are being executed.
struct range_activity {
    std::uint64_t first = 0;
    std::uint64_t last = 0;
    service_id service;
    std::int32_t in_flight = 0;

    bool operator==(const range_activity&) const = default;
};

/// Answer to a grant poll. accepted is false when the epoch was below the highest seen.
struct grant_answer {
    bool accepted = false;
    /// The server's CLOCK_BOOTTIME when it answered.
    std::chrono::microseconds clock = std::chrono::microseconds(0);
    std::string boot_id;
    std::chrono::microseconds uptime = std::chrono::microseconds(0);
    /// The highest epoch seen.
    model::epoch epoch;
    std::uint64_t grant_version = 0;
    std::vector<granted_range> ranges;
    std::vector<range_activity> activity;
    std::int32_t in_flight = 0;
    bool draining = false;

    bool operator==(const grant_answer&) const = default;
};

} // namespace lovagetack::model

template <>
struct lovagetack::base::fields_of<lovagetack::model::granted_range> {
    static constexpr std::string_view name = "granted_range";
    static constexpr auto list = std::make_tuple(
        make_field("service", &model::granted_range::service), make_field("first", &model::granted_range::first),
        make_field("last", &model::granted_range::last), make_field("fence", &model::granted_range::fence));
};

template <>
struct lovagetack::base::fields_of<lovagetack::model::grant_poll> {
    static constexpr std::string_view name = "grant_poll";
    static constexpr auto list = std::make_tuple(make_field("epoch", &model::grant_poll::epoch),
                                                 make_field("grant_version", &model::grant_poll::grant_version),
                                                 make_field("lease_from", &model::grant_poll::lease_from),
                                                 make_field("lease_boot_id", &model::grant_poll::lease_boot_id),
                                                 make_field("lease_time", &model::grant_poll::lease_time),
                                                 make_field("replace_ranges", &model::grant_poll::replace_ranges),
                                                 make_field("ranges", &model::grant_poll::ranges));
};

template <>
struct lovagetack::base::fields_of<lovagetack::model::range_activity> {
    static constexpr std::string_view name = "range_activity";
    static constexpr auto list = std::make_tuple(make_field("first", &model::range_activity::first),
                                                 make_field("last", &model::range_activity::last),
                                                 make_field("service", &model::range_activity::service),
                                                 make_field("in_flight", &model::range_activity::in_flight));
};

template <>
struct lovagetack::base::fields_of<lovagetack::model::grant_answer> {
    static constexpr std::string_view name = "grant_answer";
    static constexpr auto list = std::make_tuple(
        make_field("accepted", &model::grant_answer::accepted), make_field("clock", &model::grant_answer::clock),
        make_field("boot_id", &model::grant_answer::boot_id), make_field("uptime", &model::grant_answer::uptime),
        make_field("epoch", &model::grant_answer::epoch),
        make_field("grant_version", &model::grant_answer::grant_version),
        make_field("ranges", &model::grant_answer::ranges), make_field("activity", &model::grant_answer::activity),
        make_field("in_flight", &model::grant_answer::in_flight),
        make_field("draining", &model::grant_answer::draining));
};
