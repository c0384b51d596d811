#pragma once

#include <string>
#include <vector>

#include "base/fields.hpp"

namespace lovagetack::model {

/// One key=value pair.
struct timeline_field {
    std::string key;
    std::string value;

    bool operator==(const timeline_field&) const = default;
};

/// Effect: an entry of the log and of the time line of events, for example with the name "range_activated".
struct timeline_entry {
    std::string name;
    std::vector<timeline_field> fields;

    bool operator==(const timeline_entry&) const = default;
};

} // namespace lovagetack::model

template <>
struct lovagetack::base::fields_of<lovagetack::model::timeline_field> {
    static constexpr std::string_view name = "timeline_field";
    static constexpr auto list = std::make_tuple(make_field("key", &model::timeline_field::key),
                                                 make_field("value", &model::timeline_field::value));
};

template <>
struct lovagetack::base::fields_of<lovagetack::model::timeline_entry> {
    static constexpr std::string_view name = "timeline_entry";
    static constexpr auto list = std::make_tuple(make_field("name", &model::timeline_entry::name),
                                                 make_field("fields", &model::timeline_entry::fields));
};
