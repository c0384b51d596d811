#pragma once

#include <memory>
#include <string_view>

namespace lovagetack::stand_ins {

class backend_server;
class http_exchange;

/// HTTP calls by which tests control and inspect one backend server:
///
/// - `POST /control`: changes the given fields of backend_settings; `"cold":true` makes the server cold without a
///   restart, and `"restart":true` calls backend_server::restart.
/// - `GET /control/executions[?after=N]`: `{"total":n,"executions":[execution_record...]}`.
/// - `GET /control/counters`: backend_counters.
/// - `GET /control/settings`: backend_settings.
///
/// The path starts with /control.
void handle_control(backend_server& server, const std::shared_ptr<http_exchange>& exchange, std::string_view path);

} // namespace lovagetack::stand_ins
