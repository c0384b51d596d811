// Case 7: large bodies beside callers that keep their connections open after an answer.
#include "memory_case.hpp"

using namespace kit;

namespace {

constexpr int idle_callers = 1800;
constexpr std::size_t idle_body = 65000;
constexpr std::size_t idle_header = 15000;
constexpr int large_callers = 40;
constexpr std::size_t large_body = std::size_t(8) << 20;

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
                 configuration(1, route("orders", "/orders/", "ledger", "unsafe", 2500, 1500), service("ledger"), 67108864,
                               15000));
    std::vector<std::unique_ptr<endpoint>> ledger;
    for (int number = 0; number < 16; ++number) {
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
    RECORD("%d callers at each instance post %zu bytes, read the answer and keep the connection; then %d post %zu bytes and "
           "%s",
           idle_callers, idle_body, large_callers, large_body,
           trouble() ? "stop just short of the end" : "are left out");
    const int result = play(root, folder, provider, 95, was_passed_on, [&](watched_instance& instance, int round) {
        const int before = instance.ends();
        const auto has_ended = [&] { return instance.ends() > before; };
        std::mutex mutex;
        std::vector<int> kept;
        std::map<int, int> statuses;
        std::atomic<int> next = 0;
        std::vector<std::thread> callers;
        const auto prefix = instance.name() + "-r" + std::to_string(round) + "-";
        for (int thread = 0; thread < 16; ++thread) {
            callers.emplace_back([&] {
                while (!has_ended()) {
                    const int number = next++;
                    if (number >= idle_callers) {
                        return;
                    }
                    const int descriptor = connect_to(instance.process().front());
                    if (descriptor < 0) {
                        continue;
                    }
                    send_all(descriptor, "POST /orders/1 HTTP/1.1\r\nHost: h.example\r\nLovagetack-Request-Id: " + prefix +
                                             std::to_string(number) + "\r\nLovagetack-Deadline-Ms: 2500\r\nX-Note: " +
                                             std::string(idle_header, 'n') +
                                             "\r\nContent-Length: " + std::to_string(idle_body) + "\r\n\r\n" +
                                             std::string(idle_body, 'b'));
                    reader in(descriptor);
                    const auto answer = in.read(clock::now() + 3s, true);
                    const std::lock_guard lock(mutex);
                    ++statuses[answer ? answer->status() : 0];
                    kept.push_back(descriptor);
                }
            });
        }
        for (auto& caller : callers) {
            caller.join();
        }
        callers.clear();
        std::string counts;
        for (const auto& [status, times] : statuses) {
            counts += " " + std::to_string(status) + ": " + std::to_string(times);
        }
        RECORD("%s: answers to the callers that stay connected:%s; resident memory %ld KiB", instance.name().c_str(),
               counts.c_str(), instance.process().status_kib("VmRSS"));
        if (trouble()) {
            for (int number = 0; number < large_callers; ++number) {
                callers.emplace_back([&, number] {
                    const int descriptor = connect_to(instance.process().front());
                    if (descriptor < 0) {
                        return;
                    }
                    bool open = send_all(descriptor, "POST /orders/1 HTTP/1.1\r\nHost: h.example\r\nLovagetack-Request-Id: " +
                                                         prefix + "large-" + std::to_string(number) +
                                                         "\r\nLovagetack-Deadline-Ms: 2500\r\nContent-Length: " +
                                                         std::to_string(large_body) + "\r\n\r\n");
                    const std::string piece(65536, 'b');
                    for (std::size_t at = 0; open && at + 2 * piece.size() <= large_body; at += piece.size()) {
                        open = send_all(descriptor, piece);
                    }
                    reader in(descriptor);
                    const auto answer = in.read(clock::now() + 4s, true);
                    const std::lock_guard lock(mutex);
                    kept.push_back(descriptor);
                    ++statuses[answer ? 1000 + answer->status() : 1000];
                });
            }
            for (auto& caller : callers) {
                caller.join();
            }
            RECORD("%s: of the large bodies %d were refused with 503, %d with 408, %d left unanswered for 4 s",
                   instance.name().c_str(), statuses[1503], statuses[1408], statuses[1000]);
        }
        for (const int descriptor : kept) {
            ::close(descriptor);
        }
    });
    std::fflush(nullptr);
    std::_Exit(result);
}
