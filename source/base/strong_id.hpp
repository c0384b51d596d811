#pragma once

#include <compare>
#include <functional>
#include <string>
#include <utility>

namespace lovagetack::base {

/// A string identifier typed by its tag; identifiers with different tags do not convert into each other.
template <class Tag>
class strong_id {
public:
    strong_id() = default;
    explicit strong_id(std::string value) : value_(std::move(value)) {}

    [[nodiscard]] const std::string& value() const { return value_; }
    [[nodiscard]] bool empty() const { return value_.empty(); }

    auto operator<=>(const strong_id&) const = default;

private:
    std::string value_;
};

} // namespace lovagetack::base

template <class Tag>
struct std::hash<lovagetack::base::strong_id<Tag>> {
    std::size_t operator()(const lovagetack::base::strong_id<Tag>& id) const noexcept {
        return std::hash<std::string>{}(id.value());
    }
};
