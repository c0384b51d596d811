#pragma once

#include <string>

#include <QJsonObject>

namespace lovagetack::cli {

/// The answer of /status for people: a line for the instance, then a table each of members, backend servers, orders and
/// what cannot be done at present.
[[nodiscard]] std::string status_text(const QJsonObject& status);

} // namespace lovagetack::cli
