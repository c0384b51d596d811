// Small stand-ins of the platform for the cases of this review: the metadata store, endpoints, the operator, clients
// and the start of the project's own processes. Threads and blocking sockets on loopback addresses; no dependency.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace kit {

using clock = std::chrono::steady_clock;
using namespace std::chrono_literals;

inline const clock::time_point start_time = clock::now();

inline std::int64_t now_ms() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(clock::now() - start_time).count();
}

inline std::int64_t unix_ms() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

/// The file record.txt of the case.
class record {
public:
    static record& get() {
        static record one;
        return one;
    }
    void open(const std::string& name) { file_ = std::fopen(name.c_str(), "w"); }
    void line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
        const std::lock_guard lock(mutex_);
        if (file_ == nullptr) {
            return;
        }
        std::fprintf(file_, "%7.3f ", static_cast<double>(now_ms()) / 1000.0);
        va_list arguments;
        va_start(arguments, format);
        std::vfprintf(file_, format, arguments);
        va_end(arguments);
        std::fputc('\n', file_);
        std::fflush(file_);
    }

private:
    std::FILE* file_ = nullptr;
    std::mutex mutex_;
};

#define RECORD(...) ::kit::record::get().line(__VA_ARGS__)

[[noreturn]] inline void cannot_run(const std::string& reason) {
    RECORD("cannot run: %s", reason.c_str());
    std::fprintf(stderr, "cannot run: %s\n", reason.c_str());
    std::exit(2);
}

// ---------------------------------------------------------------------------------------------- sockets

struct listener {
    int descriptor = -1;
    int port = 0;
};

