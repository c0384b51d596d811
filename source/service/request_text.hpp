#pragma once

#include <functional>
#include <string>
#include <string_view>

#include "base/result.hpp"
#include "http/client_connection.hpp"
#include "http/server_connection.hpp"
#include "model/ids.hpp"
#include "requests/effect.hpp"
#include "requests/event.hpp"

namespace lovagetack::service {

/// What the caller asks for, from the header of its request. The exchange number and, if the caller gave none, the
/// request id are left for the executor. Fails with request_malformed.
[[nodiscard]] base::result<requests::caller_request>
read_caller_request(const http::server_connection& connection,
                    const std::function<bool(const model::service_id&)>& is_divided_by_key);

/// Request line and header fields that are the same for every attempt, without the empty line at the end.
[[nodiscard]] std::string forwarded_head(const http::server_connection& connection, const model::request_id& request);

/// Header fields of one attempt, with the empty line at the end.
void append_attempt_fields(std::string& text, const requests::start_attempt& effect, const std::string& key,
                           const model::instance_id& instance);

/// Header fields of an answer as they go to the caller. Those with which lovagetack talks to itself are taken out,
/// except a mark of a repeated answer that comes from the home instance.
[[nodiscard]] std::string answer_fields(const http::client_connection::answer& header, bool from_home);

/// Value of lovagetack-outcome.
[[nodiscard]] std::string_view text_of(requests::outcome outcome);

} // namespace lovagetack::service
