#pragma once

#include <string>
#include <string_view>

#include "base/result_code.hpp"

namespace lovagetack::http {

/// JSON body of an error answer: {"code":2008,"name":"request_queue_full","message":"..."}.
[[nodiscard]] std::string error_body(base::result_code code, std::string_view message);

/// Reason phrase of a status; empty for an unknown one.
[[nodiscard]] std::string_view reason_of(int status);

} // namespace lovagetack::http
