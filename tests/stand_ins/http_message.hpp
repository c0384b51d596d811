#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <boost/beast/http/fields.hpp>

namespace lovagetack::stand_ins {

/// A complete HTTP request.
struct http_request {
    std::string method;
    std::string target;
    boost::beast::http::fields headers;
    std::string body;
    bool keep_alive = true;

    /// The value of a header, empty when absent.
    [[nodiscard]] std::string_view header(std::string_view name) const;
    /// The target without its query.
    [[nodiscard]] std::string_view path() const;
    /// A value of the query, empty when absent.
    [[nodiscard]] std::string_view query(std::string_view name) const;
};

/// A generated body: bytes of body_pattern, in place of a large file.
struct generated_body {
    std::string seed;
    /// The announced content-length.
    std::uint64_t announced = 0;
    /// Bytes sent; when fewer than announced, the connection is closed after them.
    std::uint64_t sent = 0;
};

struct http_response {
    int status = 200;
    std::string content_type = "text/plain";
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    /// Replaces body when present.
    std::optional<generated_body> generated;
    bool close = false;
};

/// A JSON answer with this text as its body.
[[nodiscard]] http_response json_response(int status, std::string body);

} // namespace lovagetack::stand_ins
