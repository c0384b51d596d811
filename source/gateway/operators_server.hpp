#pragma once

#include <functional>
#include <string>

#include "base/result.hpp"
#include "gateway/explainer.hpp"
#include "gateway/ports.hpp"
#include "http/server.hpp"

namespace lovagetack::gateway {

/// Answers the balancer's readiness checks, serves metrics, and explains decisions.
class operators_server final : private http::server_connection::handler {
public:
    struct callbacks {
        std::function<bool()> is_ready;
        std::function<std::string()> metrics;
        /// Null where nothing is explained.
        explainer* explanations = nullptr;
    };

    operators_server(const dialect_port& dialect, callbacks callbacks);

    base::result<void> listen(const model::address& address) { return server_.listen(address); }

private:
    struct page {
        int status = 404;
        std::string body;
    };

    [[nodiscard]] page page_for(const http::server_connection::request& request) const;
    [[nodiscard]] page explain(const http::server_connection::request& request) const;
    void request_started(http::server_connection& connection) override;
    void request_body(http::server_connection& /*connection*/, std::string_view /*bytes*/) override {}
    void request_body_ended(http::server_connection& /*connection*/) override {}
    void answer_writable(http::server_connection& /*connection*/) override {}
    void caller_left(http::server_connection& /*connection*/) override {}

    const dialect_port& dialect_;
    callbacks callbacks_;
    http::server server_;
};

} // namespace lovagetack::gateway
