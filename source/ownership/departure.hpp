#pragma once

#include <cstdint>

#include "model/ids.hpp"

namespace lovagetack::ownership {

/// A range that moves to another data centre. It is not granted here while the own row is at row_version or below.
struct departure {
    model::service_id service;
    std::uint64_t first = 0;
    std::uint64_t last = 0;
    model::data_centre_id destination;
    std::uint64_t row_version = 0;

    bool operator==(const departure&) const = default;
};

} // namespace lovagetack::ownership
