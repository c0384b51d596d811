// Case 7: many chunked bodies that stop just short of their end and stay open.
#include "memory_case.hpp"

using namespace kit;

namespace {

constexpr int callers_of_round = 2800;
constexpr std::size_t body_bytes = 60000;
/// What all callers of an instance together send, a third of its link (link_mbps 1,000), so that no packet waits there.
constexpr std::size_t bytes_a_second = 40'000'000;
/// How long the unfinished bodies stay open; below the idle time.
constexpr auto open_time = 6s;

} // namespace

int main(int count, char** words) {
    if (count != 4) {
        return 2;
    }
    const std::string root = words[1];
    const std::string folder = words[2];
    record::get().open(words[3]);
    ::signal(SIGPIPE, SIG_IGN);
    rlimit descriptors{};
    ::getrlimit(RLIMIT_NOFILE, &descriptors);
    descriptors.rlim_cur = descriptors.rlim_max;
    ::setrlimit(RLIMIT_NOFILE, &descriptors);
    store provider;
    provider.put("op", "config",
                 configuration(1, route("orders", "/orders/", "ledger", "unsafe", 2500, 1500), service("ledger"),
                               67108864, 15000));
    std::vector<std::unique_ptr<endpoint>> ledger;
    for (int number = 0; number < 9; ++number) {
        ledger.push_back(std::make_unique<endpoint>(provider, "i-l" + std::to_string(number), "ledger", "a", 2,
                                                    [](const endpoint_call& call) {
                                                        const bool small = call.request.body.size() < 100;
                                                        std::this_thread::sleep_for(small ? 400ms : 5ms);
                                                        return answer_text(200, call.signed_fields, "done");
                                                    }));
    }
    const auto was_passed_on = [&](const std::string& id) {
        return std::any_of(ledger.begin(), ledger.end(), [&id](const auto& server) { return server->runs(id) > 0; });
    };
    char size[16];
    std::snprintf(size, sizeof size, "%zx", body_bytes);
    const std::string body = std::string(size) + "\r\n" + std::string(body_bytes, 'b') + "\r\n";
    RECORD("%d callers at each instance post chunked bodies of %zu bytes and %s", callers_of_round, body_bytes,
           trouble() ? "stop before the last chunk" : "end them, read the answer and leave");
    const int result = play(root, folder, provider, 80, was_passed_on, [&](watched_instance& instance, int round) {
        const int before = instance.ends();
        const auto has_ended = [&] { return instance.ends() > before; };
        const auto prefix = instance.name() + "-r" + std::to_string(round) + "-";
        std::mutex mutex;
        std::vector<int> open;
        std::map<int, int> statuses;
        std::atomic<int> next = 0;
        const auto begun = clock::now();
        std::vector<std::thread> threads;
        for (int thread = 0; thread < 16; ++thread) {
            threads.emplace_back([&] {
                while (!has_ended()) {
                    const int number = next++;
                    if (number >= callers_of_round) {
                        return;
                    }
                    std::this_thread::sleep_until(
                        begun + std::chrono::microseconds(static_cast<std::int64_t>(number) *
                                                          static_cast<std::int64_t>(body_bytes) * 1'000'000 /
                                                          static_cast<std::int64_t>(bytes_a_second)));
                    const int descriptor = connect_to(instance.process().front());
                    if (descriptor < 0) {
                        continue;
                    }
                    send_all(descriptor,
                             "POST /orders/1 HTTP/1.1\r\nHost: h.example\r\nLovagetack-Request-Id: " + prefix +
                                 std::to_string(number) +
                                 "\r\nLovagetack-Deadline-Ms: 2500\r\nTransfer-Encoding: chunked\r\n\r\n" + body);
                    if (trouble()) {
                        const std::lock_guard lock(mutex);
                        open.push_back(descriptor);
                        continue;
                    }
                    send_all(descriptor, "0\r\n\r\n");
                    reader in(descriptor);
                    const auto answer = in.read(clock::now() + 3s, true);
                    ::close(descriptor);
                    const std::lock_guard lock(mutex);
                    ++statuses[answer ? answer->status() : 0];
                }
            });
        }
        for (auto& thread : threads) {
            thread.join();
        }
        const auto until = clock::now() + open_time;
        while (trouble() && !has_ended() && clock::now() < until) {
            std::this_thread::sleep_for(20ms);
        }
        for (const int descriptor : open) {
            reader in(descriptor);
            const auto answer = in.read(clock::now() + 1ms, true);
            ++statuses[answer ? answer->status() : 0];
            ::close(descriptor);
        }
        std::string counts;
        for (const auto& [status, times] : statuses) {
            counts += " " + (status == 0 ? std::string("none") : std::to_string(status)) + ": " + std::to_string(times);
        }
        RECORD("%s: answers to these callers:%s", instance.name().c_str(), counts.c_str());
    });
    std::fflush(nullptr);
    std::_Exit(result);
}
