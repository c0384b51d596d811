#pragma once

#include <string>

#include <QJsonObject>

namespace lovagetack::cli {

/// The answer of /status as readable text: a line for the instance, then tables of members, backend servers and service
/// states, and the present restrictions.
[[nodiscard]] std::string status_text(const QJsonObject& status);

} // namespace lovagetack::cli
