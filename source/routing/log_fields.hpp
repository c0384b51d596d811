#pragma once

#include <concepts>
#include <string>
#include <utility>

namespace lovagetack::routing {

inline std::pair<std::string, std::string> text_field(std::string name, std::string value) {
    return {std::move(name), std::move(value)};
}

template <std::integral Number>
std::pair<std::string, std::string> number_field(std::string name, Number value) {
    return {std::move(name), std::to_string(value)};
}

} // namespace lovagetack::routing
