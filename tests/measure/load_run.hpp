#pragma once

#include <string>
#include <vector>

#include <QJsonObject>

#include "measure/deployment.hpp"

namespace lovagetack::measure {

/// Runs `lovagetack load --json` with these arguments for each target address and returns the object of its one run.
/// Throws std::runtime_error when it printed no result.
[[nodiscard]] QJsonObject run_load(const std::vector<std::string>& targets, const std::vector<std::string>& arguments,
                                   const deployment& deployed);

} // namespace lovagetack::measure
