#pragma once

#include <chrono>
#include <cstddef>

namespace lovagetack::membership {

/// Durations and bounds of membership. The defaults give detection of a killed instance in about 600 ms.
struct limits {
    /// Interval of heartbeats to the two ring neighbours in the data centre.
    std::chrono::microseconds heartbeat_interval = std::chrono::milliseconds(100);
    /// Interval of heartbeats to one instance of each other data centre.
    std::chrono::microseconds remote_heartbeat_interval = std::chrono::milliseconds(1000);
    /// A ring neighbour is suspected after this time without a message: three heartbeat intervals and one tick.
    std::chrono::microseconds suspect_after = std::chrono::milliseconds(320);
    /// A suspected member that no instance reaches for this time is reported as unreachable.
    std::chrono::microseconds confirm_time = std::chrono::milliseconds(300);
    /// Interval at which probes of a suspected member are repeated, since a single one may be lost.
    std::chrono::microseconds probe_interval = std::chrono::milliseconds(100);
    /// An instance that receives no message from any other marks a suspected member as unreachable after this time, but
    /// does not send that report on: it may be cut off itself.
    std::chrono::microseconds isolated_confirm_time = std::chrono::milliseconds(2000);
    /// Time that a new ring neighbour may need to find out that it is one.
    std::chrono::microseconds neighbour_grace_period = std::chrono::milliseconds(300);
    /// A longer gap between two ticks of this instance means that it was paused.
    std::chrono::microseconds pause_threshold = std::chrono::milliseconds(200);
    /// After its start or a pause, this instance receives messages for this time before it suspects or reports others.
    std::chrono::microseconds detection_delay = std::chrono::milliseconds(500);
    /// Interval at which a report is sent to its subject while messages arrive from it although it was reported as left
    /// or unreachable.
    std::chrono::microseconds report_interval = std::chrono::milliseconds(300);
    /// Members that left or are unreachable are removed after this time.
    std::chrono::microseconds gone_member_retention = std::chrono::minutes(10);
    /// The platform's list does not override an observation of this age or younger.
    std::chrono::microseconds observation_lifetime = std::chrono::seconds(5);
    /// Interval of attempts to reach seeds and unreachable members.
    std::chrono::microseconds contact_interval = std::chrono::milliseconds(1000);
    /// A digest that differs for this time is repaired by an exchange of all versions; until then recent facts are
    /// sent.
    std::chrono::microseconds mismatch_time = std::chrono::milliseconds(500);
    std::chrono::microseconds recent_push_interval = std::chrono::milliseconds(200);
    std::chrono::microseconds maximum_recent_age = std::chrono::milliseconds(2000);
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
    /// A message with more facts is an answer to a sync request, whose facts are not forwarded.
    std::size_t maximum_forwarded_facts = 32;
    std::size_t facts_per_message = 64;
    std::size_t bytes_per_message = 65536;
    std::size_t maximum_recent_facts = 16;
    /// Addresses contacted at a time by an instance that knows no other member.
    std::size_t initial_contacts = 8;

    /// Beyond these bounds no fact of a new name is stored.
    std::size_t maximum_facts = 20000;
    std::size_t maximum_bytes = 12UL * 1024 * 1024;
    std::size_t maximum_fact_bytes = 2UL * 1024 * 1024;
    /// Removed members whose last version is kept, so that an instance that was cut off does not add them again.
    std::size_t maximum_removed_members = 1000;
    std::size_t maximum_listed_instances = 2000;
};

} // namespace lovagetack::membership
