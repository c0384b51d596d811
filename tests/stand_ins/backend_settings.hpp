#pragma once

#include <cstdint>
#include <string>

#include "base/fields.hpp"

namespace lovagetack::stand_ins {

/// Settings of one backend server; POST /control can change every field while it runs.
struct backend_settings {
    /// Number of requests executed concurrently.
    std::int32_t slots = 2;
    /// Number of requests that can wait for a slot; further ones are shed.
    std::int32_t queue = 16;
    /// Number of open connections; further ones are closed when accepted.
    std::int32_t connections = 110;
    std::int32_t service_time_ms = 1;
    /// "fixed", or "exponential" with service_time_ms as the mean.
    std::string distribution = "fixed";
    /// Seed of the random service times. It is combined with the server's name, so that servers differ.
    std::int32_t seed = 1;
    double straggler_factor = 1.0;
    bool draining = false;
    bool checks_grants = false;
    /// Rate of the simulated clock relative to CLOCK_BOOTTIME; 1.01 runs 1% faster.
    double clock_rate = 1.0;
    std::int64_t clock_offset_ms = 0;
    /// A server that starts cold handles cold_first_rate requests/s. The rate grows linearly with the number of
    /// answered requests, up to cold_full_rate after cold_requests of them; then the server is warm and handles any
    /// rate.
    bool starts_cold = false;
    std::int32_t cold_first_rate = 40;
    std::int32_t cold_full_rate = 2000;
    std::int32_t cold_requests = 200;
    /// Time that an overloaded server takes to fail a request.
    std::int32_t overload_delay_ms = 1000;
    /// Age of the load that GET /lovagetack/load returns.
    std::int32_t load_lag_ms = 0;
    /// "honest", "always-ok" or "always-failing".
    std::string health = "honest";
    /// Executions beyond this many are counted but not recorded.
    std::int32_t record_limit = 1000000;
};

} // namespace lovagetack::stand_ins

template <>
struct lovagetack::base::fields_of<lovagetack::stand_ins::backend_settings> {
    static constexpr std::string_view name = "backend_settings";
    static constexpr auto list =
        std::make_tuple(make_field("slots", &stand_ins::backend_settings::slots),
                        make_field("queue", &stand_ins::backend_settings::queue),
                        make_field("connections", &stand_ins::backend_settings::connections),
                        make_field("service_time_ms", &stand_ins::backend_settings::service_time_ms),
                        make_field("distribution", &stand_ins::backend_settings::distribution),
                        make_field("seed", &stand_ins::backend_settings::seed),
                        make_field("straggler_factor", &stand_ins::backend_settings::straggler_factor),
                        make_field("draining", &stand_ins::backend_settings::draining),
                        make_field("checks_grants", &stand_ins::backend_settings::checks_grants),
                        make_field("clock_rate", &stand_ins::backend_settings::clock_rate),
                        make_field("clock_offset_ms", &stand_ins::backend_settings::clock_offset_ms),
                        make_field("starts_cold", &stand_ins::backend_settings::starts_cold),
                        make_field("cold_first_rate", &stand_ins::backend_settings::cold_first_rate),
                        make_field("cold_full_rate", &stand_ins::backend_settings::cold_full_rate),
                        make_field("cold_requests", &stand_ins::backend_settings::cold_requests),
                        make_field("overload_delay_ms", &stand_ins::backend_settings::overload_delay_ms),
                        make_field("load_lag_ms", &stand_ins::backend_settings::load_lag_ms),
                        make_field("health", &stand_ins::backend_settings::health),
                        make_field("record_limit", &stand_ins::backend_settings::record_limit));
};
