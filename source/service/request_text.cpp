#include "service/request_text.hpp"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <optional>
#include <utility>

#include "http/header_rules.hpp"

namespace lovagetack::service {
namespace {

using boost::beast::http::verb;

constexpr std::string_view reserved_prefix = "lovagetack-";
/// Limits how much a caller can add to logs and traces.
constexpr std::size_t maximum_id_bytes = 200;

std::string_view to_view(boost::beast::string_view text) {
    return {text.data(), text.size()};
}

bool has_reserved_prefix(boost::beast::string_view name) {
    return name.size() > reserved_prefix.size() &&
           boost::beast::iequals(name.substr(0, reserved_prefix.size()), reserved_prefix.data());
}

/// The path and query of a request target, which may be a whole URL.
std::string_view origin_form(std::string_view target) {
    const auto scheme = target.find("://");
    if (target.empty() || target.front() == '/' || scheme == std::string_view::npos) {
        return target;
    }
    const auto path = target.find('/', scheme + 3);
    return path == std::string_view::npos ? std::string_view("/") : target.substr(path);
}

std::string_view next_segment(std::string_view& path) {
    if (!path.empty() && path.front() == '/') {
        path.remove_prefix(1);
    }
    const auto end = std::min(path.find('/'), path.size());
    const auto segment = path.substr(0, end);
    path.remove_prefix(end);
    return segment;
}

/// Decodes percent encoding, so that different encodings of a key give the same key. Control characters are rejected
/// because the key is also sent in a header field.
std::optional<std::string> decode_segment(std::string_view segment) {
    std::string decoded;
    decoded.reserve(segment.size());
    for (std::size_t at = 0; at < segment.size(); ++at) {
        auto code = static_cast<unsigned char>(segment[at]);
        if (segment[at] == '%') {
            if (segment.size() - at < 3) {
                return std::nullopt;
            }
            const auto digits = segment.substr(at + 1, 2);
            const auto [end, error] = std::from_chars(digits.data(), digits.data() + 2, code, 16);
            if (error != std::errc() || end != digits.data() + 2) {
                return std::nullopt;
            }
            at += 2;
        }
        if (code < 0x20 || code == 0x7F) {
            return std::nullopt;
        }
        decoded.push_back(static_cast<char>(code));
    }
    return decoded;
}

bool is_idempotent(verb method) {
    return method == verb::get || method == verb::head || method == verb::put || method == verb::delete_ ||
           method == verb::options;
}

bool usually_has_body(verb method) {
    return method == verb::post || method == verb::put || method == verb::patch;
}

/// Reads a deadline in milliseconds; 0 when the field is absent. A given deadline of 0 has passed already and becomes
/// 1 microsecond, to distinguish it from an absent one.
std::optional<std::chrono::microseconds> read_deadline(std::string_view text) {
    constexpr std::int64_t maximum_ms = std::int64_t(24) * 3600 * 1000;
    if (text.empty()) {
        return std::chrono::microseconds(0);
    }
    std::int64_t milliseconds = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), milliseconds);
    if (error != std::errc() || end != text.data() + text.size() || milliseconds < 0) {
        return std::nullopt;
    }
    const std::chrono::microseconds deadline = std::chrono::milliseconds(std::min(milliseconds, maximum_ms));
    return std::max(deadline, std::chrono::microseconds(1));
}

} // namespace

