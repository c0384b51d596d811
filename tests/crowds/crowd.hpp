#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace lovagetack::crowds {

/// What each caller of a crowd sends: a head, then `piece` over and over, `bytes` bytes in all after the head. It then
/// keeps its connection open, reads nothing and never sends the rest.
struct behaviour {
    std::string head;
    std::string piece;
    std::size_t bytes = 0;
    /// Bytes that one caller sends before it is the turn of the next.
    std::size_t bytes_in_turn = 0;
};

/// Callers on non-blocking sockets; the destructor closes them.
class crowd {
public:
    /// Opens the connections; throws std::system_error if one cannot be opened.
    crowd(std::uint16_t port, std::size_t callers, behaviour sent);
    ~crowd();
    crowd(const crowd&) = delete;
    crowd& operator=(const crowd&) = delete;

    /// Sends, while the event loop runs, until each caller has sent all, was cut off or is not read from any more.
    void send();

private:
    struct caller {
        int socket = -1;
        std::size_t sent = 0;
        bool ended = false;
    };

    bool send_turn(caller& member) const;

    behaviour behaviour_;
    std::string text_;
    std::vector<caller> callers_;
};

} // namespace lovagetack::crowds
