#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/beast/http/fields.hpp>

namespace lovagetack::http {

using fields = boost::beast::http::fields;

/// How the length of a body is told.
enum class body_framing : std::uint8_t {
    none = 0,
    length = 1,
    chunked = 2,
    /// Ends with the connection.
    until_close = 3,
};

/// Repeated or listed Content-Length, Content-Length together with Transfer-Encoding, or a transfer encoding other than
/// plain chunked. Two parties could understand such a message differently.
[[nodiscard]] bool has_ambiguous_framing(const fields& header);

/// Content-Length, if it is given and is a number.
[[nodiscard]] std::optional<std::uint64_t> content_length(const fields& header);

[[nodiscard]] std::string_view value_of(const fields& header, std::string_view name);
[[nodiscard]] std::string_view value_of(const fields& header, boost::beast::http::field name);

/// Decides which fields are passed on: hop-by-hop fields and those that describe framing are not.
class forwarded_fields {
public:
    explicit forwarded_fields(const fields& header);
    [[nodiscard]] bool contains(const fields::value_type& field) const;

private:
    std::vector<std::string_view> named_in_connection_;
};

void append_field(std::string& text, std::string_view name, std::string_view value);
void append_field(std::string& text, std::string_view name, std::uint64_t value);
/// Appends the bytes as one chunk; nothing for no bytes.
void append_chunk(std::string& text, std::string_view bytes);
constexpr std::string_view last_chunk = "0\r\n\r\n";

} // namespace lovagetack::http
