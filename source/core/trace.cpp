#include "core/trace.hpp"

#include <QJsonArray>

#include "base/json.hpp"
#include "base/key_hash.hpp"
#include "core/expected_outcomes.hpp"
#include "core/reduce.hpp"

namespace lovagetack::core {
namespace {

/// Last line of a complete recording.
struct trailer {
    std::uint64_t effects_digest = 0;
};

} // namespace
} // namespace lovagetack::core

template <>
struct lovagetack::base::fields_of<lovagetack::core::trailer> {
    static constexpr std::string_view name = "trailer";
    static constexpr auto list =
        std::make_tuple(make_field("effects_digest", &lovagetack::core::trailer::effects_digest));
};

namespace lovagetack::core {
namespace {

constexpr std::string_view trailer_start = "{\"effects_digest\"";

base::result<event> read_event(const std::string& line, std::uint64_t line_number) {
    event event;
    if (!base::from_json_text(line, event)) {
        return base::failure(base::result_code::trace_malformed,
                             "line " + std::to_string(line_number) + " is not an event");
    }
    return event;
}

} // namespace

void effect_digest::add(const effect& effect) {
    value_ = base::rendezvous_score(std::to_string(value_), base::to_json_text(effect));
}

std::string identity_line(const identity& identity) {
    return base::to_json_text(identity) + '\n';
}

std::string event_line(const event& event) {
    return base::to_json_text(event) + '\n';
}

std::string digest_line(const effect_digest& digest) {
    return base::to_json_text(trailer{digest.value()}) + '\n';
}

base::result<replay_report> replay(std::istream& trace, const QJsonObject& outcomes) {
    std::string line;
    identity own_identity;
    if (!std::getline(trace, line) || !base::from_json_text(line, own_identity)) {
        return base::failure(base::result_code::trace_malformed, "line 1 is not the identity of an instance");
    }
    replay_report report;
    state state(own_identity);
    expected_outcomes expected(outcomes);
    while (std::getline(trace, line)) {
        if (line.starts_with(trailer_start)) {
            trailer end;
            base::from_json_text(line, end);
            report.recorded_digest = end.effects_digest;
            break;
        }
        BOOST_OUTCOME_TRY(next, read_event(line, report.events + 2));
        ++report.events;
        for (const auto& effect : reduce(state, next)) {
            ++report.effects;
            report.digest.add(effect);
            expected.observe(base::to_json(effect).toObject());
        }
    }
    report.differences = expected.differences(state);
    return report;
}

} // namespace lovagetack::core
