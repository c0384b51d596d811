#pragma once

#include <stdexcept>
#include <utility>

#include "base/result.hpp"

namespace lovagetack::soak {

/// The value of a result. Throws std::runtime_error with the message of a failure.
template <class Value>
Value checked(base::result<Value> result) {
    if (!result) {
        throw std::runtime_error(result.error().message);
    }
    return std::move(result).value();
}

} // namespace lovagetack::soak
