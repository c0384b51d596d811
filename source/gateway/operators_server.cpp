#include "gateway/operators_server.hpp"

#include <utility>

#include "http/error_body.hpp"

namespace lovagetack::gateway {
namespace {

http::server_limits operators_limits() {
    http::server_limits limits;
    limits.connections = 32;
    limits.body_bytes = 4096;
    return limits;
}

} // namespace

operators_server::operators_server(const dialect_port& dialect, callbacks callbacks)
    : dialect_(dialect), callbacks_(std::move(callbacks)), server_(*this, operators_limits()) {}

void operators_server::request_started(http::server_connection& connection) {
    int status = 404;
    std::string body;
    if (dialect_.is_readiness_request(connection.message())) {
        status = callbacks_.is_ready() ? 200 : 503;
    } else if (connection.message().target() == "/metrics") {
        status = 200;
        body = callbacks_.metrics();
    }
    connection.start_answer(status, http::reason_of(status), "content-type: text/plain\r\n", http::body_framing::length,
                            body.size());
    connection.answer_body(body);
    connection.end_answer();
}

} // namespace lovagetack::gateway
