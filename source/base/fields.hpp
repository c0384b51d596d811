#pragma once

#include <string_view>
#include <tuple>

namespace lovagetack::base {

/// One named member of a plain struct.
template <class Object, class Member>
struct field {
    std::string_view name;
    Member Object::*member;
};

template <class Object, class Member>
constexpr field<Object, Member> make_field(std::string_view name, Member Object::*member) {
    return {name, member};
}

/// Specialise for a struct that is recorded or sent as JSON:
///     template <> struct fields_of<point> {
///         static constexpr std::string_view name = "point";
///         static constexpr auto list = std::make_tuple(make_field("x", &point::x), make_field("y", &point::y));
///     };
/// The name identifies the alternative when the struct is a member of a std::variant.
template <class Object>
struct fields_of;

template <class Object>
concept has_fields = requires {
    fields_of<Object>::list;
};

} // namespace lovagetack::base
