#pragma once

#include <algorithm>
#include <cstddef>
#include <string>
#include <string_view>

namespace lovagetack::base {

/// At most `longest` bytes of the text, with `?` for each byte that is not printable ASCII.
inline std::string printable_text(std::string_view text, std::size_t longest) {
    std::string shown(text.substr(0, longest));
    std::replace_if(
        shown.begin(), shown.end(), [](char byte) { return byte < ' ' || byte > '~'; }, '?');
    return shown;
}

} // namespace lovagetack::base
