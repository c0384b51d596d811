#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "http/server.hpp"

namespace lovagetack::test {

/// Answers each request with its method, target and body once the body is complete.
class echo_handler final : public http::server_connection::handler {
public:
    void request_started(http::server_connection& connection) override {
        const auto& header = connection.message();
        ++started;
        bodies_[&connection] = std::string(header.method_string()) + " " + std::string(header.target()) + " ";
    }

    void request_body(http::server_connection& connection, std::string_view bytes) override {
        bodies_[&connection].append(bytes);
    }

    void request_body_ended(http::server_connection& connection) override {
        const auto body = bodies_[&connection];
        bodies_.erase(&connection);
        last = connection.shared_from_this();
        if (withhold_answers) {
            return;
        }
        connection.start_answer(200, "OK", "", http::body_framing::length, body.size());
        connection.answer_body(body);
        connection.end_answer();
    }

    void answer_writable(http::server_connection& /*connection*/) override {}

    void caller_left(http::server_connection& connection) override {
        ++callers_left;
        bodies_.erase(&connection);
    }

    void bytes_discarded(http::server_connection& /*connection*/, std::size_t bytes) override { discarded += bytes; }

    std::size_t discarded = 0;
    int started = 0;
    int callers_left = 0;
    /// The connection of the last complete request.
    std::shared_ptr<http::server_connection> last;
    /// Requests are left without an answer.
    bool withhold_answers = false;

private:
    std::map<http::server_connection*, std::string> bodies_;
};

} // namespace lovagetack::test
