#pragma once

#include <chrono>
#include <cstddef>

namespace lovagetack::membership {

/// Durations and bounds of membership. The defaults give detection of a killed instance in about 600 ms.
struct limits {
    /// To the two ring neighbours in the data centre.
    std::chrono::microseconds heartbeat_interval = std::chrono::milliseconds(100);
    /// To one instance of each other data centre.
    std::chrono::microseconds remote_heartbeat_interval = std::chrono::milliseconds(1000);
    /// Silence of a ring neighbour that makes it suspect: three heartbeats and one tick of the shell.
    std::chrono::microseconds suspect_after = std::chrono::milliseconds(320);
    /// A suspect that nobody reaches for so long is reported as unreachable.
    std::chrono::microseconds confirm_time = std::chrono::milliseconds(300);
    /// Probes of a suspect are repeated at this interval, since a single one may be lost.
    std::chrono::microseconds probe_interval = std::chrono::milliseconds(100);
    /// An instance that hears nobody else takes a suspect for unreachable after this time, but only for itself: it may
    /// be the one that is cut off.
    std::chrono::microseconds isolated_confirm_time = std::chrono::milliseconds(2000);
    /// A new ring neighbour may need so long to learn that it is one.
    std::chrono::microseconds neighbour_grace = std::chrono::milliseconds(300);
    /// A gap between own ticks above this means that this instance was paused.
    std::chrono::microseconds tick_gap = std::chrono::milliseconds(200);
    /// After a pause, others are not accused before this instance has listened for so long.
    std::chrono::microseconds listen_time = std::chrono::milliseconds(500);
    /// A member that is heard although it was reported as unreachable is told so at this interval.
    std::chrono::microseconds accusation_interval = std::chrono::milliseconds(300);
    /// Members that left or are unreachable are forgotten after this time.
    std::chrono::microseconds forget_after = std::chrono::minutes(10);
    /// Observations of this age and younger outweigh the platform's list.
    std::chrono::microseconds observation_time = std::chrono::seconds(5);
    /// Attempts to reach seeds and unreachable members.
    std::chrono::microseconds contact_interval = std::chrono::milliseconds(1000);
    /// A digest that differs for so long is repaired by an exchange of all versions; until then recent facts are sent.
    std::chrono::microseconds mismatch_time = std::chrono::milliseconds(500);
    std::chrono::microseconds recent_push_interval = std::chrono::milliseconds(200);
    std::chrono::microseconds recent_time = std::chrono::milliseconds(2000);
    /// Shortest time between two exchanges of all versions.
    std::chrono::microseconds sync_interval = std::chrono::milliseconds(500);
    /// One version takes about 35 bytes, so this spacing keeps exchanges near 1.75 KB/s at any number of facts.
    std::chrono::microseconds sync_spacing_per_fact = std::chrono::milliseconds(20);
    /// The configuration version of the own member fact changes at most once per this time and member: 490 members
    /// that report each of 1,400 changes a day at once would exceed 2 KB/s.
    std::chrono::microseconds version_spacing_per_member = std::chrono::milliseconds(500);

    /// Members of the data centre, and of each other one, that a new fact is sent to.
    std::size_t local_fanout = 3;
    std::size_t remote_fanout = 1;
    /// A message with more facts is an answer to a sync request, whose facts are not sent on.
    std::size_t forwarded_facts = 32;
    std::size_t facts_per_message = 64;
    std::size_t bytes_per_message = 65536;
    std::size_t recent_facts = 16;
    /// Seeds contacted at a time by an instance that knows no other.
    std::size_t contacts_when_alone = 8;

    /// Beyond these bounds no fact of a new name is stored.
    std::size_t maximum_facts = 20000;
    std::size_t maximum_bytes = 12UL * 1024 * 1024;
    std::size_t maximum_fact_bytes = 2UL * 1024 * 1024;
    /// Versions kept of forgotten members, so that an instance that was cut off does not bring them back.
    std::size_t maximum_forgotten = 1000;
    std::size_t maximum_listed = 2000;
};

} // namespace lovagetack::membership
