#pragma once

#include <algorithm>
#include <cstdint>

#include "requests/limits.hpp"

namespace lovagetack::requests {

/// Token bucket that limits retries to a tenth of the requests, so that retries do not multiply the load of failures.
class retry_budget {
public:
    void count_request() { tenths_ = std::min(tenths_ + 1, maximum_retry_tenths); }

    /// Takes the tokens of one retry; false if there are too few.
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
