#pragma once

#include <algorithm>
#include <cstdint>

#include "requests/limits.hpp"

namespace lovagetack::requests {

/// Token bucket that bounds retries to a tenth of the requests, so that failures are not multiplied.
class retry_budget {
public:
    void count_request() { tenths_ = std::min(tenths_ + 1, maximum_retry_tenths); }

    /// Takes one retry if there is one.
    [[nodiscard]] bool take() {
        if (tenths_ < retry_cost_tenths) {
            return false;
        }
        tenths_ -= retry_cost_tenths;
        return true;
    }

private:
    std::int32_t tenths_ = maximum_retry_tenths;
};

} // namespace lovagetack::requests
