#include "core/expected_outcomes.hpp"

#include <QJsonArray>
#include <QJsonDocument>

namespace lovagetack::core {
namespace {

/// True when every field of the pattern is in the value and equal. Arrays match when each item of the pattern matches
/// at least one item of the value.
bool matches(const QJsonValue& pattern, const QJsonValue& value) {
    if (pattern.isObject()) {
        const QJsonObject fields = pattern.toObject();
        const QJsonObject object = value.toObject();
        for (auto field = fields.begin(); field != fields.end(); ++field) {
            if (!matches(field.value(), object.value(field.key()))) {
                return false;
            }
        }
        return true;
    }
    if (pattern.isArray()) {
        const QJsonArray candidates = value.toArray();
        for (const auto& item : pattern.toArray()) {
            bool found = false;
            for (const auto& candidate : candidates) {
                found = found || matches(QJsonValue(item), QJsonValue(candidate));
            }
            if (!found) {
                return false;
            }
        }
        return true;
    }
    return pattern == value;
}

std::string text_of(const QJsonObject& object) {
    return QJsonDocument(object).toJson(QJsonDocument::Compact).toStdString();
}

} // namespace

expected_outcomes::expected_outcomes(const QJsonObject& outcomes)
    : expected_final_state_(outcomes.value("final").toObject()) {
    for (const auto& expected : outcomes.value("effects").toArray()) {
        expectations_.push_back({QJsonValue(expected).toObject()});
    }
}

void expected_outcomes::observe(const QJsonObject& effect) {
    for (auto& expectation : expectations_) {
        const bool same_type = expectation.expected.value("type") == effect.value("type");
        if (same_type && matches(expectation.expected.value("match").toObject(), effect)) {
            ++expectation.matches;
        }
    }
}

std::vector<std::string> expected_outcomes::differences(const state& final_state) const {
    std::vector<std::string> lines;
    for (const auto& [expected, matches] : expectations_) {
        const bool too_few = expected.contains("at_least") && matches < expected.value("at_least").toInteger();
        const bool too_many = expected.contains("at_most") && matches > expected.value("at_most").toInteger();
        const bool unequal = expected.contains("exactly") && matches != expected.value("exactly").toInteger();
        if (too_few || too_many || unequal) {
            lines.push_back("expected " + text_of(expected) + ", found " + std::to_string(matches));
        }
    }
    QJsonObject found;
    found.insert("ready", final_state.ready);
    found.insert("configuration_version", static_cast<qint64>(final_state.deployment_version));
    for (auto field = expected_final_state_.begin(); field != expected_final_state_.end(); ++field) {
        if (found.value(field.key()) != field.value()) {
            lines.push_back("expected final " + field.key().toStdString() + " differs: found " + text_of(found));
        }
    }
    return lines;
}

} // namespace lovagetack::core
