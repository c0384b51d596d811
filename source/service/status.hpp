#pragma once

#include <string>

#include <QJsonObject>

#include "base/boot_time.hpp"
#include "core/state.hpp"
#include "peers/peer_transport.hpp"
#include "platform/store_client.hpp"
#include "telemetry/metrics.hpp"

/// Pages of the operators' endpoint, made from the reducer's state.
namespace lovagetack::service {

/// Answer of /status.
[[nodiscard]] QJsonObject status_of(const core::state& state, base::boot_time now, bool shutting_down);

/// Answer of /explain.
[[nodiscard]] QJsonObject explanation_of(const core::state& state, const std::string& service, const std::string& key);

/// Sets the gauges of /metrics that are computed from the state at each request.
void set_gauges(telemetry::metrics& metrics, const core::state& state, base::boot_time now,
                const peers::peer_transport& peers, const platform::store_client& store);

} // namespace lovagetack::service
