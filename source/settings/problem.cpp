#include "settings/problem.hpp"

namespace lovagetack::settings {

std::string describe(const problem_list& problems) {
    std::string text;
    for (const auto& problem : problems) {
        if (!text.empty()) {
            text += '\n';
        }
        text += problem.file + ':' + std::to_string(problem.line) + ": " + problem.path + ": ";
        text += problem.value.empty() ? "nothing given" : "value '" + problem.value + "'";
        text += ", expected " + problem.expected;
    }
    return text;
}

} // namespace lovagetack::settings
