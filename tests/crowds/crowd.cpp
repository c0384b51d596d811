#include "crowds/crowd.hpp"

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <system_error>
#include <utility>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <QCoreApplication>

namespace lovagetack::crowds {
namespace {

/// A process that reads nothing from any caller for this long waits for something else.
constexpr auto unread_time = std::chrono::seconds(3);
/// Least length of the text that holds the repeated piece.
constexpr std::size_t text_bytes = std::size_t(64) * 1024;

int open_connection(std::uint16_t port) {
    const int opened = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (opened < 0 || ::connect(opened, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
        throw std::system_error(errno, std::generic_category(), "cannot connect to the instance");
    }
    ::fcntl(opened, F_SETFL, O_NONBLOCK);
    return opened;
}

} // namespace

crowd::crowd(std::uint16_t port, std::size_t callers, behaviour sent) : behaviour_(std::move(sent)) {
    while (text_.size() < text_bytes) {
        text_ += behaviour_.piece;
    }
    for (std::size_t number = 0; number < callers; ++number) {
        callers_.push_back({open_connection(port)});
        QCoreApplication::processEvents();
        ::send(callers_.back().socket, behaviour_.head.data(), behaviour_.head.size(), MSG_NOSIGNAL);
    }
}

crowd::~crowd() {
    for (const auto& member : callers_) {
        ::close(member.socket);
    }
}

bool crowd::send_turn(caller& member) const {
    bool progress = false;
    std::size_t left = std::min(behaviour_.bytes_in_turn, behaviour_.bytes - member.sent);
    while (left > 0) {
        const std::size_t at = member.sent % text_.size();
        const auto sent = ::send(member.socket, text_.data() + at, std::min(left, text_.size() - at), MSG_NOSIGNAL);
        if (sent <= 0) {
            member.ended = errno != EAGAIN && errno != EWOULDBLOCK;
            return progress;
        }
        member.sent += static_cast<std::size_t>(sent);
        left -= static_cast<std::size_t>(sent);
        progress = true;
    }
    member.ended = member.sent == behaviour_.bytes;
    return progress;
}

void crowd::send() {
    const auto has_ended = [](const caller& member) { return member.ended; };
    auto last_progress = std::chrono::steady_clock::now();
    while (!std::all_of(callers_.begin(), callers_.end(), has_ended) &&
           std::chrono::steady_clock::now() - last_progress < unread_time) {
        for (auto& member : callers_) {
            if (!member.ended && send_turn(member)) {
                last_progress = std::chrono::steady_clock::now();
            }
        }
        QCoreApplication::processEvents();
    }
}

} // namespace lovagetack::crowds
