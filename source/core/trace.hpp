#pragma once

#include <cstdint>
#include <istream>
#include <optional>
#include <string>

#include <QJsonObject>

#include "base/result.hpp"
#include "core/effect.hpp"
#include "core/event.hpp"
#include "core/identity.hpp"

/// Recorded traces: a text file with one JSON object a line. The first line is the identity of the instance, each
/// further line one event, and a recording that was closed cleanly ends with the digest of all effects.
namespace lovagetack::core {

/// Digest over the JSON texts of effects, in order; equal digests mean that a replay produced the same effects.
class effect_digest {
public:
    void add(const effect& effect);
    [[nodiscard]] std::uint64_t value() const { return value_; }

private:
    std::uint64_t value_ = 0;
};

[[nodiscard]] std::string identity_line(const identity& identity);
[[nodiscard]] std::string event_line(const event& event);
[[nodiscard]] std::string digest_line(const effect_digest& digest);

/// Result of replaying a trace.
struct replay_report {
    std::uint64_t events = 0;
    std::uint64_t effects = 0;
    effect_digest digest;
    /// Digest at the end of the recording; std::nullopt when the recording was cut off.
    std::optional<std::uint64_t> recorded_digest;
    /// One line for each expected outcome that was not met.
    std::vector<std::string> differences;
};

/// Applies the events of a trace to a new state and compares the effects and the final state with the expected
/// outcomes:
///     {"effects": [{"type": "timeline_entry", "match": {"name": "range_activated"}, "at_least": 1}],
///      "final": {"configuration_version": 2, "ready": true}}
/// "match" names fields that must be equal, in nested objects too; "exactly", "at_least" and "at_most" bound how many
/// effects match. Fails with trace_malformed.
[[nodiscard]] base::result<replay_report> replay(std::istream& trace, const QJsonObject& outcomes);

} // namespace lovagetack::core