inline listener listen_on(int port = 0) {
    listener made;
    made.descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    ::setsockopt(made.descriptor, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (::bind(made.descriptor, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
        ::listen(made.descriptor, 1024) != 0) {
        ::close(made.descriptor);
        made.descriptor = -1;
        return made;
    }
    socklen_t size = sizeof address;
    ::getsockname(made.descriptor, reinterpret_cast<sockaddr*>(&address), &size);
    made.port = ntohs(address.sin_port);
    return made;
}

/// A port that nobody uses, below those that the system gives to outgoing connections; another one with each call.
inline int free_port(int type = SOCK_STREAM) {
    static std::set<int> given;
    static unsigned next = static_cast<unsigned>(::getpid()) * 37U + static_cast<unsigned>(unix_ms() % 7919);
    for (int tries = 0; tries < 4000; ++tries) {
        const int port = 20000 + static_cast<int>(next++ % 12000U);
        const int descriptor = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        const bool is_free = ::bind(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
        ::close(descriptor);
        if (is_free && given.insert(port).second) {
            return port;
        }
    }
    cannot_run("no free port");
}

inline int connect_to(int port, int receive_buffer = 0) {
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (descriptor < 0) {
        return -1;
    }
    if (receive_buffer > 0) {
        ::setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
    }
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (::connect(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
        ::close(descriptor);
        return -1;
    }
    const int one = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    return descriptor;
}

inline bool send_all(int descriptor, const std::string& bytes) {
    std::size_t at = 0;
    while (at < bytes.size()) {
        const auto sent = ::send(descriptor, bytes.data() + at, bytes.size() - at, MSG_NOSIGNAL);
        if (sent <= 0) {
            return false;
        }
        at += static_cast<std::size_t>(sent);
    }
    return true;
}

inline void reset_connection(int descriptor) {
    const linger hard{1, 0};
    ::setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
    ::close(descriptor);
}

// ------------------------------------------------------------------------------------------------- HTTP

struct message {
    std::string first_line;
    std::map<std::string, std::string> header; // names in lower case
    std::string body;
    bool complete = false;

    [[nodiscard]] std::string field(const std::string& name) const {
        const auto found = header.find(name);
        return found == header.end() ? "" : found->second;
    }
    [[nodiscard]] int status() const { return first_line.size() > 12 ? std::atoi(first_line.c_str() + 9) : 0; }
    [[nodiscard]] std::string method() const { return first_line.substr(0, first_line.find(' ')); }
    [[nodiscard]] std::string target() const {
        const auto begin = first_line.find(' ') + 1;
        return first_line.substr(begin, first_line.rfind(' ') - begin);
    }
};

/// Reads messages from one connection, one after the other.
class reader {
public:
    explicit reader(int descriptor) : descriptor_(descriptor) {}

    /// Nothing if the connection ended or the time passed before a whole head had come. `complete` tells whether the
    /// body came whole. `is_answer`: a body without a length goes on to the end of the connection.
    std::optional<message> read(clock::time_point until, bool is_answer = false, bool head_only = false) {
        std::size_t end = 0;
        while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
            if (!more(until)) {
                return std::nullopt;
            }
        }
        message made;
        std::istringstream lines(buffer_.substr(0, end));
        buffer_.erase(0, end + 4);
        std::string line;
        std::getline(lines, line);
        made.first_line = line.substr(0, line.find('\r'));
        while (std::getline(lines, line)) {
            if (!line.empty() && line.back() == '\r') {
                line.pop_back();
            }
            const auto colon = line.find(':');
            if (colon == std::string::npos) {
                continue;
            }
            std::string name = line.substr(0, colon);
            std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return std::tolower(c); });
            auto value = line.substr(colon + 1);
            value.erase(0, value.find_first_not_of(' ') == std::string::npos ? value.size()
                                                                             : value.find_first_not_of(' '));
            made.header[name] = value;
        }
        if (head_only) {
            return made;
        }
        if (made.header.contains("content-length")) {
            const auto length = std::strtoull(made.header["content-length"].c_str(), nullptr, 10);
            while (buffer_.size() < length && more(until)) {
            }
            made.complete = buffer_.size() >= length;
            made.body = buffer_.substr(0, length);
            buffer_.erase(0, length);
        } else if (made.header.contains("transfer-encoding")) {
            made.complete = read_chunks(made.body, until);
        } else if (is_answer && made.status() != 204 && made.status() != 304) {
            while (more(until)) {
            }
            made.complete = ended_;
            made.body = std::exchange(buffer_, {});
        } else {
            made.complete = true;
        }
        return made;
    }

    [[nodiscard]] bool ended() const { return ended_; }
    [[nodiscard]] bool was_reset() const { return reset_; }
    [[nodiscard]] bool has_bytes() const { return !buffer_.empty(); }

private:
    bool read_chunks(std::string& body, clock::time_point until) {
        while (true) {
            std::size_t end = 0;
            while ((end = buffer_.find("\r\n")) == std::string::npos) {
                if (!more(until)) {
                    return false;
                }
            }
            const auto size = std::strtoull(buffer_.c_str(), nullptr, 16);
            while (buffer_.size() < end + 2 + size + 2) {
                if (!more(until)) {
                    return false;
                }
            }
            body.append(buffer_, end + 2, size);
            buffer_.erase(0, end + 2 + size + 2);
            if (size == 0) {
                return true;
            }
        }
    }

    bool more(clock::time_point until) {
        if (ended_ || reset_) {
            return false;
        }
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(until - clock::now()).count();
        if (left <= 0) {
            return false;
        }
        pollfd query{descriptor_, POLLIN, 0};
        if (::poll(&query, 1, static_cast<int>(std::min<std::int64_t>(left, 1000000))) <= 0) {
            return false;
        }
        char bytes[65536];
        const auto got = ::recv(descriptor_, bytes, sizeof bytes, 0);
        if (got <= 0) {
            ended_ = got == 0;
            reset_ = got < 0;
            return false;
        }
        buffer_.append(bytes, static_cast<std::size_t>(got));
        return true;
    }

    int descriptor_;
    std::string buffer_;
    bool ended_ = false;
    bool reset_ = false;
};

/// A server with a thread for each connection. `serve` owns the connection until it returns.
class tcp_server {
public:
    using function = std::function<void(int)>;

    explicit tcp_server(function serve, int port = 0) : serve_(std::move(serve)), listener_(listen_on(port)) {
        if (listener_.descriptor < 0) {
            cannot_run("no port to listen on");
        }
        std::thread([this] { accept_all(); }).detach();
    }
    [[nodiscard]] int port() const { return listener_.port; }
    /// Resets all connections and stops listening.
    void stop() {
        stopped_ = true;
        ::shutdown(listener_.descriptor, SHUT_RDWR);
        ::close(listener_.descriptor);
        const std::lock_guard lock(mutex_);
        for (const int open : open_) {
            const linger hard{1, 0};
            ::setsockopt(open, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
            ::shutdown(open, SHUT_RDWR);
        }
    }

private:
    void accept_all() {
        while (!stopped_) {
            const int descriptor = ::accept4(listener_.descriptor, nullptr, nullptr, SOCK_CLOEXEC);
            if (descriptor < 0) {
                if (stopped_) {
                    return;
                }
                std::this_thread::sleep_for(5ms);
                continue;
            }
            const int one = 1;
            ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
            {
                const std::lock_guard lock(mutex_);
                open_.insert(descriptor);
            }
            std::thread([this, descriptor] {
                serve_(descriptor);
                const std::lock_guard lock(mutex_);
                open_.erase(descriptor);
                ::close(descriptor);
            }).detach();
        }
    }

    function serve_;
    listener listener_;
    std::atomic<bool> stopped_ = false;
    std::mutex mutex_;
    std::set<int> open_;
};

inline std::string answer_text(int status, const std::string& fields, const std::string& body) {
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + fields + "Content-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

// ------------------------------------------------------------------------------------------------ store

inline std::string base64(const std::string& text) {
    static const char* const digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string made;
    for (std::size_t at = 0; at < text.size(); at += 3) {
        std::uint32_t bits = static_cast<unsigned char>(text[at]) << 16;
        bits |= at + 1 < text.size() ? static_cast<unsigned char>(text[at + 1]) << 8 : 0;
        bits |= at + 2 < text.size() ? static_cast<unsigned char>(text[at + 2]) : 0;
        made += digits[bits >> 18 & 63];
        made += digits[bits >> 12 & 63];
        made += at + 1 < text.size() ? digits[bits >> 6 & 63] : '=';
        made += at + 2 < text.size() ? digits[bits & 63] : '=';
    }
    return made;
}

inline std::string unbase64(const std::string& text) {
    std::string made;
    std::uint32_t bits = 0;
    int count = 0;
    for (const char c : text) {
        int value = -1;
        if (c >= 'A' && c <= 'Z')
            value = c - 'A';
        else if (c >= 'a' && c <= 'z')
            value = c - 'a' + 26;
        else if (c >= '0' && c <= '9')
            value = c - '0' + 52;
        else if (c == '+')
            value = 62;
        else if (c == '/')
            value = 63;
        if (value < 0) {
            continue;
        }
        bits = bits << 6 | static_cast<std::uint32_t>(value);
        if (++count == 4) {
            made += static_cast<char>(bits >> 16);
            made += static_cast<char>(bits >> 8);
            made += static_cast<char>(bits);
            count = 0;
            bits = 0;
        }
    }
    if (count == 2) {
        made += static_cast<char>(bits >> 4);
    } else if (count == 3) {
        made += static_cast<char>(bits >> 10);
        made += static_cast<char>(bits >> 2);
    }
    return made;
}

/// The objects of a list in a call's body, as maps of their fields. Values that the system writes hold no escapes.
inline std::vector<std::map<std::string, std::string>> objects_of(const std::string& json, const std::string& list) {
    std::vector<std::map<std::string, std::string>> made;
    auto at = json.find("\"" + list + "\":[");
    if (at == std::string::npos) {
        return made;
    }
    at += list.size() + 4;
    while (at < json.size() && json[at] != ']') {
        if (json[at] != '{') {
            ++at;
            continue;
        }
        std::map<std::string, std::string> object;
        ++at;
        while (json[at] != '}') {
            if (json[at] == ',') {
                ++at;
            }
            const auto name_end = json.find('"', at + 1);
            const auto name = json.substr(at + 1, name_end - at - 1);
            at = name_end + 2;
            if (json[at] == '"') {
                const auto end = json.find('"', at + 1);
                object[name] = json.substr(at + 1, end - at - 1);
                at = end + 1;
            } else {
                const auto end = json.find_first_of(",}", at);
                object[name] = json.substr(at, end - at);
                at = end;
            }
        }
        ++at;
        made.push_back(std::move(object));
    }
    return made;
}

inline std::string unescaped(const std::string& text) {
    std::string made;
    for (std::size_t at = 0; at < text.size(); ++at) {
        if (text[at] == '%' && at + 2 < text.size()) {
            made += static_cast<char>(std::strtol(text.substr(at + 1, 2).c_str(), nullptr, 16));
            at += 2;
        } else {
            made += text[at];
        }
    }
    return made;
}

inline std::map<std::string, std::string> query_of(const std::string& target) {
    std::map<std::string, std::string> made;
    const auto mark = target.find('?');
    std::istringstream parts(mark == std::string::npos ? "" : target.substr(mark + 1));
    std::string part;
    while (std::getline(parts, part, '&')) {
        const auto equals = part.find('=');
        made[part.substr(0, equals)] = equals == std::string::npos ? "" : unescaped(part.substr(equals + 1));
    }
    return made;
}

/// The platform's metadata store.
class store {
public:
    store() : server_([this](int descriptor) { serve(descriptor); }) {}
    [[nodiscard]] int port() const { return server_.port(); }
    /// Calls get no answer from now on.
    void set_silent(bool silent) { silent_ = silent; }

    void put(const std::string& table, const std::string& key, const std::string& value) {
        const std::lock_guard lock(mutex_);
        write(table, key, value);
        changed_.notify_all();
    }
    void remove(const std::string& table, const std::string& key) {
        const std::lock_guard lock(mutex_);
        erase(table, key);
        changed_.notify_all();
    }
    std::string value(const std::string& table, const std::string& key) {
        const std::lock_guard lock(mutex_);
        const auto found = rows_.find({table, key});
        return found == rows_.end() ? "" : found->second.value;
    }

private:
    using row_id = std::pair<std::string, std::string>;
    struct row {
        std::string value;
        std::uint64_t version = 0;
    };
    struct change {
        std::uint64_t version = 0;
        row_id id;
        bool deleted = false;
    };

    void write(const std::string& table, const std::string& key, const std::string& value) {
        rows_[{table, key}] = {value, ++version_};
        history_.push_back({version_, {table, key}, false});
    }
    void erase(const std::string& table, const std::string& key) {
        if (rows_.erase({table, key}) > 0) {
            history_.push_back({++version_, {table, key}, true});
        }
    }
    [[nodiscard]] std::string row_text(const row_id& id) const {
        const auto found = rows_.find(id);
        std::string text = "{\"table\":\"" + id.first + "\",\"part\":\"\",\"key\":\"" + id.second + "\"";
        if (found != rows_.end()) {
            text +=
                ",\"value\":\"" + base64(found->second.value) + "\",\"ver\":" + std::to_string(found->second.version);
        } else {
            text += ",\"ver\":0";
        }
        return text + "}";
    }
    [[nodiscard]] std::string envelope() const {
        return "\"ver\":" + std::to_string(version_) + ",\"now_ms\":" + std::to_string(1000000 + now_ms());
    }

    void serve(int descriptor) {
        reader in(descriptor);
        while (const auto call = in.read(clock::now() + 300s)) {
            std::this_thread::sleep_for(4ms);
            const auto answer = handle(*call);
            if (silent_) {
                continue;
            }
            if (!send_all(descriptor, answer)) {
                return;
            }
        }
    }

    std::string handle(const message& call) {
        const auto target = call.target();
        const auto path = target.substr(0, target.find('?'));
        const auto query = query_of(target);
        const auto word = [&query](const char* name) {
            const auto found = query.find(name);
            return found == query.end() ? std::string() : found->second;
        };
        std::unique_lock lock(mutex_);
        if (path == "/v1/rows-get") {
            std::string rows;
            const auto to = word("target");
            for (auto at = rows_.lower_bound({word("table"), word("from")}); at != rows_.end(); ++at) {
                if (at->first.first != word("table") || (!to.empty() && at->first.second >= to)) {
                    break;
                }
                rows += (rows.empty() ? "" : ",") + row_text(at->first);
            }
            return json(200, "{\"rows\":[" + rows + "],\"has_more\":false," + envelope() + "}");
        }
        if (path == "/v1/rows-feed") {
            const auto after = std::strtoull(word("after").c_str(), nullptr, 10);
            const auto until = clock::now() + std::chrono::milliseconds(std::atoi(word("wait_ms").c_str()));
            const auto table = word("table");
            while (true) {
                std::string rows;
                for (const auto& item : history_) {
                    if (item.version <= after || item.id.first != table) {
                        continue;
                    }
                    std::string text = "{\"table\":\"" + table + "\",\"part\":\"\",\"key\":\"" + item.id.second +
                                       "\",\"ver\":" + std::to_string(item.version);
                    const auto found = rows_.find(item.id);
                    if (item.deleted || found == rows_.end()) {
                        text += ",\"deleted\":true}";
                    } else {
                        text += ",\"value\":\"" + base64(found->second.value) + "\"}";
                    }
                    rows += (rows.empty() ? "" : ",") + text;
                }
                if (!rows.empty() || clock::now() >= until) {
                    return json(200, "{\"rows\":[" + rows + "]," + envelope() + "}");
                }
                changed_.wait_until(lock, until);
            }
        }
        if (path == "/v1/rows-tx") {
            std::string conflicts;
            for (auto& item : objects_of(call.body, "expect")) {
                const auto found = rows_.find({item["table"], item["key"]});
                const auto version = found == rows_.end() ? 0 : found->second.version;
                if (version != std::strtoull(item["ver"].c_str(), nullptr, 10)) {
                    conflicts += (conflicts.empty() ? "" : ",") + row_text({item["table"], item["key"]});
                }
            }
            if (!conflicts.empty()) {
                return json(412, "{\"rows\":[" + conflicts + "]," + envelope() + "}");
            }
            // One transaction has one version.
            const auto version = ++version_;
            for (auto& item : objects_of(call.body, "puts")) {
                rows_[{item["table"], item["key"]}] = {unbase64(item["value"]), version};
                history_.push_back({version, {item["table"], item["key"]}, false});
            }
            for (auto& item : objects_of(call.body, "remove")) {
                if (rows_.erase({item["table"], item["key"]}) > 0) {
                    history_.push_back({version, {item["table"], item["key"]}, true});
                }
            }
            changed_.notify_all();
            return json(200, "{" + envelope() + "}");
        }
        return json(404, "{}");
    }

    static std::string json(int status, const std::string& body) {
        return answer_text(status, "Content-Type: application/json\r\n", body);
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<row_id, row> rows_;
    std::vector<change> history_;
    std::uint64_t version_ = 0;
    std::atomic<bool> silent_ = false;
    tcp_server server_;
};

// --------------------------------------------------------------------------------------------- endpoints

/// What an endpoint does with a request that it runs; returns the whole answer, or nothing to end the connection.
struct endpoint_call {
    const message& request;
    int descriptor;
    std::string signed_fields; // id and proof of the answer
};

class endpoint {
public:
    using behaviour = std::function<std::string(const endpoint_call&)>;

    endpoint(store& registry, std::string id, std::string service, std::string zone, int slots, behaviour run)
        : store_(registry), id_(std::move(id)), service_(std::move(service)), zone_(std::move(zone)), slots_(slots),
          run_(std::move(run)), server_([this](int descriptor) { serve(descriptor); }) {
        publish("ready");
    }
    void publish(const std::string& state) {
        store_.put("servers", id_,
                   "{\"address\":\"127.0.0.1:" + std::to_string(server_.port()) +
                       "\",\"born\":" + std::to_string(born_) + ",\"info\":{\"service\":\"" + service_ +
                       "\",\"version\":\"1\",\"zone\":\"" + zone_ + "\",\"slots\":" + std::to_string(slots_) +
                       "},\"status\":{\"state\":\"" + state + "\",\"seq\":" + std::to_string(++sequence_) +
                       ",\"cold_remaining_ms\":0}}");
    }
    [[nodiscard]] const std::string& id() const { return id_; }
    [[nodiscard]] int port() const { return server_.port(); }
    [[nodiscard]] int runs(const std::string& request) {
        const std::lock_guard lock(mutex_);
        const auto found = runs_.find(request);
        return found == runs_.end() ? 0 : found->second;
    }

private:
    void serve(int descriptor) {
        reader in(descriptor);
        while (const auto request = in.read(clock::now() + 300s)) {
            if (!request->complete) {
                return;
            }
            const auto answer = handle(descriptor, *request);
            if (answer.empty() || !send_all(descriptor, answer)) {
                return;
            }
        }
    }
    std::string handle(int descriptor, const message& request) {
        if (request.target() == "/health") {
            return answer_text(200, "Lovagetack-Instance-Id: " + id_ + "\r\n", "");
        }
        const auto name = request.field("lovagetack-request-id");
        const auto echo = "Lovagetack-Request-Id: " + name + "\r\n";
        const auto expected = request.field("lovagetack-expected-instance");
        if (!expected.empty() && expected != id_) {
            return answer_text(421, echo + "Lovagetack-Not-Executed: 1\r\n", "");
        }
        {
            const std::lock_guard lock(mutex_);
            ++runs_[name];
        }
        return run_({request, descriptor, echo + "Lovagetack-Response-Signature: 1.1." + name + "\r\n"});
    }

    store& store_;
    std::string id_;
    std::string service_;
    std::string zone_;
    int slots_;
    behaviour run_;
    std::int64_t born_ = unix_ms();
    int sequence_ = 0;
    std::mutex mutex_;
    std::map<std::string, int> runs_;
    tcp_server server_;
};

// --------------------------------------------------------------------------------------------- processes

struct gateway_settings {
    std::string node = "front-a-1";
    std::string zone = "a";
    int memory_mb = 260;
    int descriptors = 4100;
    int store_port = 0;
    int grace_s = 6;
    /// Where the process writes its log; -1: a file.
    int log_descriptor = -1;
};

/// An entry instance, started with the command of the deploy file.
class gateway {
public:
    gateway(const std::string& root, const std::string& folder, const gateway_settings& settings)
        : root_(root), settings_(settings), front_(free_port()), ready_(free_port()), metrics_(free_port()) {
        file_ = folder + "/" + settings.node + ".json";
        log_ = folder + "/" + settings.node + ".log";
        internal_ = free_port(SOCK_DGRAM);
        std::ofstream(file_)
            << "{\"node\":\"" << settings.node << "\",\"role\":\"gateway\",\"machine_class\":\"front\","
            << "\"serves\":[\"front\"],\"ip\":\"127.0.0.1\",\"zone\":\"" << settings.zone
            << "\",\"region\":\"r\",\"zones\":{\"a\":\"r\",\"b\":\"r\",\"c\":\"r\"},\"listen\":{\"front\":"
            << "\"127.0.0.1:" << front_ << "\",\"ready\":\"127.0.0.1:" << ready_ << "\"},\"internal_ports\":["
            << internal_ << "," << internal_ + 15
            << "],\"seeds\":[],\"bootstrap\":true,\"limits\":{\"cpu_share\":0.2,\"cores\":1,\"memory_mb\":"
            << settings.memory_mb << ",\"max_fds\":" << settings.descriptors
            << ",\"link_mbps\":1000.0,\"disk_mb\":0},\"data_dir\":null,\"discovery\":\"platform\","
            << "\"entry\":\"vip\",\"heartbeat_ms\":870,\"contracts\":[\"base\",\"drain\",\"config\",\"own\","
            << "\"platform\"],\"bounds\":{\"contact_ms\":3000,\"drain_ms\":2000,\"grace_s\":" << settings.grace_s
            << ",\"config_apply_ms\":2000},\"grants\":\"call\",\"provider\":{"
            << "\"address\":\"127.0.0.1:" << settings.store_port
            << "\",\"form\":\"table\",\"writes_per_s\":400,\"reads_per_s\":2000,\"row_bytes\":65536,"
            << "\"across\":false,\"history_s\":20}}";
        start();
    }
    gateway(const gateway&) = delete;
    gateway& operator=(const gateway&) = delete;
    ~gateway() { end(); }

    void start() {
        const auto metrics = std::to_string(metrics_);
        pid_ = ::fork();
        if (pid_ == 0) {
            // Ends with the test, whatever ends that.
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            ::setenv("LOVAGETACK_SETTINGS", file_.c_str(), 1);
            const int out = settings_.log_descriptor >= 0 ? settings_.log_descriptor
                                                          : ::open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(out, 1);
            ::dup2(out, 2);
            if (::chdir(root_.c_str()) == 0) {
                ::execl("target/lovagetack", "target/lovagetack", "gateway", "--metrics-port", metrics.c_str(),
                        static_cast<char*>(nullptr));
            }
            ::_exit(127);
        }
        RECORD("%s started, pid %d", settings_.node.c_str(), static_cast<int>(pid_));
    }
    void restart() {
        end();
        status_.reset();
        start();
    }
    [[nodiscard]] int front() const { return front_; }
    [[nodiscard]] pid_t pid() const { return pid_; }
    [[nodiscard]] const std::string& log() const { return log_; }
    void signal(int number) const { ::kill(pid_, number); }

    /// Whether the process has ended; its status then.
    std::optional<int> ended() {
        const std::lock_guard lock(mutex_);
        if (status_) {
            return status_;
        }
        int status = 0;
        if (pid_ > 0 && ::waitpid(pid_, &status, WNOHANG) == pid_) {
            status_ = status;
        }
        return status_;
    }
    void end() {
        if (pid_ > 0 && !ended()) {
            ::kill(pid_, SIGCONT);
            ::kill(pid_, SIGKILL);
            int status = 0;
            ::waitpid(pid_, &status, 0);
            const std::lock_guard lock(mutex_);
            status_ = status;
        }
    }
    bool wait_until_ready(std::chrono::milliseconds time) {
        const auto until = clock::now() + time;
        while (clock::now() < until) {
            if (const int descriptor = connect_to(ready_); descriptor >= 0) {
                send_all(descriptor, "GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n");
                reader in(descriptor);
                const auto answer = in.read(clock::now() + 1s, true);
                ::close(descriptor);
                if (answer && answer->status() == 200) {
                    return true;
                }
            }
            std::this_thread::sleep_for(50ms);
        }
        return false;
    }
    bool answers_ready(std::chrono::milliseconds time) {
        const int descriptor = connect_to(ready_);
        if (descriptor < 0) {
            return false;
        }
        send_all(descriptor, "GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n");
        reader in(descriptor);
        const auto answer = in.read(clock::now() + time, true);
        ::close(descriptor);
        return answer && answer->status() == 200;
    }
    /// A line "Name: N kB" of the process's status, in KiB.
    [[nodiscard]] long status_kib(const std::string& name) const {
        std::ifstream stream("/proc/" + std::to_string(pid_) + "/status");
        std::string line;
        while (std::getline(stream, line)) {
            if (line.starts_with(name + ":")) {
                return std::atol(line.c_str() + name.size() + 1);
            }
        }
        return 0;
    }

private:
    std::string root_;
    gateway_settings settings_;
    int front_;
    int ready_;
    int metrics_;
    int internal_ = 0;
    std::string file_;
    std::string log_;
    std::mutex mutex_;
    std::atomic<pid_t> pid_ = -1;
    std::optional<int> status_;
};

inline bool trouble() {
    const char* const value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

/// A route of the operator's configuration, as JSON.
inline std::string route(const std::string& name, const std::string& prefix, const std::string& service,
                         const std::string& type, int timeout_ms, int aim_ms) {
    return "{\"name\":\"" + name + "\",\"host\":\"h.example\",\"prefix\":\"" + prefix + "\",\"service\":\"" + service +
           "\",\"route_type\":\"" + type + "\",\"timeout_ms\":" + std::to_string(timeout_ms) +
           ",\"target_latency_ms\":" + std::to_string(aim_ms) + ",\"priority\":1,\"max_attempts\":2}";
}

inline std::string service(const std::string& name, bool sharded = false) {
    return "{\"name\":\"" + name +
           "\",\"health_path\":\"/health\",\"max_conns\":110,\"cold_period_s\":3,"
           "\"cold_per_s\":3.6,\"sharded\":" +
           (sharded ? "true" : "false") + "}";
}

inline std::string configuration(int version, const std::string& routes, const std::string& services,
                                 std::uint64_t body_bytes = 8388608, int idle_ms = 20000) {
    return "{\"version\":\"r" + std::to_string(version) + "\",\"routes\":[" + routes + "],\"services\":[" + services +
           "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":" + std::to_string(body_bytes) +
           ",\"header_timeout_ms\":5000,\"idle_timeout_ms\":" + std::to_string(idle_ms) + "}}";
}

} // namespace kit
