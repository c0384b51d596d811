// Case 8: the reader of an instance's log stops reading for some seconds.
#include "kit.hpp"

using namespace kit;

namespace {

constexpr int timeout_ms = 2000;
constexpr auto pause_time = 12s;
/// A header within max_header_bytes (16,384).
constexpr std::size_t path_bytes = 12000;

struct call_counts {
    std::atomic<int> answered_in_time = 0;
    std::atomic<int> at_timeout = 0;
    std::atomic<int> answered_by_half_second_later = 0;
};

/// Reads the log and drops it, as a collector does that only passes it on.
pid_t start_collector(int log) {
    const pid_t pid = ::fork();
    if (pid == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        char bytes[65536];
        while (::read(log, bytes, sizeof bytes) > 0) {
        }
        ::_exit(0);
    }
    return pid;
}

/// One request on a connection of its own, and whether it was answered by its route's timeout and half a second later.
void call(const gateway& instance, const std::string& id, call_counts& counts) {
    const int descriptor = connect_to(instance.front());
    if (descriptor < 0) {
        return;
    }
    const auto sent_at = clock::now();
    send_all(descriptor, "GET /carts/1 HTTP/1.1\r\nHost: h.example\r\nLovagetack-Request-Id: " + id +
                             "\r\nLovagetack-Deadline-Ms: 3000\r\n\r\n");
    reader in(descriptor);
    const auto answer = in.read(sent_at + std::chrono::milliseconds(timeout_ms + 500), true);
    const auto taken = std::chrono::duration_cast<std::chrono::milliseconds>(clock::now() - sent_at).count();
    if (answer && taken <= timeout_ms) {
        ++counts.answered_in_time;
    } else {
        ++counts.at_timeout;
        counts.answered_by_half_second_later += answer ? 1 : 0;
    }
    RECORD("request %s: %s after %lld ms", id.c_str(),
           answer ? ("answered " + std::to_string(answer->status())).c_str() : "no answer",
           static_cast<long long>(taken));
    ::close(descriptor);
}

} // namespace

int main(int count, char** words) {
    if (count != 4) {
        return 2;
    }
    record::get().open(words[3]);
    ::signal(SIGPIPE, SIG_IGN);
    int log[2];
    if (::pipe2(log, O_CLOEXEC) != 0) {
        cannot_run("no pipe");
    }
    const pid_t collector = start_collector(log[0]);
    store provider;
    provider.put("op", "config",
                 configuration(1, route("carts", "/carts/", "board", "safe", timeout_ms, 500), service("board"),
                               67108864, 15000));
    std::vector<std::unique_ptr<endpoint>> board;
    for (int number = 0; number < 8; ++number) {
        board.push_back(std::make_unique<endpoint>(provider, "i-b" + std::to_string(number), "board", "a", 2,
                                                   [](const endpoint_call& call) {
                                                       std::this_thread::sleep_for(50ms);
                                                       return answer_text(200, call.signed_fields, "free");
                                                   }));
    }
    gateway_settings settings;
    settings.store_port = provider.port();
    settings.log_descriptor = log[1];
    gateway instance(words[1], words[2], settings);
    ::close(log[0]);
    ::close(log[1]);
    if (!instance.wait_until_ready(15s)) {
        ::kill(collector, SIGKILL);
        cannot_run("the instance is not ready");
    }
    std::this_thread::sleep_for(4s);
    if (trouble()) {
        ::kill(collector, SIGSTOP);
    }
    RECORD("%s", trouble() ? "the collector of the log stands still" : "the collector of the log goes on");
    call_counts counts;
    std::vector<std::thread> callers;
    const auto until = clock::now() + pause_time;
    int sent = 0;
    while (clock::now() < until) {
        ++sent;
        callers.emplace_back([&, sent] { call(instance, "q" + std::to_string(sent), counts); });
        // A request for a route that never existed.
        callers.emplace_back([&, sent] {
            const int descriptor = connect_to(instance.front());
            send_all(descriptor, "GET /gone/" + std::string(path_bytes, 'x') +
                                     " HTTP/1.1\r\nHost: h.example\r\nLovagetack-Request-Id: r" + std::to_string(sent) +
                                     "\r\nLovagetack-Deadline-Ms: 3000\r\n\r\n");
            reader in(descriptor);
            const auto answer = in.read(clock::now() + 3s, true);
            RECORD("request r%d (unknown route): %s", sent,
                   answer ? ("answered " + std::to_string(answer->status())).c_str() : "no answer within 3 s");
            ::close(descriptor);
        });
        std::this_thread::sleep_for(100ms);
    }
    for (auto& caller : callers) {
        caller.join();
    }
    const bool ready = instance.answers_ready(1s);
    RECORD("readiness answered within 1 s: %s; process alive: %s", ready ? "yes" : "no",
           instance.ended() ? "no" : "yes");
    ::kill(collector, SIGCONT);
    std::this_thread::sleep_for(1s);
    RECORD("after the collector went on: readiness answered: %s", instance.answers_ready(1s) ? "yes" : "no");
    instance.end();
    ::kill(collector, SIGKILL);
    ::waitpid(collector, nullptr, 0);
    const int late = counts.at_timeout;
    const int answered = counts.answered_by_half_second_later;
    RECORD("requests %d, answered by their route's timeout %d, unanswered then %d, of which answered half a second "
           "later %d",
           sent, counts.answered_in_time.load(), late, answered);
    const bool broken = late > 0 && 2 * (late - answered) > late;
    RECORD("CONFIG (of the requests unanswered at timeout_ms, more than half have no answer half a second later): %s",
           broken ? "broken" : "held");
    std::_Exit(broken ? 1 : 0);
}
