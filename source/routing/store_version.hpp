#pragma once

#include <compare>
#include <cstdint>

namespace lovagetack::routing {

/// A version of the store. The store gives out numbers in ascending order, but after it comes back from a copy it gives
/// some of them out again, in a new era. Only era and number together are ordered. Eras count the restorations from 0.
class store_version {
public:
    constexpr store_version() = default;
    constexpr store_version(std::uint64_t era, std::uint64_t number)
        : ordered_((era << number_bits) | (number & largest_number)) {}

    /// From one integer that is ordered as the versions are. Rows, messages and events carry versions in this form, so
    /// that comparing them compares the eras; in the first era it is the number itself.
    static constexpr store_version from_ordered(std::uint64_t ordered) {
        return {ordered >> number_bits, ordered & largest_number};
    }

    [[nodiscard]] constexpr std::uint64_t era() const { return ordered_ >> number_bits; }
    [[nodiscard]] constexpr std::uint64_t number() const { return ordered_ & largest_number; }
    [[nodiscard]] constexpr std::uint64_t ordered() const { return ordered_; }

    constexpr auto operator<=>(const store_version&) const = default;

private:
    static constexpr unsigned number_bits = 40;
    static constexpr std::uint64_t largest_number = (std::uint64_t(1) << number_bits) - 1;

    std::uint64_t ordered_ = 0;
};

/// The era of a version in its ordered form.
constexpr std::uint64_t era_of(std::uint64_t ordered_version) {
    return store_version::from_ordered(ordered_version).era();
}

} // namespace lovagetack::routing
