#pragma once

#include <cstddef>
#include <memory>
#include <string>

#include "http/server_connection.hpp"
#include "model/ids.hpp"
#include "requests/event.hpp"

namespace lovagetack::service {

class attempt;

/// Bytes of a request body that are kept so that another attempt can send them again.
constexpr std::size_t kept_body_bytes = http::stream_buffer_bytes;

/// One caller's request from its header to the end of its answer.
struct exchange {
    requests::exchange_id id;
    /// Null once the answer is written or the caller left.
    std::shared_ptr<http::server_connection> caller;
    model::request_id request;
    std::string key;
    /// Request line and header fields for every attempt.
    std::string head;
    bool is_head = false;
    bool chunked = false;
    /// Set when another instance relayed the request here.
    bool relayed = false;
    model::backend_server_id relay_target;
    /// Start of the body; all that was received of it, unless overflowed.
    std::string kept_body;
    /// More was received than is kept, so that no other attempt can be made.
    bool overflowed = false;
    bool body_complete = false;
    std::unique_ptr<attempt> current;
};

} // namespace lovagetack::service
