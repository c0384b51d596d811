#pragma once

#include <memory>
#include <string_view>

namespace lovagetack::stand_ins {

class backend_server;
class http_exchange;

/// Control calls of tests to one backend server:
///
/// - `POST /control`: fields of backend_settings, and `"cold":true` (cold again without a restart) and
///   `"restart":true` (forgets everything and takes a new boot id).
/// - `GET /control/executions[?after=N]`: `{"total":n,"executions":[execution_record...]}`.
/// - `GET /control/counters`: backend_counters.
/// - `GET /control/settings`: backend_settings.
///
/// The path starts with /control.
void handle_control(backend_server& server, const std::shared_ptr<http_exchange>& exchange, std::string_view path);

} // namespace lovagetack::stand_ins
