#pragma once

#include <stdexcept>
#include <utility>

#include "base/result.hpp"

namespace lovagetack::soak {

/// Returns the value of a result. Throws std::runtime_error with the error message on failure.
template <class Value>
Value checked(base::result<Value> result) {
    if (!result) {
        throw std::runtime_error(result.error().message);
    }
    return std::move(result).value();
}

} // namespace lovagetack::soak
