#pragma once

#include <cstddef>
#include <memory>
#include <string>

#include "http/server_connection.hpp"
#include "model/ids.hpp"
#include "requests/event.hpp"

namespace lovagetack::service {

class attempt;

/// Bytes of a request body that are buffered so that another attempt can send them again.
constexpr std::size_t resend_buffer_bytes = http::stream_buffer_bytes;

/// One caller's request, from the arrival of its header to the end of its answer.
struct exchange {
    requests::exchange_id id;
    /// Null once the answer was written or the caller disconnected.
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
    /// All of the body received so far; empty when overflowed.
    std::string resend_buffer;
    /// More of the body was received than is buffered, so no other attempt can be made.
    bool overflowed = false;
    bool body_complete = false;
    std::unique_ptr<attempt> current;
};

} // namespace lovagetack::service
