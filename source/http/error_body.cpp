#include "http/error_body.hpp"

#include <ostream>

#include <boost/beast/http/status.hpp>

namespace lovagetack::http {
namespace {

void append_escaped(std::string& text, std::string_view value) {
    constexpr std::string_view digits = "0123456789abcdef";
    for (const char character : value) {
        const auto code = static_cast<unsigned char>(character);
        if (character == '"' || character == '\\') {
            text.push_back('\\');
        }
        if (code >= 0x20) {
            text.push_back(character);
            continue;
        }
        text.append("\\u00").append(1, digits[code >> 4U]).append(1, digits[code & 0xFU]);
    }
}

} // namespace

std::string error_body(base::result_code code, std::string_view message) {
    std::string text = "{\"code\":";
    text.append(std::to_string(static_cast<int>(code)));
    text.append(R"(,"name":")").append(base::name_of(code));
    text.append(R"(","message":")");
    append_escaped(text, message);
    text.append("\"}");
    return text;
}

std::string_view reason_of(int status) {
    if (status < 100 || status > 999) {
        return "";
    }
    const auto reason =
        boost::beast::http::obsolete_reason(boost::beast::http::int_to_status(static_cast<unsigned>(status)));
    return {reason.data(), reason.size()};
}

} // namespace lovagetack::http
