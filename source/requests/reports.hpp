#pragma once

#include "requests/context.hpp"

namespace lovagetack::requests {

/// Counts a request that goes to its backend server; repeated attempts count once.
void count_request(context& ctx, const exchange& exchange, server_record& server);

/// Publishes the load report when its period is over.
void publish_report(context& ctx);

/// Computes the median of the backend servers' latencies of each service, every median_period.
void update_medians(context& ctx);

} // namespace lovagetack::requests
