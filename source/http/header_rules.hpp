#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/beast/http/fields.hpp>

namespace lovagetack::http {

using fields = boost::beast::http::fields;

/// How the end of a body is determined.
enum class body_framing : std::uint8_t {
    none = 0,
    length = 1,
    chunked = 2,
    /// The body ends when the connection closes.
    until_close = 3,
};

/// Repeated or listed Content-Length, Content-Length together with Transfer-Encoding, or a transfer encoding other than
/// plain chunked. Two parties could disagree about where such a message ends (request smuggling).
[[nodiscard]] bool has_ambiguous_framing(const fields& header);

/// Value of Content-Length in bytes; empty if it is absent or not a number.
[[nodiscard]] std::optional<std::uint64_t> content_length(const fields& header);

[[nodiscard]] std::string_view value_of(const fields& header, std::string_view name);
[[nodiscard]] std::string_view value_of(const fields& header, boost::beast::http::field name);

/// Selects the header fields that are forwarded: all but hop-by-hop fields and fields that describe framing.
class forwarded_fields {
public:
    explicit forwarded_fields(const fields& header);
    [[nodiscard]] bool contains(const fields::value_type& field) const;

private:
    std::vector<std::string_view> named_in_connection_;
};

void append_field(std::string& text, std::string_view name, std::string_view value);
void append_field(std::string& text, std::string_view name, std::uint64_t value);
/// Appends the bytes as one chunk; appends nothing if there are none.
void append_chunk(std::string& text, std::string_view bytes);
constexpr std::string_view last_chunk = "0\r\n\r\n";

} // namespace lovagetack::http
