#include "http/header_rules.hpp"

#include <algorithm>
#include <array>
#include <charconv>

#include <boost/beast/http/rfc7230.hpp>

namespace lovagetack::http {
namespace {

using boost::beast::http::field;

std::string_view to_view(boost::beast::string_view text) {
    return {text.data(), text.size()};
}

bool is_hop_by_hop(field name) {
    return name == field::connection || name == field::keep_alive || name == field::proxy_connection ||
           name == field::proxy_authenticate || name == field::proxy_authorization || name == field::te ||
           name == field::trailer || name == field::transfer_encoding || name == field::upgrade;
}

bool describes_framing(field name) {
    return name == field::content_length || name == field::expect;
}

} // namespace

bool has_ambiguous_framing(const fields& header) {
    const auto lengths = header.count(field::content_length);
    const auto encodings = header.count(field::transfer_encoding);
    if (lengths > 1 || encodings > 1 || (lengths > 0 && encodings > 0)) {
        return true;
    }
    if (lengths == 1 && header[field::content_length].find(',') != boost::beast::string_view::npos) {
        return true;
    }
    return encodings == 1 && !boost::beast::iequals(header[field::transfer_encoding], "chunked");
}

std::optional<std::uint64_t> content_length(const fields& header) {
    const auto text = value_of(header, field::content_length);
    std::uint64_t length = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), length);
    if (text.empty() || error != std::errc() || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return length;
}

std::string_view value_of(const fields& header, std::string_view name) {
    const auto found = header.find(boost::beast::string_view(name.data(), name.size()));
    return found == header.end() ? std::string_view() : to_view(found->value());
}

std::string_view value_of(const fields& header, field name) {
    const auto found = header.find(name);
    return found == header.end() ? std::string_view() : to_view(found->value());
}

forwarded_fields::forwarded_fields(const fields& header) {
    const auto [first, last] = header.equal_range(field::connection);
    for (auto at = first; at != last; ++at) {
        for (const auto token : boost::beast::http::token_list(at->value())) {
            named_in_connection_.push_back(to_view(token));
        }
    }
}

bool forwarded_fields::contains(const fields::value_type& field) const {
    if (is_hop_by_hop(field.name()) || describes_framing(field.name())) {
        return false;
    }
    if (named_in_connection_.empty() || field.name() == field::host) {
        return true;
    }
    return std::none_of(named_in_connection_.begin(), named_in_connection_.end(), [&field](std::string_view named) {
        return boost::beast::iequals(field.name_string(), boost::beast::string_view(named.data(), named.size()));
    });
}

void append_field(std::string& text, std::string_view name, std::string_view value) {
    text.append(name).append(": ").append(value).append("\r\n");
}

void append_field(std::string& text, std::string_view name, std::uint64_t value) {
    std::array<char, 24> digits{};
    const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), value).ptr;
    append_field(text, name, std::string_view(digits.data(), static_cast<std::size_t>(end - digits.data())));
}

void append_chunk(std::string& text, std::string_view bytes) {
    if (bytes.empty()) {
        return;
    }
    std::array<char, 24> digits{};
    const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), bytes.size(), 16).ptr;
    text.append(digits.data(), end).append("\r\n").append(bytes).append("\r\n");
}

} // namespace lovagetack::http
