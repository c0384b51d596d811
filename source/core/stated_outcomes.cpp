#include "core/stated_outcomes.hpp"

#include <QJsonArray>
#include <QJsonDocument>

namespace lovagetack::core {
namespace {

/// True when every field of the pattern is in the value and equal; arrays match when each pattern item matches one.
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

stated_outcomes::stated_outcomes(const QJsonObject& outcomes) : final_(outcomes.value("final").toObject()) {
    for (const auto& stated : outcomes.value("effects").toArray()) {
        expectations_.push_back({QJsonValue(stated).toObject()});
    }
}

void stated_outcomes::observe(const QJsonObject& effect) {
    for (auto& expectation : expectations_) {
        const bool same_type = expectation.stated.value("type") == effect.value("type");
        if (same_type && matches(expectation.stated.value("match").toObject(), effect)) {
            ++expectation.matches;
        }
    }
}

std::vector<std::string> stated_outcomes::differences(const state& final_state) const {
    std::vector<std::string> lines;
    for (const auto& [stated, matches] : expectations_) {
        const bool too_few = stated.contains("at_least") && matches < stated.value("at_least").toInteger();
        const bool too_many = stated.contains("at_most") && matches > stated.value("at_most").toInteger();
        const bool unequal = stated.contains("exactly") && matches != stated.value("exactly").toInteger();
        if (too_few || too_many || unequal) {
            lines.push_back("stated " + text_of(stated) + ", found " + std::to_string(matches));
        }
    }
    QJsonObject found;
    found.insert("ready", final_state.ready);
    found.insert("configuration_version", static_cast<qint64>(final_state.deployment_version));
    for (auto field = final_.begin(); field != final_.end(); ++field) {
        if (found.value(field.key()) != field.value()) {
            lines.push_back("stated final " + field.key().toStdString() + " differs: found " + text_of(found));
        }
    }
    return lines;
}

} // namespace lovagetack::core
