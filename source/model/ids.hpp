#pragma once

#include <compare>
#include <cstdint>

#include "base/fields.hpp"
#include "base/strong_id.hpp"
#include "base/strong_number.hpp"

namespace lovagetack::model {

using instance_id = base::strong_id<struct instance_tag>;
using data_centre_id = base::strong_id<struct data_centre_tag>;
using service_id = base::strong_id<struct service_tag>;
using backend_server_id = base::strong_id<struct backend_server_tag>;
using client_account_id = base::strong_id<struct client_account_tag>;
using request_id = base::strong_id<struct request_tag>;

/// Number of one run of an instance: its start in milliseconds since 1970. A later run of the same name is higher.
using incarnation = base::strong_number<struct incarnation_tag>;

/// Number of a controller's term. Epochs are allocated through the platform's table service and never reused.
using epoch = base::strong_number<struct epoch_tag>;

/// Number of one pending call to the platform, unique within the instance.
using operation_id = base::strong_number<struct operation_tag>;

/// Number of one attempt of a request, unique within the instance.
using attempt_id = base::strong_number<struct attempt_tag>;

/// Fencing token of the right to serve a range: the granting controller's epoch and its counter. A later grant has the
/// greater fence.
struct fence {
    model::epoch epoch;
    std::uint64_t sequence = 0;

    auto operator<=>(const fence&) const = default;
};

/// Version of a fact: the greater replaces the smaller. For facts from a table row, epoch is 0 and sequence is the row
/// version.
struct fact_version {
    std::uint64_t epoch = 0;
    std::uint64_t sequence = 0;

    auto operator<=>(const fact_version&) const = default;
};

} // namespace lovagetack::model

template <>
struct lovagetack::base::fields_of<lovagetack::model::fence> {
    static constexpr std::string_view name = "fence";
    static constexpr auto list =
        std::make_tuple(make_field("epoch", &model::fence::epoch), make_field("sequence", &model::fence::sequence));
};

template <>
struct lovagetack::base::fields_of<lovagetack::model::fact_version> {
    static constexpr std::string_view name = "fact_version";
    static constexpr auto list = std::make_tuple(make_field("epoch", &model::fact_version::epoch),
                                                 make_field("sequence", &model::fact_version::sequence));
};
