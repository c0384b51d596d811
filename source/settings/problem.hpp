#pragma once

#include <string>
#include <vector>

namespace lovagetack::settings {

/// One fault in a settings file.
struct problem {
    std::string file;
    /// Counted from 1; 0 when the fault has no position, for example a missing key at the top level.
    int line = 0;
    /// Keys from the top of the file, joined with dots.
    std::string path;
    std::string value;
    std::string expected;
};

using problem_list = std::vector<problem>;

/// All problems, one a line: "base.yaml:7: services.x.slots: value '0', expected a whole number from 1 to 1000".
[[nodiscard]] std::string describe(const problem_list& problems);

} // namespace lovagetack::settings
