#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace lovagetack::http {

/// A request body that is held once, in parts of part_bytes and a last shorter one. The division into parts depends on
/// the body alone, not on how it arrived.
///
/// The first part is a string, so that a small body costs one allocation and an empty one none. The other parts are
/// mapped from the system and returned to it with the body; the allocator would keep their memory for the process.
class stored_body {
public:
    /// Expects a body of this length; the first part is allocated for it when it begins to arrive.
    void expect(std::uint64_t bytes) { expected_ = bytes; }
    /// Returns false if the system has no memory; the body is incomplete then.
    [[nodiscard]] bool append(std::string_view bytes);
    /// Frees the bytes; size() stays.
    void release();

    [[nodiscard]] std::uint64_t size() const { return size_; }
    [[nodiscard]] bool empty() const { return size_ == 0; }
    [[nodiscard]] std::size_t parts() const { return 1 + mapped_.size(); }
    /// The first part of an empty body is empty.
    [[nodiscard]] std::string_view part(std::size_t number) const;
    static constexpr std::size_t part_bytes = std::size_t(64) * 1024;

private:
    struct unmap {
        void operator()(char* bytes) const;
    };

    std::string first_;
    std::vector<std::unique_ptr<char, unmap>> mapped_;
    std::uint64_t size_ = 0;
    std::uint64_t expected_ = 0;
};

} // namespace lovagetack::http
