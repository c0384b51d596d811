#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "integration/wait_for.hpp"

namespace lovagetack::harness {

/// How a call ended.
enum class call_end : std::uint8_t {
    answered,
    /// No connection.
    refused,
    /// The connection ended before the header of the answer was complete.
    closed,
    /// The connection ended before the body was complete.
    cut_short,
    malformed,
    timed_out,
};

struct http_result {
    call_end end = call_end::answered;
    int status = 0;
    /// Names in lower case.
    std::map<std::string, std::string> headers;
    /// What arrived of it.
    std::string body;

    /// The value of a header, empty when absent.
    [[nodiscard]] std::string header(const std::string& name) const;
};

/// One HTTP request on its own connection, which blocks until the answer is complete or has failed.
struct http_call {
    /// "HOST:PORT"
    std::string address;
    std::string method = "GET";
    std::string target = "/";
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    std::chrono::milliseconds limit = hung_after;

    [[nodiscard]] http_result run() const;
};

/// GET, and POST of a JSON text.
[[nodiscard]] http_result http_get(const std::string& address, const std::string& target);
http_result http_post(const std::string& address, const std::string& target, const std::string& body);

} // namespace lovagetack::harness
