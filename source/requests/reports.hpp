#pragma once

#include "requests/context.hpp"

namespace lovagetack::requests {

/// Counts a request that is sent to its backend server. Only its first attempt counts.
void count_request(context& ctx, const exchange& exchange, server_record& server);

/// Publishes the load report once per report_period.
void publish_report(context& ctx);

/// Computes the median of the backend servers' latencies of each service, every median_period.
void update_medians(context& ctx);

} // namespace lovagetack::requests
