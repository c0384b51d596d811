#include "gateway/operators_server.hpp"

#include <optional>
#include <string_view>
#include <utility>

#include "http/error_body.hpp"

namespace lovagetack::gateway {
namespace {

/// Before the target of a request that is to be explained, and before the query of a request for a slot.
constexpr std::string_view request_prefix = "/explain";
constexpr std::string_view slot_prefix = "/explain-slot?";

http::server_limits operators_limits() {
    http::server_limits limits;
    limits.connections = 32;
    limits.body_bytes = 4096;
    return limits;
}

} // namespace

operators_server::operators_server(const dialect_port& dialect, callbacks callbacks)
    : dialect_(dialect), callbacks_(std::move(callbacks)), server_(*this, operators_limits()) {}

operators_server::page operators_server::page_for(const http::server_connection::request& request) const {
    if (dialect_.is_readiness_request(request)) {
        return {callbacks_.is_ready() ? 200 : 503, {}};
    }
    if (request.target() == "/metrics") {
        return {200, callbacks_.metrics()};
    }
    return callbacks_.explanations != nullptr ? explain(request) : page();
}

operators_server::page operators_server::explain(const http::server_connection::request& request) const {
    const std::string_view target(request.target().data(), request.target().size());
    const auto now = base::boot_clock::now();
    std::optional<std::string> body;
    if (target.starts_with(request_prefix) && target.substr(request_prefix.size()).starts_with('/')) {
        http::server_connection::request explained;
        explained.base() = request.base();
        const auto path = target.substr(request_prefix.size());
        explained.target({path.data(), path.size()});
        body = callbacks_.explanations->explain_request(dialect_.read(explained), now);
    } else if (target.starts_with(slot_prefix)) {
        body = callbacks_.explanations->explain_slot(target.substr(slot_prefix.size()), now);
    } else {
        return {};
    }
    if (!body) {
        return {503, "one explanation at a time: try again in a second\n"};
    }
    return body->empty() ? page{400, "not a query of an explanation\n"} : page{200, *std::move(body)};
}

void operators_server::request_started(http::server_connection& connection) {
    const auto found = page_for(connection.message());
    connection.start_answer(found.status, http::reason_of(found.status), "content-type: text/plain\r\n",
                            http::body_framing::length, found.body.size());
    connection.answer_body(found.body);
    connection.end_answer();
}

} // namespace lovagetack::gateway
