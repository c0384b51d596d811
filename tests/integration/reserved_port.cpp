#include "integration/reserved_port.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <system_error>
#include <utility>

namespace lovagetack::harness {

reserved_port::reserved_port() : socket_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    const int enabled = 1;
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    const bool bound = setsockopt(socket_, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled) == 0 &&
                       bind(socket_, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0 &&
                       getsockname(socket_, reinterpret_cast<sockaddr*>(&address), &size) == 0;
    if (!bound) {
        throw std::system_error(errno, std::generic_category(), "no free port");
    }
    number_ = ntohs(address.sin_port);
}

reserved_port::~reserved_port() {
    if (socket_ >= 0) {
        close(socket_);
    }
}

reserved_port::reserved_port(reserved_port&& other) noexcept
    : socket_(std::exchange(other.socket_, -1)), number_(other.number_) {}

reserved_port& reserved_port::operator=(reserved_port&& other) noexcept {
    std::swap(socket_, other.socket_);
    std::swap(number_, other.number_);
    return *this;
}

std::string reserved_port::address() const {
    return "127.0.0.1:" + std::to_string(number_);
}

} // namespace lovagetack::harness
