#pragma once

#include <chrono>
#include <cstddef>

namespace lovagetack::ownership {

/// Durations and counts of the ownership rules. Deployments use the defaults; tests shorten them or set unsafe values.
struct limits {
    /// Interval between two grant polls of a backend server.
    std::chrono::milliseconds poll_interval = std::chrono::milliseconds(100);
    /// A backend server without an answer for this long is suspected and its lease is not renewed.
    std::chrono::milliseconds answer_timeout = std::chrono::milliseconds(300);
    /// A majority of the witnesses must have accepted the epoch in a poll sent within this time.
    std::chrono::milliseconds authority_time = std::chrono::milliseconds(300);
    /// Lease of a backend server, on its own clock.
    std::chrono::milliseconds lease_time = std::chrono::milliseconds(500);
    /// The controller's bound for that lease: lease_time * 1.01, for clocks at different rates.
    std::chrono::milliseconds lease_bound = std::chrono::milliseconds(505);
    /// After a take-over, before the successor of an unreached server is activated: the old controller may have
    /// renewed that server's lease until authority_time after it lost the majority.
    std::chrono::milliseconds activation_wait = std::chrono::milliseconds(805);
    /// At the start of a term, servers whose reported ranges cannot be confirmed yet keep their old leases unchanged
    /// for this time, in which the other servers and the store usually answer.
    std::chrono::milliseconds adoption_grace = std::chrono::milliseconds(100);
    /// A restarted witness no longer knows the epoch that it accepted; its acceptance counts only after this uptime.
    std::chrono::milliseconds minimum_witness_uptime = std::chrono::milliseconds(2000);
    std::chrono::milliseconds heartbeat_interval = std::chrono::milliseconds(100);
    /// Time without a heartbeat of the controller before the first candidate polls the witnesses.
    std::chrono::milliseconds controller_timeout = std::chrono::milliseconds(250);
    /// Additional delay for each rank of a candidate.
    std::chrono::milliseconds claim_delay_per_rank = std::chrono::milliseconds(150);
    /// Candidates that receive controller heartbeats.
    std::size_t heartbeat_receivers = 3;
    /// A longer gap between events means that this process was paused.
    std::chrono::milliseconds pause_threshold = std::chrono::milliseconds(200);
    /// A claim without a majority is abandoned after this time.
    std::chrono::milliseconds claim_timeout = std::chrono::milliseconds(2000);
    /// Instances spread their calls to the store over this time after a start or an outage.
    std::chrono::milliseconds store_call_spread = std::chrono::milliseconds(2000);
    /// Interval between attempts of a candidate to read or write the controllers row.
    std::chrono::milliseconds store_retry_interval = std::chrono::milliseconds(500);
    /// Interval at which a candidate without other calls to make reads the controllers row, to know whether the store
    /// is reachable.
    std::chrono::milliseconds candidate_read_interval = std::chrono::milliseconds(5000);
    /// Interval at which the controller reads the assignment rows.
    std::chrono::milliseconds row_read_interval = std::chrono::milliseconds(1000);
    /// A call to the store that has no reply after this time counts as failed with an unknown outcome.
    std::chrono::milliseconds store_timeout = std::chrono::milliseconds(3000);
    /// Lease in the controllers row of a data centre without witnesses, renewed every third of it.
    std::chrono::milliseconds store_lease_time = std::chrono::milliseconds(3000);
    /// Moves that balance load are limited to moves_per_window in each move_window.
    std::chrono::milliseconds move_window = std::chrono::milliseconds(10000);
    std::size_t moves_per_window = 2;
    /// Interval between two checks of the balance of load; load reports come every 2 s.
    std::chrono::milliseconds balance_interval = std::chrono::milliseconds(2000);
    /// Load reports older than this are not used.
    std::chrono::milliseconds maximum_report_age = std::chrono::milliseconds(6000);
    /// Moves start when the most loaded server has more than this many percent of the mean.
    std::size_t imbalance_percent = 125;
    /// A key with more than this share of its server's load gets a range of its own.
    std::size_t hot_key_percent = 10;
    /// With fewer requests than this in the reports the load is not balanced: a key that was requested twice in an idle
    /// period got a range of its own.
    std::uint64_t minimum_balance_requests = 100;
    /// A range with more than this many percent of the average load of a range is split.
    std::size_t split_percent = 200;
    /// A row keeps at most this many ranges per backend server; adjacent ranges are merged above it.
    std::size_t ranges_per_server = 64;
};

} // namespace lovagetack::ownership
