// The reader of a process's log waits for ten seconds, while callers use long paths that no route begins.
#include "endpoint.hpp"

namespace {

constexpr int timeout_ms = 1000;
constexpr int callers_per_instance = 10;
constexpr std::size_t path_bytes = 8000;

struct counters {
    std::atomic<int> sent{0};
    std::atomic<int> answered{0};
    /// Without an answer at the route's timeout, and half a second later.
    std::atomic<int> late{0};
    std::atomic<int> unanswered{0};
};

void call_again_and_again(const instance& target, int number, const std::atomic<bool>& stop, counters& counts,
                          record_file& record) {
    std::unique_ptr<connection> peer;
    for (int count = 0; !stop; ++count) {
        if (!peer) {
            peer = connection::open(target.host, target.port);
        }
        const auto id = "small-" + std::to_string(number) + "-" + std::to_string(count);
        const auto text = "GET /cart/" + id + " HTTP/1.1\r\nHost: cart.example\r\nLovagetack-Request-Id: " + id +
                          "\r\nLovagetack-Deadline-Ms: 4000\r\n\r\n";
        message answer;
        const auto begun = steady::now();
        ++counts.sent;
        const bool sent = peer && peer->write(text);
        const bool in_time = sent && peer->read(answer, begun + milliseconds(timeout_ms));
        if (in_time) {
            ++counts.answered;
        } else {
            ++counts.late;
            if (!sent || !peer->read(answer, begun + milliseconds(timeout_ms + 500))) {
                ++counts.unanswered;
                record.add("%s at %s: no answer half a second after the route's timeout", id.c_str(),
                           target.name.c_str());
            }
            peer.reset();
        }
        std::this_thread::sleep_for(milliseconds(50));
    }
}

} // namespace

int run_log_reader(const std::string& program, const std::string& folder, const std::string& record_name,
                   bool trouble) {
    // Never destroyed: threads use them until the process ends.
    auto& record = *new record_file(record_name);
    auto& platform = *new store(record);
    auto& endpoints = *new std::vector<std::unique_ptr<endpoint>>;
    auto& instances = *new std::vector<std::unique_ptr<instance>>;
    auto& counts = *new std::vector<counters>(2);
    for (int number = 0; number < 4; ++number) {
        endpoints.push_back(std::make_unique<endpoint>(record, "i-" + std::to_string(1000 + number), "chart-store",
                                                       "mahebourg", false));
    }
    platform.put("op", "config",
                 "{\"version\":\"r1\",\"routes\":[" +
                     route_text("cart", "/cart/", "safe", "chart-store", timeout_ms, 300) + "],\"services\":[" +
                     service_text("chart-store", false) +
                     "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,\"header_timeout_ms\":3000,"
                     "\"idle_timeout_ms\":15000}}");
    for (const auto& item : endpoints) {
        platform.put("servers", item->id, item->registration());
    }
    const int front = free_port(machine_host(0));
    const int ready = free_port(machine_host(0));
    const int internal = free_port(machine_host(0), SOCK_DGRAM);
    for (int number = 0; number < 2; ++number) {
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
    std::atomic<bool> stop{false};
    std::vector<std::thread> callers;
    for (std::size_t item = 0; item < instances.size(); ++item) {
        for (int number = 0; number < callers_per_instance; ++number) {
            callers.emplace_back(call_again_and_again, std::cref(*instances[item]),
                                 static_cast<int>(item) * callers_per_instance + number, std::cref(stop),
                                 std::ref(counts[item]), std::ref(record));
        }
    }
    std::this_thread::sleep_for(milliseconds(3000));
    if (trouble) {
        record.add("the reader of %s's log waits", instances[0]->name.c_str());
        instances[0]->log_reader_waits = true;
    }
    // One caller at each instance asks for paths that no route begins.
    for (int count = 0; count < 100; ++count) {
        for (const auto& item : instances) {
            const auto peer = connection::open(item->host, item->port);
            const auto id = "long-" + std::to_string(count);
            message answer;
            const bool answered = peer &&
                                  peer->write("GET /none/" + std::string(path_bytes, 'x') +
                                              " HTTP/1.1\r\nHost: cart.example\r\nLovagetack-Request-Id: " + id +
                                              "\r\nLovagetack-Deadline-Ms: 1000\r\nConnection: close\r\n\r\n") &&
                                  peer->read(answer, steady::now() + milliseconds(100));
            record.add("%s at %s: %s", id.c_str(), item->name.c_str(),
                       answered ? answer.start_line.c_str() : "no answer in 100 ms");
        }
        std::this_thread::sleep_for(milliseconds(50));
    }
    instances[0]->log_reader_waits = false;
    record.add("the reader reads");
    std::this_thread::sleep_for(milliseconds(3000));
    stop = true;
    for (auto& item : callers) {
        item.join();
    }
    for (const auto& item : instances) {
        item->kill();
    }
    bool broken = false;
    for (std::size_t item = 0; item < instances.size(); ++item) {
        auto& count = counts[item];
        record.add("%s: %d requests, %d answered before the timeout, %d not; of these %d without an answer 0.5 s later",
                   instances[item]->name.c_str(), count.sent.load(), count.answered.load(), count.late.load(),
                   count.unanswered.load());
        broken = broken || (count.late > 0 && count.unanswered * 2 > count.late);
    }
    record.add("%s", broken ? "BROKEN" : "held");
    return broken ? 1 : 0;
}
