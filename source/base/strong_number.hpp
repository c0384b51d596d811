#pragma once

#include <compare>
#include <cstdint>
#include <functional>

namespace lovagetack::base {

/// An unsigned 64-bit number typed by its tag (epoch, incarnation); numbers with different tags do not convert into
/// each other.
template <class Tag>
class strong_number {
public:
    constexpr strong_number() = default;
    constexpr explicit strong_number(std::uint64_t value) : value_(value) {}

    [[nodiscard]] constexpr std::uint64_t value() const { return value_; }
    [[nodiscard]] constexpr strong_number next() const { return strong_number(value_ + 1); }

    constexpr auto operator<=>(const strong_number&) const = default;

private:
    std::uint64_t value_ = 0;
};

} // namespace lovagetack::base

template <class Tag>
struct std::hash<lovagetack::base::strong_number<Tag>> {
    std::size_t operator()(const lovagetack::base::strong_number<Tag>& number) const noexcept {
        return std::hash<std::uint64_t>{}(number.value());
    }
};
