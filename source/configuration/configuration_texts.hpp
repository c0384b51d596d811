#pragma once

#include <map>
#include <string>

#include "base/fields.hpp"

namespace lovagetack::configuration {

/// Value of the fact "all" of kind configuration: all texts of the table configuration.
struct configuration_texts {
    std::string base;
    /// Overlay text by data centre.
    std::map<std::string, std::string> overlays;

    bool operator==(const configuration_texts&) const = default;
};

} // namespace lovagetack::configuration

template <>
struct lovagetack::base::fields_of<lovagetack::configuration::configuration_texts> {
    static constexpr std::string_view name = "configuration_texts";
    static constexpr auto list = std::make_tuple(make_field("base", &configuration::configuration_texts::base),
                                                 make_field("overlays", &configuration::configuration_texts::overlays));
};
