#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <QJsonObject>

#include "core/state.hpp"

namespace lovagetack::core {

/// The outcomes that a replay of a trace is expected to have, and how many effects have matched each so far. See replay
/// for their format.
class expected_outcomes {
public:
    explicit expected_outcomes(const QJsonObject& outcomes);

    /// Counts the effect for each outcome that it matches.
    void observe(const QJsonObject& effect);

    /// One line for each outcome that was not met.
    [[nodiscard]] std::vector<std::string> differences(const state& final_state) const;

private:
    struct expectation {
        QJsonObject expected;
        std::int64_t matches = 0;
    };

    std::vector<expectation> expectations_;
    QJsonObject expected_final_state_;
};

} // namespace lovagetack::core
