#pragma once

#include <string>
#include <utility>

#include <boost/outcome.hpp>
#include <boost/outcome/try.hpp>

#include "base/result_code.hpp"

namespace lovagetack::base {

/// Why an operation failed: a numeric code and a one-line message for people.
struct error {
    result_code code = result_code::ok;
    std::string message;
};

/// A value or an error. Accessing the one that is absent throws bad_result_access and is a programming error.
template <class Value>
using result = boost::outcome_v2::checked<Value, error>;

[[nodiscard]] inline auto failure(result_code code, std::string message) {
    return boost::outcome_v2::failure(error{code, std::move(message)});
}

[[nodiscard]] inline auto success() {
    return boost::outcome_v2::success();
}

} // namespace lovagetack::base
