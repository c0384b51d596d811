#pragma once

#include <cstdint>
#include <string>

namespace lovagetack::harness {

/// A free port of 127.0.0.1, kept for as long as the object lives: its socket stays bound without listening, so that
/// the system gives the port to nobody, while a process that sets SO_REUSEADDR can still listen on it.
class reserved_port {
public:
    /// Throws std::system_error when no port is free.
    reserved_port();
    ~reserved_port();
    reserved_port(reserved_port&& other) noexcept;
    reserved_port& operator=(reserved_port&& other) noexcept;
    reserved_port(const reserved_port&) = delete;
    reserved_port& operator=(const reserved_port&) = delete;

    [[nodiscard]] std::uint16_t number() const { return number_; }
    /// "127.0.0.1:PORT"
    [[nodiscard]] std::string address() const;

private:
    int socket_ = -1;
    std::uint16_t number_ = 0;
};

} // namespace lovagetack::harness
