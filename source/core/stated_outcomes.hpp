#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <QJsonObject>

#include "core/state.hpp"

namespace lovagetack::core {

/// The outcomes that a person stated beside a trace, and how often each was met so far.
class stated_outcomes {
public:
    explicit stated_outcomes(const QJsonObject& outcomes);

    void observe(const QJsonObject& effect);

    /// One line for each outcome that did not come true.
    [[nodiscard]] std::vector<std::string> differences(const state& final_state) const;

private:
    struct expectation {
        QJsonObject stated;
        std::int64_t matches = 0;
    };

    std::vector<expectation> expectations_;
    QJsonObject final_;
};

} // namespace lovagetack::core
