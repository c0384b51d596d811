#include "stand_ins/http_message.hpp"

namespace lovagetack::stand_ins {

std::string_view http_request::header(std::string_view name) const {
    const auto value = headers[boost::beast::string_view(name.data(), name.size())];
    return {value.data(), value.size()};
}

std::string_view http_request::path() const {
    const std::string_view whole(target);
    return whole.substr(0, whole.find('?'));
}

std::string_view http_request::query(std::string_view name) const {
    std::string_view rest(target);
    const auto start = rest.find('?');
    if (start == std::string_view::npos) {
        return {};
    }
    rest.remove_prefix(start + 1);
    while (!rest.empty()) {
        const auto pair = rest.substr(0, rest.find('&'));
        rest.remove_prefix(pair.size() == rest.size() ? pair.size() : pair.size() + 1);
        if (pair.size() > name.size() && pair.substr(0, name.size()) == name && pair[name.size()] == '=') {
            return pair.substr(name.size() + 1);
        }
    }
    return {};
}

http_response json_response(int status, std::string body) {
    http_response response;
    response.status = status;
    response.content_type = "application/json";
    response.body = std::move(body);
    return response;
}

} // namespace lovagetack::stand_ins
