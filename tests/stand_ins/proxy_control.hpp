#pragma once

#include <memory>
#include <vector>

#include "stand_ins/http_connection.hpp"
#include "stand_ins/proxy_link.hpp"

namespace lovagetack::stand_ins {

using link_list = std::vector<std::unique_ptr<proxy_link>>;

/// HTTP calls by which tests control and inspect a proxy:
///
/// - `POST /control` `{"link":NAME or index or "*","mode":"pass|cut|refuse|delay|drop-to-server|drop-to-client|
///   silence-open","delay_ms":n,"jitter_ms":n,"seed":n}`; silence-open affects open connections only and leaves the
///   mode as it is.
/// - `GET /control/links`: `{"links":[link_counters...]}`.
void handle_proxy_control(const link_list& links, const exchange_pointer& exchange);

} // namespace lovagetack::stand_ins
