#pragma once

#include <string_view>

namespace lovagetack::base {

/// Numeric result codes, listed in docs/result-codes.md. 1xxx settings, 2xxx requests, 3xxx ownership, 4xxx platform,
/// 5xxx peers and membership, 6xxx configuration and operators, 7xxx command line and tools.
enum class result_code : int {
    ok = 0,

    settings_unreadable = 1001,
    settings_malformed = 1002,
    settings_invalid = 1003,

    request_malformed = 2001,
    request_header_too_large = 2002,
    request_body_too_large = 2003,
    request_header_timeout = 2004,
    request_service_unknown = 2005,
    request_key_missing = 2006,
    request_deadline_passed = 2007,
    request_queue_full = 2008,
    request_no_backend_server = 2009,
    request_backend_server_refused = 2010,
    request_backend_server_unreachable = 2011,
    request_answer_cut_short = 2012,
    request_caller_left = 2014,
    request_repeated = 2015,
    request_claim_unavailable = 2016,
    request_shutting_down = 2017,
    request_not_home = 2018,
    request_relay_failed = 2019,
    request_out_of_service = 2020,
    request_too_many_connections = 2021,
    request_answer_malformed = 2022,
    request_quarantined = 2023,
    request_unauthenticated = 2024,
    request_over_allowance = 2025,
    request_allowance_unknown = 2026,
    request_memory_full = 2027,
    request_body_too_slow = 2028,

    ownership_no_owner = 3001,
    ownership_epoch_refused = 3002,
    ownership_no_authority = 3003,

    platform_unreachable = 4001,
    platform_conflict = 4002,
    platform_malformed_answer = 4003,
    platform_not_found = 4004,

    peer_message_malformed = 5001,
    peer_unreachable = 5002,
    instance_not_ready = 5003,

    configuration_conflict = 6001,
    configuration_rejected = 6002,
    service_state_superseded = 6003,
    unknown_name = 6004,

    usage = 7001,
    address_in_use = 7002,
    trace_malformed = 7003,
    trace_outcome_differs = 7004,
    load_failed = 7005,
};

/// The name of a code as used in logs and docs, for example "request_queue_full".
[[nodiscard]] std::string_view name_of(result_code code);

} // namespace lovagetack::base
