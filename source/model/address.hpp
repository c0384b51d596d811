#pragma once

#include <cstdint>
#include <string>

#include "base/fields.hpp"

namespace lovagetack::model {

/// An IP address and a port.
struct address {
    std::string host;
    std::uint16_t port = 0;

    bool operator==(const address&) const = default;
};

/// "HOST:PORT"
[[nodiscard]] inline std::string to_text(const address& address) {
    return address.host + ':' + std::to_string(address.port);
}

} // namespace lovagetack::model

template <>
struct lovagetack::base::fields_of<lovagetack::model::address> {
    static constexpr std::string_view name = "address";
    static constexpr auto list =
        std::make_tuple(make_field("host", &model::address::host), make_field("port", &model::address::port));
};
