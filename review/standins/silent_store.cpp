// The open connections to the store go silent for good, while new ones work. Then the operator moves a route.
#include "endpoint.hpp"

namespace {

constexpr int contact_ms = 3000;
constexpr int config_apply_ms = 2000;
constexpr int callers_per_instance = 4;

/// When the configuration that moves the route was acknowledged, and when the connections went silent.
std::atomic<long long> acknowledged_at{1LL << 60};
std::atomic<long long> silent_at{0};

struct counters {
    std::atomic<int> sent{0};
    std::atomic<int> answered{0};
    std::atomic<int> judged{0};
    std::atomic<int> by_old_service{0};
};

std::string configuration(int version, const std::string& service, int idle_ms) {
    return "{\"version\":\"r" + std::to_string(version) + "\",\"routes\":[" +
           route_text("orders", "/orders/", "unsafe", service, 1200, 400) + "],\"services\":[" +
           service_text("deposit-book", false) + "," + service_text("deposit-book-2", false) +
           "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,\"header_timeout_ms\":3000,"
           "\"idle_timeout_ms\":" +
           std::to_string(idle_ms) + "}}";
}

void call_again_and_again(const instance& target, int number, const std::atomic<bool>& stop, counters& counts,
                          record_file& record) {
    std::unique_ptr<connection> peer;
    for (int count = 0; !stop; ++count) {
        if (!peer) {
            peer = connection::open(target.host, target.port);
        }
        const auto id = "order-" + std::to_string(number) + "-" + std::to_string(count);
        const auto sent_at = now_ms();
        message answer;
        ++counts.sent;
        if (peer &&
            peer->write("POST /orders/" + id + " HTTP/1.1\r\nHost: cart.example\r\nLovagetack-Request-Id: " + id +
                        "\r\nLovagetack-Deadline-Ms: 2500\r\nContent-Length: 5\r\n\r\norder") &&
            peer->read(answer, steady::now() + milliseconds(2500)) && answer.complete) {
            counts.answered += answer.status() == 200 ? 1 : 0;
            const bool overdue = sent_at > acknowledged_at + config_apply_ms;
            const bool in_touch = sent_at > silent_at + contact_ms;
            if (overdue && in_touch && answer.status() == 200) {
                ++counts.judged;
                if (answer.body.find("run by old-") != std::string::npos) {
                    ++counts.by_old_service;
                    record.add("%s at %s, sent %lld ms after the acknowledgement and %lld ms after the silence: %s",
                               id.c_str(), target.name.c_str(), sent_at - acknowledged_at, sent_at - silent_at,
                               answer.body.substr(0, answer.body.find(',')).c_str());
                }
            }
        } else {
            peer.reset();
        }
        std::this_thread::sleep_for(milliseconds(30));
    }
}

} // namespace

int run_silent_store(const std::string& program, const std::string& folder, const std::string& record_name,
                     bool trouble) {
    // Never destroyed: threads use them until the process ends.
    auto& record = *new record_file(record_name);
    auto& platform = *new store(record);
    auto& endpoints = *new std::vector<std::unique_ptr<endpoint>>;
    auto& instances = *new std::vector<std::unique_ptr<instance>>;
    auto& counts = *new counters;
    for (int number = 0; number < 6; ++number) {
        const bool old = number < 3;
        endpoints.push_back(std::make_unique<endpoint>(record, (old ? "old-" : "new-") + std::to_string(number),
                                                       old ? "deposit-book" : "deposit-book-2", "mahebourg", false));
        platform.put("servers", endpoints.back()->id, endpoints.back()->registration());
    }
    platform.put("op", "config", configuration(1, "deposit-book", 15000));
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
    std::atomic<bool> stop{false};
    std::vector<std::thread> callers;
    for (std::size_t item = 0; item < instances.size(); ++item) {
        for (int number = 0; number < callers_per_instance; ++number) {
            callers.emplace_back(call_again_and_again, std::cref(*instances[item]),
                                 static_cast<int>(item) * callers_per_instance + number, std::cref(stop),
                                 std::ref(counts), std::ref(record));
        }
    }
    std::this_thread::sleep_for(milliseconds(1000));
    platform.put("op", "config", configuration(3, "deposit-book", 14000));
    record.add("the operator writes r3, which changes the idle time");
    std::this_thread::sleep_for(milliseconds(200));
    silent_at = now_ms();
    if (trouble) {
        platform.silence_connections();
        record.add("the open connections to the store go silent");
    }
    std::this_thread::sleep_for(milliseconds(500));
    platform.put("op", "config", configuration(4, "deposit-book-2", 14000));
    acknowledged_at = now_ms();
    record.add("the operator writes r4, which moves the route from deposit-book to deposit-book-2; acknowledged");
    std::this_thread::sleep_for(milliseconds(8000));
    stop = true;
    for (auto& item : callers) {
        item.join();
    }
    for (const auto& item : instances) {
        item->kill();
    }
    record.add(
        "%d requests sent, %d answered 200; %d answered 200 of those sent more than %d ms after the acknowledgement "
        "and %d ms after the silence; %d of these run by the old service",
        counts.sent.load(), counts.answered.load(), counts.judged.load(), config_apply_ms, contact_ms,
        counts.by_old_service.load());
    const bool broken = counts.by_old_service > 0;
    record.add("%s", broken ? "BROKEN" : "held");
    return broken ? 1 : 0;
}
