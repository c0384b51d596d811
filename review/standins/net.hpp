#pragma once

#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

using steady = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline steady::time_point program_start = steady::now();

/// Milliseconds since the start of the program.
inline long long now_ms() {
    return std::chrono::duration_cast<milliseconds>(steady::now() - program_start).count();
}

struct case_insensitive {
    bool operator()(const std::string& left, const std::string& right) const {
        return strcasecmp(left.c_str(), right.c_str()) < 0;
    }
};

/// One HTTP/1.1 message; requests and answers have the same form.
struct message {
    std::string start_line;
    std::map<std::string, std::string, case_insensitive> headers;
    std::string body;
    /// The bytes of the message ended as HTTP says.
    bool complete = false;

    std::string header(const std::string& name) const {
        const auto found = headers.find(name);
        return found == headers.end() ? std::string() : found->second;
    }
    std::string method() const { return start_line.substr(0, start_line.find(' ')); }
    std::string target() const {
        const auto begin = start_line.find(' ') + 1;
        return start_line.substr(begin, start_line.find(' ', begin) - begin);
    }
    int status() const { return start_line.size() > 12 ? std::atoi(start_line.c_str() + 9) : 0; }
};

/// A TCP connection with a buffer of received bytes.
class connection {
public:
    explicit connection(int descriptor) : descriptor_(descriptor) {
        const int on = 1;
        ::setsockopt(descriptor_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    }
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;
    ~connection() { close(); }

    static std::unique_ptr<connection> open(const std::string& host, int port) {
        const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        ::inet_pton(AF_INET, host.c_str(), &address.sin_addr);
        if (::connect(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0) {
            ::close(descriptor);
            return nullptr;
        }
        return std::make_unique<connection>(descriptor);
    }

    bool write(const std::string& bytes) {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            const auto count = ::send(descriptor_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (count <= 0) {
                return false;
            }
            sent += static_cast<std::size_t>(count);
        }
        return true;
    }

    /// Reads the next message; false if none came before the deadline or the connection ended before its header.
    /// A body that was cut short is returned with `complete` unset.
    bool read(message& result, steady::time_point deadline, bool keep_body = true) {
        result = {};
        std::size_t end = 0;
        while ((end = input_.find("\r\n\r\n")) == std::string::npos) {
            if (!fill(deadline)) {
                return false;
            }
        }
        parse_header(input_.substr(0, end), result);
        input_.erase(0, end + 4);
        if (strcasecmp(result.header("Transfer-Encoding").c_str(), "chunked") == 0) {
            return read_chunks(result, deadline);
        }
        std::size_t left = std::strtoull(result.header("Content-Length").c_str(), nullptr, 10);
        while (left > 0) {
            const auto count = std::min(left, input_.size());
            if (keep_body) {
                result.body.append(input_, 0, count);
            }
            input_.erase(0, count);
            left -= count;
            if (left > 0 && !fill(deadline)) {
                return true;
            }
        }
        result.complete = true;
        return true;
    }

    bool has_ended() const { return ended_; }
    int descriptor() const { return descriptor_; }

    /// Whether the peer has closed the connection.
    bool peer_closed() const {
        pollfd query{descriptor_, POLLRDHUP, 0};
        return ::poll(&query, 1, 0) > 0;
    }

    void reset() {
        const linger now{1, 0};
        ::setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
        close();
    }
    void close() {
        if (descriptor_ >= 0) {
            ::close(descriptor_);
            descriptor_ = -1;
        }
    }

private:
    bool fill(steady::time_point deadline) {
        const auto left = std::chrono::duration_cast<milliseconds>(deadline - steady::now()).count();
        pollfd query{descriptor_, POLLIN, 0};
        if (left <= 0 || ::poll(&query, 1, static_cast<int>(left)) <= 0) {
            return false;
        }
        char bytes[65536];
        const auto count = ::recv(descriptor_, bytes, sizeof(bytes), 0);
        if (count <= 0) {
            ended_ = true;
            return false;
        }
        input_.append(bytes, static_cast<std::size_t>(count));
        return true;
    }

    static void parse_header(const std::string& text, message& result) {
        std::size_t at = text.find("\r\n");
        result.start_line = text.substr(0, at);
        while (at != std::string::npos) {
            const auto begin = at + 2;
            at = text.find("\r\n", begin);
            const auto line = text.substr(begin, at == std::string::npos ? at : at - begin);
            const auto colon = line.find(':');
            const auto value = line.find_first_not_of(' ', colon + 1);
            result.headers[line.substr(0, colon)] = value == std::string::npos ? "" : line.substr(value);
        }
    }

    bool read_chunks(message& result, steady::time_point deadline) {
        for (;;) {
            std::size_t end = 0;
            while ((end = input_.find("\r\n")) == std::string::npos) {
                if (!fill(deadline)) {
                    return true;
                }
            }
            const auto size = std::strtoull(input_.c_str(), nullptr, 16);
            while (input_.size() < end + 2 + size + 2) {
                if (!fill(deadline)) {
                    return true;
                }
            }
            result.body.append(input_, end + 2, size);
            input_.erase(0, end + 2 + size + 2);
            if (size == 0) {
                result.complete = true;
                return true;
            }
        }
    }

    int descriptor_;
    std::string input_;
    bool ended_ = false;
};

/// Listens on a loopback address and runs a function for each connection, in a thread of its own.
class listener {
public:
    using function = std::function<void(connection&)>;

    listener(const std::string& host, function serve) : host_(host), serve_(std::move(serve)) {
        descriptor_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        ::setsockopt(descriptor_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        sockaddr_in address{};
        address.sin_family = AF_INET;
        ::inet_pton(AF_INET, host.c_str(), &address.sin_addr);
        socklen_t length = sizeof(address);
        if (::bind(descriptor_, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0 ||
            ::listen(descriptor_, 512) != 0 ||
            ::getsockname(descriptor_, reinterpret_cast<sockaddr*>(&address), &length) != 0) {
            std::perror("listen");
            std::_Exit(2);
        }
        port_ = ntohs(address.sin_port);
        std::thread([this] { accept(); }).detach();
    }

    int port() const { return port_; }
    std::string address() const { return host_ + ":" + std::to_string(port_); }

private:
    void accept() {
        for (;;) {
            const int descriptor = ::accept4(descriptor_, nullptr, nullptr, SOCK_CLOEXEC);
            if (descriptor < 0) {
                continue;
            }
            std::thread([this, descriptor] {
                connection peer(descriptor);
                serve_(peer);
            }).detach();
        }
    }

    std::string host_;
    function serve_;
    int descriptor_ = -1;
    int port_ = 0;
};

/// A port that was free a moment ago.
inline int free_port(const std::string& host, int type = SOCK_STREAM) {
    const int descriptor = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    ::inet_pton(AF_INET, host.c_str(), &address.sin_addr);
    socklen_t length = sizeof(address);
    ::bind(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof(address));
    ::getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &length);
    ::close(descriptor);
    return ntohs(address.sin_port);
}
