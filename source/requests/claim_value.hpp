#pragma once

#include <cstdint>
#include <string>

#include "base/fields.hpp"

namespace lovagetack::requests {

/// Value of a row of the table `idempotency`.
struct claim_value {
    /// Identity of the claiming request: instance, incarnation and exchange.
    std::string claim;
    /// The request is completed; status and body hold its outcome.
    bool done = false;
    std::int32_t status = 0;
    std::string body;

    bool operator==(const claim_value&) const = default;
};

} // namespace lovagetack::requests

template <>
struct lovagetack::base::fields_of<lovagetack::requests::claim_value> {
    static constexpr std::string_view name = "claim_value";
    static constexpr auto list = std::make_tuple(
        make_field("claim", &requests::claim_value::claim), make_field("done", &requests::claim_value::done),
        make_field("status", &requests::claim_value::status), make_field("body", &requests::claim_value::body));
};
