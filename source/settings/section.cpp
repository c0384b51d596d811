#include "settings/section.hpp"

#include <utility>

namespace lovagetack::settings {
namespace {

int line_of(const YAML::Node& node) {
    return node.Mark().is_null() ? 0 : node.Mark().line + 1;
}

std::string text_of(const YAML::Node& node) {
    if (node.IsScalar()) {
        return node.Scalar();
    }
    return node.IsMap() ? "a mapping" : node.IsSequence() ? "a list" : "";
}

} // namespace

section::section(std::string file, std::string path, YAML::Node node, problem_list& problems)
    : file_(std::move(file)), path_(std::move(path)), node_(std::move(node)), problems_(problems) {
    std::set<std::string> seen;
    for (const auto& entry : node_) {
        const std::string key = text_of(entry.first);
        if (!seen.insert(key).second) {
            problems_.get().push_back({file_, line_of(entry.first), path_of(key), key, "each key only once"});
        }
    }
}

std::optional<section> section::parse(const std::string& file, const std::string& text, problem_list& problems) {
    try {
        YAML::Node root = YAML::Load(text);
        if (!root.IsMap()) {
            problems.push_back({file, 1, "(top)", text_of(root), "a mapping"});
            return std::nullopt;
        }
        return section(file, "", std::move(root), problems);
    } catch (const YAML::Exception& exception) {
        problems.push_back({file, exception.mark.line + 1, "(top)", exception.msg, "valid YAML"});
        return std::nullopt;
    }
}

std::optional<std::string> section::scalar(const std::string& key, const std::string& expected) {
    const YAML::Node node = child(key);
    if (!node.IsDefined()) {
        return std::nullopt;
    }
    if (!node.IsScalar()) {
        report(key, text_of(node), expected);
        return std::nullopt;
    }
    return node.Scalar();
}

std::optional<section> section::subsection(const std::string& key) {
    YAML::Node node = child(key);
    if (!node.IsDefined()) {
        return std::nullopt;
    }
    if (!node.IsMap()) {
        report(key, text_of(node), "a mapping");
        return std::nullopt;
    }
    return section(file_, path_of(key), std::move(node), problems_);
}

std::vector<std::string> section::list(const std::string& key, const std::string& expected) {
    const YAML::Node node = child(key);
    if (!node.IsDefined()) {
        return {};
    }
    if (!node.IsSequence()) {
        report(key, text_of(node), "a list of " + expected);
        return {};
    }
    std::vector<std::string> values;
    for (const auto& item : node) {
        if (!item.IsScalar()) {
            report(key, text_of(item), "a list of " + expected);
            continue;
        }
        values.push_back(item.Scalar());
    }
    return values;
}

std::vector<std::string> section::keys() const {
    std::vector<std::string> keys;
    for (const auto& entry : node_) {
        keys.push_back(text_of(entry.first));
    }
    return keys;
}

void section::require(const std::string& key, const std::string& expected) {
    if (!child(key).IsDefined()) {
        report(key, "", expected);
    }
}

void section::report(const std::string& key, const std::string& value, const std::string& expected) {
    const YAML::Node node = child(key);
    const int line = node.IsDefined() ? line_of(node) : line_of(node_);
    problems_.get().push_back({file_, line, path_of(key), value, expected});
}

void section::report_unknown_keys() {
    for (const auto& entry : node_) {
        const std::string key = text_of(entry.first);
        if (!requested_keys_.contains(key)) {
            problems_.get().push_back({file_, line_of(entry.first), path_of(key), key, "a known key"});
        }
    }
}

YAML::Node section::child(const std::string& key) {
    requested_keys_.insert(key);
    const YAML::Node& constant = node_;
    return constant[key];
}

std::string section::path_of(const std::string& key) const {
    return path_.empty() ? key : path_ + '.' + key;
}

} // namespace lovagetack::settings
