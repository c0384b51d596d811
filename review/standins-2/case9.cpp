// Case 9: callers that read slowly fill the buffers, and other callers' connections are closed under their requests.
#include "kit.hpp"

using namespace kit;

namespace {

constexpr int slow_readers = 12;
constexpr int requests_of_slow_reader = 600;
constexpr std::size_t answer_bytes = 30000;
constexpr int ordinary_callers = 8;
constexpr auto work_time = 3000ms;
constexpr auto play_time = 30s;

/// Pipelines its requests and reads the answers, `bytes_a_second` of them; 0 for all at once.
void read_slowly(int port, int number, int bytes_a_second, const std::atomic<bool>& stop) {
    const int descriptor = connect_to(port, 16384);
    std::string requests;
    for (int count = 0; count < requests_of_slow_reader; ++count) {
        requests += "GET /carts/1 HTTP/1.1\r\nHost: h.example\r\nLovagetack-Request-Id: s" + std::to_string(number) +
                    "-" + std::to_string(count) + "\r\nLovagetack-Deadline-Ms: 2000\r\n\r\n";
    }
    send_all(descriptor, requests);
    std::vector<char> bytes(65536);
    while (!stop) {
        pollfd query{descriptor, POLLIN, 0};
        if (::poll(&query, 1, 100) == 0) {
            continue;
        }
        const std::size_t most = bytes_a_second == 0 ? bytes.size() : static_cast<std::size_t>(bytes_a_second / 10);
        if (::recv(descriptor, bytes.data(), most, 0) <= 0) {
            RECORD("the connection of slow reader %d has ended", number);
            break;
        }
        if (bytes_a_second > 0) {
            std::this_thread::sleep_for(100ms);
        }
    }
    ::close(descriptor);
}

struct counts {
    std::atomic<int> answered = 0;
    std::atomic<int> refused = 0;
    /// On connections that have carried an answer before.
    std::atomic<int> lost = 0;
    std::atomic<int> lost_on_new_connection = 0;
};

/// Sends two safe requests, the second before the first is answered, on a kept connection.
void call(int port, int number, const std::atomic<bool>& stop,
          const std::function<bool(const std::string&)>& was_passed_on, counts& result) {
    int count = 0;
    while (!stop) {
        const int descriptor = connect_to(port);
        if (descriptor < 0) {
            std::this_thread::sleep_for(100ms);
            continue;
        }
        reader answers(descriptor);
        bool open = true;
        bool kept = false;
        while (open && !stop) {
            std::vector<std::string> ids;
            std::string requests;
            for (int ahead = 0; ahead < 2; ++ahead) {
                ids.push_back("o" + std::to_string(number) + "-" + std::to_string(count++));
                requests += "GET /ledger/1 HTTP/1.1\r\nHost: h.example\r\nLovagetack-Request-Id: " + ids.back() +
                            "\r\nLovagetack-Deadline-Ms: 12000\r\n\r\n";
            }
            open = send_all(descriptor, requests);
            for (const auto& id : ids) {
                const auto answer = open ? answers.read(clock::now() + 12s, true) : std::nullopt;
                if (answer && answer->complete) {
                    ++(answer->status() == 200 ? result.answered : result.refused);
                    open = answer->field("connection") != "close";
                    kept = true;
                    continue;
                }
                // The second of the two isn't passed on before the first is answered.
                if (was_passed_on(id)) {
                    ++(kept ? result.lost : result.lost_on_new_connection);
                    RECORD("request %s was run by its endpoint, and its %s connection was %s without an answer",
                           id.c_str(), kept ? "kept" : "new",
                           answers.was_reset() ? "reset"
                           : answers.ended()   ? "closed"
                                               : "left open");
                }
                open = false;
            }
        }
        ::close(descriptor);
    }
}

} // namespace

int main(int count, char** words) {
    if (count != 4) {
        return 2;
    }
    record::get().open(words[3]);
    ::signal(SIGPIPE, SIG_IGN);
    store provider;
    provider.put("op", "config",
                 configuration(1,
                               route("carts", "/carts/", "board", "safe", 2000, 500) + "," +
                                   route("ledger", "/ledger/", "ledger", "safe", 12000, 8000),
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
    for (int number = 0; number < 6; ++number) {
        ledger.push_back(std::make_unique<endpoint>(provider, "i-l" + std::to_string(number), "ledger", "a", 2,
                                                    [](const endpoint_call& call) {
                                                        std::this_thread::sleep_for(work_time);
                                                        return answer_text(200, call.signed_fields, "entries");
                                                    }));
    }
    const auto was_passed_on = [&](const std::string& id) {
        return std::any_of(ledger.begin(), ledger.end(), [&id](const auto& server) { return server->runs(id) > 0; });
    };
    gateway_settings settings;
    settings.store_port = provider.port();
    gateway instance(words[1], words[2], settings);
    if (!instance.wait_until_ready(15s)) {
        cannot_run("the instance is not ready");
    }
    // The machine is in touch after contact_ms.
    std::this_thread::sleep_for(4s);
    const int bytes_a_second = trouble() ? 20000 : 0;
    std::atomic<bool> stop = false;
    counts result;
    std::vector<std::thread> threads;
    for (int number = 0; number < ordinary_callers; ++number) {
        threads.emplace_back([&, number] { call(instance.front(), number, stop, was_passed_on, result); });
    }
    // Each connection of an ordinary caller has carried answers before the slow readers come.
    std::this_thread::sleep_for(2 * work_time + 2s);
    RECORD("%d callers pipeline %d safe requests each and read %s", slow_readers, requests_of_slow_reader,
           trouble() ? "20,000 bytes a second" : "as fast as the answers come");
    for (int number = 0; number < slow_readers; ++number) {
        threads.emplace_back([&, number] { read_slowly(instance.front(), number, bytes_a_second, stop); });
    }
    long peak = 0;
    const auto until = clock::now() + play_time;
    while (clock::now() < until) {
        std::this_thread::sleep_for(50ms);
        peak = std::max(peak, instance.status_kib("VmRSS"));
    }
    stop = true;
    for (auto& thread : threads) {
        thread.join();
    }
    const bool alive = !instance.ended();
    instance.end();
    RECORD("instance alive: %s, highest resident memory %ld KiB of %d", alive ? "yes" : "no", peak, 260 * 1024);
    RECORD(
        "requests of ordinary callers: answered %d, refused or failed with an answer %d, run without an answer %d on "
        "kept and %d on new connections",
        result.answered.load(), result.refused.load(), result.lost.load(), result.lost_on_new_connection.load());
    const bool broken = result.lost > 3;
    RECORD("LOST (more than three requests of kept connections passed on, then closed without an answer): %s",
           broken ? "broken" : "held");
    std::_Exit(broken ? 1 : 0);
}
