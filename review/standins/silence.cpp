// The open connections between the instances and the endpoints go silent for good, while new ones work.
#include "endpoint.hpp"

namespace {

constexpr int timeout_ms = 5000;
constexpr int deadline_ms = 12000;
constexpr int callers = 12;
constexpr int pieces = 20;
constexpr std::size_t piece_bytes = 16 * 1024;
constexpr auto piece_pause = milliseconds(100);

/// When the connections that are open then go silent; in ms since the start.
std::atomic<long long> silent_at{1LL << 60};

/// Streams its answers in two seconds.
class streaming_endpoint final : public endpoint {
public:
    using endpoint::endpoint;

protected:
    bool answer_otherwise(connection& peer, const message& call, const std::string& lines) override {
        const auto begun = now_ms();
        if (call.target().compare(0, 6, "/maps/") != 0) {
            return false;
        }
        peer.write("HTTP/1.1 200 OK\r\n" + lines + "Content-Length: " + std::to_string(pieces * piece_bytes) +
                   "\r\n\r\n");
        for (int piece = 0; piece < pieces; ++piece) {
            std::this_thread::sleep_for(piece_pause);
            if (begun < silent_at && now_ms() >= silent_at) {
                // Nothing arrives any more at either end, and neither end learns of it.
                std::this_thread::sleep_for(std::chrono::hours(1));
            }
            if (!peer.write(std::string(piece_bytes, static_cast<char>('a' + piece)))) {
                return true;
            }
        }
        return true;
    }
};

struct counters {
    std::atomic<int> sent{0};
    std::atomic<int> whole{0};
    std::atomic<int> at_timeout{0};
    std::atomic<int> late{0};
};

void download(const instance& target, const std::string& id, counters& counts, record_file& record) {
    const auto peer = connection::open(target.host, target.port);
    const auto begun = steady::now();
    const auto since = [&begun] {
        return static_cast<long long>(std::chrono::duration_cast<milliseconds>(steady::now() - begun).count());
    };
    ++counts.sent;
    if (!peer || !peer->write("GET /maps/" + id + " HTTP/1.1\r\nHost: cart.example\r\nLovagetack-Request-Id: " + id +
                              "\r\nLovagetack-Deadline-Ms: " + std::to_string(deadline_ms) + "\r\n\r\n")) {
        record.add("%s at %s: no connection", id.c_str(), target.name.c_str());
        return;
    }
    message answer;
    const bool began = peer->read(answer, begun + milliseconds(deadline_ms));
    const auto time = since();
    const char* const end = !began              ? "without an answer"
                            : answer.complete   ? "complete"
                            : peer->has_ended() ? "cut off by the instance"
                                                : "still open, the caller gives up";
    counts.whole += answer.complete ? 1 : 0;
    counts.at_timeout += time > timeout_ms ? 1 : 0;
    counts.late += time > timeout_ms + 500 ? 1 : 0;
    record.add("%s at %s: %s, %zu bytes of %zu, %s after %lld ms", id.c_str(), target.name.c_str(),
               began ? answer.start_line.c_str() : "nothing", answer.body.size(), pieces * piece_bytes, end, time);
}

} // namespace

int run_silence(const std::string& program, const std::string& folder, const std::string& record_name, bool trouble) {
    // Never destroyed: threads use them until the process ends.
    auto& record = *new record_file(record_name);
    auto& platform = *new store(record);
    auto& endpoints = *new std::vector<std::unique_ptr<endpoint>>;
    auto& instances = *new std::vector<std::unique_ptr<instance>>;
    auto& counts = *new counters;
    for (int number = 0; number < 6; ++number) {
        endpoints.push_back(std::make_unique<streaming_endpoint>(record, "i-" + std::to_string(1000 + number),
                                                                 "chart-store", "mahebourg", false));
    }
    platform.put("op", "config",
                 "{\"version\":\"r1\",\"routes\":[" +
                     route_text("maps", "/maps/", "download", "chart-store", timeout_ms, 4000) + "],\"services\":[" +
                     service_text("chart-store", false) +
                     "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,\"header_timeout_ms\":3000,"
                     "\"idle_timeout_ms\":15000}}");
    for (const auto& item : endpoints) {
        platform.put("servers", item->id, item->registration());
    }
    const int front = free_port(machine_host(0));
    const int ready = free_port(machine_host(0));
    const int internal = free_port(machine_host(0), SOCK_DGRAM);
    for (int number = 0; number < 3; ++number) {
        instances.push_back(std::make_unique<instance>(record, folder, program, number, "mahebourg", platform.address(),
                                                       front, ready, internal));
        instances.back()->start();
    }
    for (const auto& item : instances) {
        for (int tries = 0; !item->is_ready(); ++tries) {
            if (tries > 100) {
                record.add("%s is not ready after 10 s", item->name.c_str());
                return 2;
            }
            std::this_thread::sleep_for(milliseconds(100));
        }
    }
    std::this_thread::sleep_for(milliseconds(4000));
    record.add("all instances are ready");
    if (trouble) {
        silent_at = now_ms() + 1000;
    }
    std::vector<std::thread> downloads;
    for (int number = 0; number < callers; ++number) {
        downloads.emplace_back(download, std::cref(*instances[static_cast<std::size_t>(number) % 3]),
                               "map-" + std::to_string(number), std::ref(counts), std::ref(record));
    }
    std::this_thread::sleep_for(milliseconds(1000));
    record.add("%s", trouble ? "the open connections to the endpoints go silent" : "nothing happens");
    std::this_thread::sleep_for(milliseconds(3000));
    // New connections work.
    for (const auto& item : instances) {
        download(*item, "later-at-" + item->name, counts, record);
    }
    for (auto& item : downloads) {
        item.join();
    }
    for (const auto& item : instances) {
        item->kill();
    }
    record.add(
        "%d downloads, %d whole; %d unanswered at the route's timeout, %d of these without a final answer 0.5 s later",
        counts.sent.load(), counts.whole.load(), counts.at_timeout.load(), counts.late.load());
    const bool broken = counts.late >= 8 && counts.late * 2 > counts.at_timeout;
    record.add("%s", broken ? "BROKEN" : "held");
    return broken ? 1 : 0;
}
