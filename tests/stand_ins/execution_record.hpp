#pragma once

#include <cstdint>
#include <string>

#include "base/boot_time.hpp"
#include "base/fields.hpp"

namespace lovagetack::stand_ins {

/// One request whose execution a backend server started.
struct execution_record {
    std::string server;
    std::string boot_id;
    std::string request_id;
    std::string key;
    std::string service;
    std::string method;
    std::string idempotency_key;
    /// As received: "<epoch>.<sequence>", or empty.
    std::string fence;
    /// CLOCK_BOOTTIME of the machine, without the simulated rate and offset, so that servers can be compared.
    base::boot_time start;
    /// Zero while it runs; stays zero if a restart ended it.
    base::boot_time end;
    /// Status of the answer; 0 while it runs.
    std::int32_t status = 0;
    /// It arrived while the server was cold and received more requests than it could handle.
    bool overloaded = false;
    bool cancelled = false;
    /// False while it runs and when it ended without an effect (cancelled, deadline, lease lapsed, overloaded).
    bool committed = false;
};

} // namespace lovagetack::stand_ins

template <>
struct lovagetack::base::fields_of<lovagetack::stand_ins::execution_record> {
    static constexpr std::string_view name = "execution_record";
    static constexpr auto list = std::make_tuple(
        make_field("server", &stand_ins::execution_record::server),
        make_field("boot_id", &stand_ins::execution_record::boot_id),
        make_field("request_id", &stand_ins::execution_record::request_id),
        make_field("key", &stand_ins::execution_record::key),
        make_field("service", &stand_ins::execution_record::service),
        make_field("method", &stand_ins::execution_record::method),
        make_field("idempotency_key", &stand_ins::execution_record::idempotency_key),
        make_field("fence", &stand_ins::execution_record::fence),
        make_field("start", &stand_ins::execution_record::start), make_field("end", &stand_ins::execution_record::end),
        make_field("status", &stand_ins::execution_record::status),
        make_field("overloaded", &stand_ins::execution_record::overloaded),
        make_field("cancelled", &stand_ins::execution_record::cancelled),
        make_field("committed", &stand_ins::execution_record::committed));
};
