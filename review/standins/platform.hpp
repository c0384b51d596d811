#pragma once

#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <fstream>
#include <list>
#include <set>
#include <vector>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/wait.h>

#include "json.hpp"
#include "net.hpp"

/// Lines of record.txt, with the time in ms since the start.
class record_file {
public:
    explicit record_file(const std::string& name) : stream_(name) {}
    void add(const char* format, ...) __attribute__((format(printf, 2, 3))) {
        char text[2048];
        va_list values;
        va_start(values, format);
        std::vsnprintf(text, sizeof(text), format, values);
        va_end(values);
        const std::lock_guard<std::mutex> lock(mutex_);
        stream_ << now_ms() << " ms  " << text << std::endl;
    }

private:
    std::mutex mutex_;
    std::ofstream stream_;
};

inline std::string base64(const std::string& bytes) {
    static const char* const digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t at = 0; at < bytes.size(); at += 3) {
        std::uint32_t group = 0;
        for (std::size_t byte = 0; byte < 3; ++byte) {
            group = group << 8 | (at + byte < bytes.size() ? static_cast<unsigned char>(bytes[at + byte]) : 0);
        }
        for (std::size_t digit = 0; digit < 4; ++digit) {
            text.push_back(at + digit > bytes.size() ? '=' : digits[group >> (18 - 6 * digit) & 63]);
        }
    }
    return text;
}

