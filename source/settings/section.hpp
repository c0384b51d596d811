#pragma once

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <yaml-cpp/yaml.h>

#include "settings/problem.hpp"

namespace lovagetack::settings {

/// A mapping of a YAML file that is read key by key. Every fault is added to the list of problems, and
/// report_unknown_keys() adds one for each key that was not read, so that a misspelt key is never silently ignored.
class section {
public:
    /// Parses a whole file; the top level has to be a mapping.
    static std::optional<section> parse(const std::string& file, const std::string& text, problem_list& problems);

    /// Reads a scalar with the reader, which returns an optional. An absent key leaves the target as it is.
    template <class Target, class Reader>
    void read(const std::string& key, Target& target, Reader reader, const std::string& expected) {
        const auto text = scalar(key, expected);
        if (!text) {
            return;
        }
        const auto value = reader(*text);
        if (!value) {
            report(key, *text, expected);
            return;
        }
        target = static_cast<Target>(*value);
    }

    /// The scalar's text, or nothing when the key is absent or is not a scalar (which is reported).
    std::optional<std::string> scalar(const std::string& key, const std::string& expected);

    /// The mapping below the key, or nothing when the key is absent or is not a mapping (which is reported).
    std::optional<section> subsection(const std::string& key);

    /// The scalars of the list below the key; an absent key gives an empty list.
    std::vector<std::string> list(const std::string& key, const std::string& expected);

    /// All keys in the order of the file.
    [[nodiscard]] std::vector<std::string> keys() const;

    /// Reports a missing key; use it for keys without a default.
    void require(const std::string& key, const std::string& expected);

    /// Adds a problem at the line of the key, or of the section when the key is absent.
    void report(const std::string& key, const std::string& value, const std::string& expected);

    /// Reports each key that was not read.
    void report_unknown_keys();

private:
    section(std::string file, std::string path, YAML::Node node, problem_list& problems);

    YAML::Node child(const std::string& key);
    [[nodiscard]] std::string path_of(const std::string& key) const;

    std::string file_;
    std::string path_;
    YAML::Node node_;
    std::set<std::string> requested_keys_;
    std::reference_wrapper<problem_list> problems_;
};

} // namespace lovagetack::settings