base::result<requests::caller_request>
read_caller_request(const http::server_connection& connection,
                    const std::function<bool(const model::service_id&)>& is_divided_by_key) {
    const auto& header = connection.message();
    requests::caller_request request;
    auto path = origin_form(to_view(header.target()));
    path = path.substr(0, std::min(path.find('?'), path.size()));
    request.service = model::service_id(std::string(next_segment(path)));
    if (is_divided_by_key(request.service)) {
        auto key = decode_segment(next_segment(path));
        if (!key) {
            return base::failure(base::result_code::request_malformed, "the key is not encoded correctly");
        }
        request.key = std::move(*key);
    }
    const auto deadline = read_deadline(http::value_of(header, "lovagetack-deadline-ms"));
    if (!deadline) {
        return base::failure(base::result_code::request_malformed, "lovagetack-deadline-ms is not a number");
    }
    request.deadline = *deadline;
    request.request = model::request_id(std::string(http::value_of(header, "lovagetack-request-id")));
    request.idempotency_key = http::value_of(header, "idempotency-key");
    if (request.request.value().size() > maximum_id_bytes || request.idempotency_key.size() > maximum_id_bytes) {
        return base::failure(base::result_code::request_malformed, "the request id or idempotency key is too long");
    }
    request.idempotent = is_idempotent(header.method());
    request.body_bytes = connection.request_length();
    request.relayed_by = model::instance_id(std::string(http::value_of(header, "lovagetack-relayed")));
    request.relay_target = model::backend_server_id(std::string(http::value_of(header, "lovagetack-relay-target")));
    return request;
}

std::string forwarded_head(const http::server_connection& connection, const model::request_id& request) {
    const auto& header = connection.message();
    std::string text;
    text.reserve(1024);
    text.append(to_view(header.method_string())).append(" ");
    text.append(origin_form(to_view(header.target()))).append(" HTTP/1.1\r\n");
    const http::forwarded_fields forwarded(header);
    for (const auto& field : header) {
        if (forwarded.contains(field) && !has_reserved_prefix(field.name_string())) {
            http::append_field(text, to_view(field.name_string()), to_view(field.value()));
        }
    }
    http::append_field(text, "lovagetack-request-id", request.value());
    switch (connection.request_framing()) {
    case http::body_framing::chunked:
        http::append_field(text, "transfer-encoding", "chunked");
        break;
    case http::body_framing::length:
        http::append_field(text, "content-length", connection.request_length());
        break;
    case http::body_framing::none:
    case http::body_framing::until_close:
        if (usually_has_body(header.method())) {
            http::append_field(text, "content-length", std::uint64_t(0));
        }
        break;
    }
    return text;
}

void append_attempt_fields(std::string& text, const requests::start_attempt& effect, const std::string& key,
                           const model::instance_id& instance) {
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(effect.deadline).count();
    http::append_field(text, "lovagetack-deadline-ms", static_cast<std::uint64_t>(std::max<std::int64_t>(left, 0)));
    if (!effect.relay_to.empty()) {
        http::append_field(text, "lovagetack-relayed", instance.value());
        http::append_field(text, "lovagetack-relay-target", effect.backend_server.value());
        text.append("\r\n");
        return;
    }
    if (effect.fence != model::fence()) {
        http::append_field(text, "lovagetack-fence",
                           std::to_string(effect.fence.epoch.value()) + "." + std::to_string(effect.fence.sequence));
    }
    if (!key.empty()) {
        http::append_field(text, "lovagetack-key", key);
    }
    text.append("\r\n");
}

std::string answer_fields(const http::client_connection::answer& header, bool from_home) {
    std::string text;
    text.reserve(512);
    const bool repeated = from_home && http::value_of(header, "lovagetack-outcome") == "repeated";
    const http::forwarded_fields forwarded(header);
    for (const auto& field : header) {
        const auto name = field.name_string();
        const bool internal = boost::beast::iequals(name, "lovagetack-queue") ||
                              (!repeated && (boost::beast::iequals(name, "lovagetack-outcome") ||
                                             boost::beast::iequals(name, "lovagetack-code")));
        if (!internal && forwarded.contains(field)) {
            http::append_field(text, to_view(name), to_view(field.value()));
        }
    }
    return text;
}

std::string_view text_of(requests::outcome outcome) {
    switch (outcome) {
    case requests::outcome::not_run:
        return "not-run";
    case requests::outcome::failed:
        return "failed";
    case requests::outcome::unknown:
        return "unknown";
    case requests::outcome::repeated:
        return "repeated";
    }
    return "unknown";
}

} // namespace lovagetack::service
