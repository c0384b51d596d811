// Case 6: callers that pipeline safe requests and read their answers slowly.
#include "memory_case.hpp"

using namespace kit;

namespace {

constexpr int pipelining_callers = 60;
/// Requests that a caller has sent and whose answers it has not read.
constexpr int most_unread = 3000;
constexpr std::size_t answer_bytes = 30000;
constexpr auto round_time = 25s;

/// Sends its requests and reads the answers, `bytes_a_second` of them; 0 for all at once.
void pipeline(watched_instance& instance, int round, int number, int bytes_a_second, const std::atomic<bool>& stop) {
    const int descriptor = connect_to(instance.process().front(), 16384);
    if (descriptor < 0) {
        return;
    }
    std::thread sender([&] {
        for (int count = 0; count < most_unread && !stop; ++count) {
            const auto id = instance.name() + "-p" + std::to_string(round) + "-" + std::to_string(number) + "-" +
                            std::to_string(count);
            if (!send_all(descriptor, "GET /carts/1 HTTP/1.1\r\nHost: h.example\r\nLovagetack-Request-Id: " + id +
                                          "\r\nLovagetack-Deadline-Ms: 2000\r\n\r\n")) {
                return;
            }
        }
    });
    std::vector<char> bytes(65536);
    std::size_t answers = 0;
    while (!stop) {
        pollfd query{descriptor, POLLIN, 0};
        if (::poll(&query, 1, 100) == 0) {
            continue;
        }
        const std::size_t most = bytes_a_second == 0 ? bytes.size() : static_cast<std::size_t>(bytes_a_second / 10);
        const auto got = ::recv(descriptor, bytes.data(), most, 0);
        if (got <= 0) {
            break;
        }
        answers += static_cast<std::size_t>(got);
        if (bytes_a_second > 0) {
            std::this_thread::sleep_for(100ms);
        } else if (answers > (answer_bytes + 100) * most_unread) {
            break;
        }
    }
    ::shutdown(descriptor, SHUT_RDWR);
    sender.join();
    ::close(descriptor);
}

} // namespace

int main(int count, char** words) {
    if (count != 4) {
        return 2;
    }
    const std::string root = words[1];
    const std::string folder = words[2];
    record::get().open(words[3]);
    ::signal(SIGPIPE, SIG_IGN);
    store provider;
    provider.put("op", "config",
                 configuration(1,
                               route("carts", "/carts/", "board", "safe", 2000, 500) + "," +
                                   route("orders", "/orders/", "ledger", "unsafe", 2500, 1500),
                               service("board") + "," + service("ledger"), 67108864, 15000));
    std::vector<std::unique_ptr<endpoint>> board;
    std::vector<std::unique_ptr<endpoint>> ledger;
    const std::string answer(answer_bytes, 'a');
    for (int number = 0; number < 16; ++number) {
        board.push_back(std::make_unique<endpoint>(provider, "i-b" + std::to_string(number), "board", "a", 2,
                                                   [&answer](const endpoint_call& call) {
                                                       std::this_thread::sleep_for(10ms);
                                                       return answer_text(200, call.signed_fields, answer);
                                                   }));
    }
    for (int number = 0; number < 9; ++number) {
        ledger.push_back(std::make_unique<endpoint>(provider, "i-l" + std::to_string(number), "ledger", "a", 2,
                                                    [](const endpoint_call& call) {
                                                        std::this_thread::sleep_for(400ms);
                                                        return answer_text(200, call.signed_fields, "done");
                                                    }));
    }
    const auto was_passed_on = [&](const std::string& id) {
        return std::any_of(ledger.begin(), ledger.end(), [&id](const auto& server) { return server->runs(id) > 0; });
    };
    const int bytes_a_second = trouble() ? 20000 : 0;
    RECORD("%d callers at each instance pipeline %d safe requests each and read %s", pipelining_callers, most_unread,
           trouble() ? "20,000 bytes a second" : "as fast as the answers come");
    const int result = play(root, folder, provider, 90, was_passed_on, [&](watched_instance& instance, int round) {
        std::atomic<bool> stop = false;
        const int before = instance.ends();
        std::vector<std::thread> callers;
        std::atomic<int> busy = pipelining_callers;
        for (int number = 0; number < pipelining_callers; ++number) {
            callers.emplace_back([&, number] {
                pipeline(instance, round, number, bytes_a_second, stop);
                --busy;
            });
        }
        const auto until = clock::now() + round_time;
        while (clock::now() < until && instance.ends() == before && busy > 0) {
            std::this_thread::sleep_for(20ms);
        }
        stop = true;
        for (auto& caller : callers) {
            caller.join();
        }
    });
    std::fflush(nullptr);
    std::_Exit(result);
}
