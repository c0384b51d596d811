// No case: shows the use of freed memory of REPORT-2.md, "Found, and no case". Built and started by hand:
//   g++ -std=c++20 -O1 -pthread review/standins-2/trial_freeze.cpp -o target/review-2/trial_freeze
//   target/review-2/trial_freeze . FOLDER FOLDER/record.txt [sound-store]
// Ends with 1 if the instance ended by itself, 0 if it lived.
#include "kit.hpp"

using namespace kit;

int main(int count, char** words) {
    if (count < 4) {
        return 2;
    }
    record::get().open(words[3]);
    ::signal(SIGPIPE, SIG_IGN);
    store provider;
    provider.put("op", "config",
                 configuration(1, route("maps", "/maps/", "charts", "download", 1500, 500), service("charts")));
    std::vector<std::unique_ptr<endpoint>> charts;
    for (int number = 0; number < 4; ++number) {
        charts.push_back(std::make_unique<endpoint>(
            provider, "i-c" + std::to_string(number), "charts", "a", 2, [](const endpoint_call& call) {
                std::this_thread::sleep_for(500ms);
                return answer_text(200, call.signed_fields, std::string(90000, 'm'));
            }));
    }
    gateway_settings settings;
    settings.store_port = provider.port();
    gateway instance(words[1], words[2], settings);
    if (!instance.wait_until_ready(15s)) {
        cannot_run("the instance is not ready");
    }
    if (count == 4) {
        // The store's answers would be read first, and the routing would end the overdue request in time.
        provider.set_silent(true);
        std::this_thread::sleep_for(6s);
    }
    for (int round = 1; round <= 10 && !instance.ended(); ++round) {
        std::this_thread::sleep_for(1s);
        const int descriptor = connect_to(instance.front());
        send_all(descriptor, "GET /maps/1 HTTP/1.1\r\nHost: h.example\r\nLovagetack-Request-Id: f" +
                                 std::to_string(round) + "\r\nLovagetack-Deadline-Ms: 2500\r\n\r\n");
        std::this_thread::sleep_for(200ms);
        instance.signal(SIGSTOP);
        std::this_thread::sleep_for(3500ms);
        instance.signal(SIGCONT);
        reader in(descriptor);
        const auto answer = in.read(clock::now() + 1s, true);
        std::this_thread::sleep_for(200ms);
        RECORD("round %d: %s, instance %s", round, answer ? answer->first_line.c_str() : "no answer",
               instance.ended() ? "has ended" : "lives");
        ::close(descriptor);
    }
    const auto status = instance.ended();
    RECORD("the instance %s", status ? ("ended by itself, status " + std::to_string(*status)).c_str() : "lived");
    instance.end();
    std::_Exit(status ? 1 : 0);
}
