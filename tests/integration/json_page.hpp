#pragma once

#include <string>

#include <QJsonObject>

namespace lovagetack::harness {

/// GET of a JSON object; an empty object when there is no such answer.
[[nodiscard]] QJsonObject json_page(const std::string& address, const std::string& target);

/// POST of a JSON text to a control address of a stand-in. Throws std::runtime_error when it is not accepted.
void post_order(const std::string& address, const std::string& target, const std::string& body);

[[nodiscard]] std::string text_of(const QJsonObject& object, const char* name);

} // namespace lovagetack::harness
