#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include "base/fields.hpp"
#include "model/ids.hpp"

namespace lovagetack::model {

/// What an operator can take out of service.
enum class subject_kind : std::uint8_t {
    data_centre = 0,
    instance = 1,
    backend_server = 2,
};

enum class availability : std::uint8_t {
    in_service = 0,
    drained = 1,
    /// Taken out of service and permanently gone: its ranges may be reassigned without its consent.
    lost = 2,
};

/// An order of an operator about one data centre, instance or backend server; value of the row
/// service_states/<kind>.<name> and of the fact of the same name. Fact version: (row version it builds on,
/// operator_time).
struct service_state {
    subject_kind kind = subject_kind::data_centre;
    std::string name;
    model::availability availability = availability::in_service;
    /// Version of the row; 0 while the order is not yet in the store.
    std::uint64_t row_version = 0;
    /// Time since 1970, set by the instance that received the order.
    std::chrono::milliseconds operator_time = std::chrono::milliseconds(0);
    /// Read from or written to the row; else the order is still to be written.
    bool in_store = false;

    bool operator==(const service_state&) const = default;
};

/// "data-centre", "instance" or "backend-server", as in row keys and on the command line.
[[nodiscard]] std::string subject_kind_name(subject_kind kind);

} // namespace lovagetack::model

template <>
struct lovagetack::base::fields_of<lovagetack::model::service_state> {
    static constexpr std::string_view name = "service_state";
    static constexpr auto list = std::make_tuple(make_field("kind", &model::service_state::kind),
                                                 make_field("name", &model::service_state::name),
                                                 make_field("availability", &model::service_state::availability),
                                                 make_field("row_version", &model::service_state::row_version),
                                                 make_field("operator_time", &model::service_state::operator_time),
                                                 make_field("in_store", &model::service_state::in_store));
};
