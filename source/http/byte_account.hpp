#pragma once

#include <cstdint>
#include <limits>

namespace lovagetack::http {

/// Sizes of a byte account, in bytes.
struct byte_limits {
    /// Most bytes held for all callers together.
    std::uint64_t total = std::numeric_limits<std::uint64_t>::max();
    /// Part of the total that only small holders can take.
    std::uint64_t reserve = 0;
};

/// Limits for a process on a machine with this memory, in bytes; none for 0, which stands for unknown.
[[nodiscard]] byte_limits limits_for_memory(std::uint64_t memory);

/// Bytes that a process holds for its callers. Every holder has a byte_charge, which takes bytes from the account.
///
/// The load it answers: callers that together send more than the memory holds. A holder above small_bytes cannot take
/// the reserve, so a caller with a small request still gets room while large bodies are refused.
class byte_account {
public:
    explicit byte_account(const byte_limits& limits = {}) : limits_(limits) {}

    [[nodiscard]] std::uint64_t held() const { return small_ + large_ + buffered_; }
    [[nodiscard]] const byte_limits& limits() const { return limits_; }
    /// Bytes in the buffers of connections, which are measured from time to time rather than taken.
    void set_buffered(std::uint64_t bytes) { buffered_ = bytes; }
    /// Only the reserve is left, so that holders have to make progress.
    [[nodiscard]] bool is_scarce() const { return held() > limits_.total - limits_.reserve; }

    /// Largest charge that counts as small: a body of 64 KiB and its header.
    static constexpr std::uint64_t small_bytes = std::uint64_t(96) * 1024;

private:
    friend class byte_charge;

    /// Changes the charge of one holder; returns false and does nothing if the new charge does not fit.
    bool change(std::uint64_t from, std::uint64_t to);
    [[nodiscard]] std::uint64_t& part_of(std::uint64_t charge) { return charge > small_bytes ? large_ : small_; }

    byte_limits limits_;
    std::uint64_t small_ = 0;
    std::uint64_t large_ = 0;
    std::uint64_t buffered_ = 0;
};

/// The bytes that one holder has taken from an account; they return to it with the end of this object.
class byte_charge {
public:
    /// The account must outlive the charge.
    explicit byte_charge(byte_account& account) : account_(account) {}
    ~byte_charge() { account_.change(bytes_, 0); }
    byte_charge(const byte_charge&) = delete;
    byte_charge& operator=(const byte_charge&) = delete;

    [[nodiscard]] std::uint64_t bytes() const { return bytes_; }
    /// Returns false and changes nothing if the account has no room. Fewer bytes than before always fit.
    [[nodiscard]] bool resize(std::uint64_t bytes);

private:
    byte_account& account_;
    std::uint64_t bytes_ = 0;
};

} // namespace lovagetack::http
