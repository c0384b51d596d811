#pragma once

#include <compare>
#include <cstdint>
#include <string>

#include "base/fields.hpp"
#include "model/ids.hpp"

namespace lovagetack::model {

/// Kind of a fact. Facts of unknown kinds are forwarded without decoding, so that mixed versions can run together.
enum class fact_kind : std::uint8_t {
    unknown = 0,
    member = 1,
    configuration = 2,
    assignment = 3,
    activation = 4,
    controller = 5,
    service_state = 6,
    load_report = 7,
};

/// Identity of a fact: at most one value is current for each name.
struct fact_name {
    fact_kind kind = fact_kind::unknown;
    std::string name;

    auto operator<=>(const fact_name&) const = default;
};

/// One piece of shared state; the higher version replaces the lower.
struct fact {
    fact_kind kind = fact_kind::unknown;
    std::string name;
    fact_version version;
    /// JSON text of the struct that belongs to the kind.
    std::string value;

    bool operator==(const fact&) const = default;
};

} // namespace lovagetack::model

template <>
struct lovagetack::base::fields_of<lovagetack::model::fact_name> {
    static constexpr std::string_view name = "fact_name";
    static constexpr auto list =
        std::make_tuple(make_field("kind", &model::fact_name::kind), make_field("name", &model::fact_name::name));
};

template <>
struct lovagetack::base::fields_of<lovagetack::model::fact> {
    static constexpr std::string_view name = "fact";
    static constexpr auto list =
        std::make_tuple(make_field("kind", &model::fact::kind), make_field("name", &model::fact::name),
                        make_field("version", &model::fact::version), make_field("value", &model::fact::value));
};