inline std::string answer_text(int status, const std::string& reason, const std::string& lines,
                               const std::string& body) {
    return "HTTP/1.1 " + std::to_string(status) + " " + reason + "\r\n" + lines +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Stand-in of the platform's store: rows in tables, conditional transactions, feeds of changes. It answers each call,
/// in 4 ms.
class store {
public:
    explicit store(record_file& record)
        : record_(record), server_("127.0.0.1", [this](connection& peer) { serve(peer); }) {}

    std::string address() const { return server_.address(); }

    void put(const std::string& table, const std::string& key, const std::string& value) {
        const std::lock_guard<std::mutex> lock(mutex_);
        set(table, key, base64(value), ++version_);
        changed_.notify_all();
    }

    void remove(const std::string& table, const std::string& key) {
        const std::lock_guard<std::mutex> lock(mutex_);
        erase(table, key, ++version_);
        changed_.notify_all();
    }

    /// The connections that are open now deliver nothing more, in either direction, and are not closed.
    void silence_connections() { silent_before_ = ++connections_; }

private:
    struct row {
        std::string value;
        std::uint64_t version = 0;
        bool deleted = false;
    };

    static std::string decoded(const std::string& text) {
        std::string result;
        for (std::size_t at = 0; at < text.size(); ++at) {
            if (text[at] == '%') {
                result.push_back(static_cast<char>(std::strtol(text.substr(at + 1, 2).c_str(), nullptr, 16)));
                at += 2;
            } else {
                result.push_back(text[at]);
            }
        }
        return result;
    }

    static std::string query(const std::string& target, const std::string& name) {
        for (auto at = target.find('?'); at != std::string::npos; at = target.find('&', at + 1)) {
            if (target.compare(at + 1, name.size() + 1, name + "=") == 0) {
                const auto begin = at + 1 + name.size() + 1;
                return decoded(target.substr(begin, target.find('&', begin) - begin));
            }
        }
        return "";
    }

    static std::string quoted(const std::string& text) {
        std::string result = "\"";
        for (const char byte : text) {
            if (byte == '"' || byte == '\\') {
                result.push_back('\\');
            }
            result.push_back(byte);
        }
        return result + "\"";
    }

    static std::string row_text(const std::string& table, const std::string& key, const row& item) {
        std::string text = "{\"table\":" + quoted(table) + ",\"part\":\"\",\"key\":" + quoted(key) +
                           ",\"ver\":" + std::to_string(item.version);
        return text + (item.deleted ? ",\"deleted\":true}" : ",\"value\":" + quoted(item.value) + "}");
    }

    std::string tail() const {
        return "\"ver\":" + std::to_string(version_) + ",\"now_ms\":" + std::to_string(now_ms() + 1000) + "}";
    }

    void set(const std::string& table, const std::string& key, const std::string& value, std::uint64_t version) {
        rows_[{table, key}] = {value, version, false};
    }
    void erase(const std::string& table, const std::string& key, std::uint64_t version) {
        const auto found = rows_.find({table, key});
        if (found != rows_.end()) {
            found->second = {"", version, true};
        }
    }

    void answer(connection& peer, int number, int status, const std::string& body) {
        std::this_thread::sleep_for(milliseconds(4));
        if (number < silent_before_) {
            std::this_thread::sleep_for(std::chrono::hours(1));
        }
        peer.write(answer_text(status, status == 200 ? "OK" : "Precondition Failed",
                               "Content-Type: application/json\r\nStore-Era: 1\r\n", body));
    }

    void serve(connection& peer) {
        const int number = ++connections_;
        message call;
        while (peer.read(call, steady::now() + std::chrono::hours(1))) {
            if (number < silent_before_) {
                std::this_thread::sleep_for(std::chrono::hours(1));
            }
            const auto target = call.target();
            const auto path = target.substr(0, target.find('?'));
            if (path == "/v1/rows-get") {
                answer(peer, number, 200, read_rows(target));
            } else if (path == "/v1/rows-feed") {
                answer(peer, number, 200, feed(target));
            } else if (path == "/v1/rows-tx") {
                int status = 200;
                const auto body = write(json::parse(call.body), status);
                answer(peer, number, status, body);
            } else {
                answer(peer, number, 404, "{}");
            }
        }
    }

    std::string read_rows(const std::string& target) {
        const std::lock_guard<std::mutex> lock(mutex_);
        const auto table = query(target, "table");
        const auto from = query(target, "from");
        const auto end = query(target, "target");
        std::string rows;
        for (const auto& [id, item] : rows_) {
            if (id.first == table && id.second >= from && (end.empty() || id.second < end) && !item.deleted) {
                rows += (rows.empty() ? "" : ",") + row_text(table, id.second, item);
            }
        }
        return "{\"rows\":[" + rows + "],\"has_more\":false," + tail();
    }

    std::string feed(const std::string& target) {
        std::unique_lock<std::mutex> lock(mutex_);
        const auto table = query(target, "table");
        const auto after = std::strtoull(query(target, "after").c_str(), nullptr, 10);
        const auto deadline = steady::now() + milliseconds(std::atoi(query(target, "wait_ms").c_str()));
        for (;;) {
            std::map<std::uint64_t, std::vector<std::string>> changes;
            for (const auto& [id, item] : rows_) {
                if (id.first == table && item.version > after) {
                    changes[item.version].push_back(row_text(table, id.second, item));
                }
            }
            if (!changes.empty() || steady::now() >= deadline) {
                std::string rows;
                for (const auto& [version, texts] : changes) {
                    for (const auto& text : texts) {
                        rows += (rows.empty() ? "" : ",") + text;
                    }
                }
                return "{\"rows\":[" + rows + "]," + tail();
            }
            changed_.wait_until(lock, deadline);
        }
    }

    std::string write(const json& body, int& status) {
        const std::lock_guard<std::mutex> lock(mutex_);
        for (const auto& item : body["expect"].items) {
            const auto found = rows_.find({item["table"].text, item["key"].text});
            const auto version = found == rows_.end() || found->second.deleted ? 0 : found->second.version;
            if (version != item["ver"].whole()) {
                status = 412;
                return "{\"rows\":[]," + tail();
            }
        }
        ++version_;
        for (const auto& item : body["puts"].items) {
            set(item["table"].text, item["key"].text, item["value"].text, version_);
        }
        for (const auto& item : body["remove"].items) {
            erase(item["table"].text, item["key"].text, version_);
        }
        changed_.notify_all();
        return "{" + tail();
    }

    record_file& record_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::pair<std::string, std::string>, row> rows_;
    std::uint64_t version_ = 0;
    std::atomic<int> connections_{0};
    std::atomic<int> silent_before_{0};
    listener server_;
};

/// The loopback address of a machine. Each run of a case has a network of its own, as the port of the metrics is fixed.
inline std::string machine_host(int number) {
    const int run = ::getpid();
    return "127." + std::to_string(64 + run % 128) + "." + std::to_string(1 + run / 128 % 250) + "." +
           std::to_string(number + 10);
}

/// One entry instance: a process of the program, started with the command of the deploy file.
class instance {
public:
    instance(record_file& record, const std::string& folder, const std::string& program, int number,
             const std::string& zone, const std::string& store_address, int front_port, int ready_port,
             int internal_port)
        : name("front-" + zone + "-" + std::to_string(number)), host(machine_host(number)), port(front_port),
          ready(ready_port), record_(record), program_(program), folder_(folder) {
        settings_ = folder + "/" + name + ".json";
        std::ofstream(settings_)
            << "{\"node\":\"" << name
            << "\",\"role\":\"gateway\",\"machine_class\":\"front\",\"serves\":[\"front\"],\"ip\":\"" << host
            << "\",\"zone\":\"" << zone << "\",\"region\":\"mauritius\",\"listen\":{\"front\":\"" << host << ":"
            << front_port << "\",\"ready\":\"" << host << ":" << ready_port << "\"},\"internal_ports\":["
            << internal_port << "," << internal_port
            << "],\"bootstrap\":true,\"limits\":{\"cpu_share\":0.2,\"cores\":1,\"memory_mb\":260,\"max_fds\":4100},"
               "\"data_dir\":null,\"discovery\":\"platform\",\"entry\":\"vip\",\"heartbeat_ms\":870,"
               "\"bounds\":{\"drain_ms\":2000,\"grace_s\":6,\"contact_ms\":3000,\"config_apply_ms\":2000,"
               "\"max_hold_ms\":10000},\"grants\":\"call\",\"provider\":{\"address\":\""
            << store_address << "\",\"form\":\"table\",\"row_bytes\":65536,\"history_s\":20}}\n";
    }
    ~instance() { kill(); }

    /// The reader of the log waits while this is set.
    std::atomic<bool> log_reader_waits{false};

    void start() {
        int log[2] = {-1, -1};
        if (::pipe2(log, O_CLOEXEC) != 0) {
            std::_Exit(2);
        }
        process_ = ::fork();
        if (process_ == 0) {
            // Ends with the stand-in, however that ends.
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            ::setenv("LOVAGETACK_SETTINGS", settings_.c_str(), 1);
            ::dup2(log[1], 1);
            ::dup2(log[1], 2);
            ::execl(program_.c_str(), program_.c_str(), "gateway", "--metrics-port", "9464", nullptr);
            ::_exit(127);
        }
        ::close(log[1]);
        std::thread([this, source = log[0], file = folder_ + "/" + name + ".log"] {
            std::ofstream stream(file, std::ios::app);
            char bytes[4096];
            for (;;) {
                while (log_reader_waits) {
                    std::this_thread::sleep_for(milliseconds(10));
                }
                const auto count = ::read(source, bytes, sizeof(bytes));
                if (count <= 0) {
                    break;
                }
                stream.write(bytes, count).flush();
            }
            ::close(source);
        }).detach();
        started_at = now_ms();
        record_.add("%s started", name.c_str());
    }

    /// Whether the process has ended; `status` is that of waitpid.
    bool ended(int& status) {
        if (process_ <= 0 || ::waitpid(process_, &status, WNOHANG) != process_) {
            return false;
        }
        process_ = 0;
        return true;
    }

    void signal(int number) const {
        if (process_ > 0) {
            ::kill(process_, number);
        }
    }

    void kill() {
        if (process_ > 0) {
            ::kill(process_, SIGKILL);
            ::waitpid(process_, nullptr, 0);
            process_ = 0;
        }
    }

    bool runs() const { return process_ > 0; }

    /// Resident memory, in MB.
    double memory_mb() const {
        std::ifstream status("/proc/" + std::to_string(process_) + "/status");
        for (std::string line; std::getline(status, line);) {
            if (line.compare(0, 6, "VmRSS:") == 0) {
                return std::atof(line.c_str() + 6) / 1024;
            }
        }
        return 0;
    }

    bool is_ready() const {
        const auto peer = connection::open(host, ready);
        message answer;
        return peer && peer->write("GET /v1/ready HTTP/1.1\r\nHost: " + host + "\r\nConnection: close\r\n\r\n") &&
               peer->read(answer, steady::now() + milliseconds(900)) && answer.status() == 200;
    }

    const std::string name;
    const std::string host;
    const int port;
    const int ready;
    long long started_at = 0;
    int own_ends = 0;

private:
    record_file& record_;
    std::string program_;
    std::string folder_;
    std::string settings_;
    pid_t process_ = 0;
};
