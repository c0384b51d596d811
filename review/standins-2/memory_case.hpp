// What the two cases about memory share: two entry instances, ordinary callers, and the platform, which ends a process
// that exceeds memory_mb and starts it again.
#pragma once

#include "kit.hpp"

namespace kit {

inline constexpr int memory_mb = 260;
inline constexpr int rounds = 3;

/// An instance and what the platform and its ordinary callers see of it.
class watched_instance {
public:
    watched_instance(const std::string& root, const std::string& folder, const std::string& name, store& provider)
        : name_(name), gateway_(root, folder, {name, "a", memory_mb, 4100, provider.port(), 6, -1}) {}

    gateway& process() { return gateway_; }
    [[nodiscard]] const std::string& name() const { return name_; }
    [[nodiscard]] int ends() const { return ends_; }
    [[nodiscard]] int lost() const { return lost_; }
    [[nodiscard]] int answered() const { return answered_; }
    [[nodiscard]] bool is_up() const { return up_; }
    [[nodiscard]] long peak_kib() const { return peak_; }

    /// The platform: "A process that exceeds `memory_mb` is killed", and "is restarted after a short delay".
    void watch(const std::atomic<bool>& stop) {
        while (!stop) {
            std::this_thread::sleep_for(10ms);
            const long used = gateway_.status_kib("RssAnon");
            peak_ = std::max<long>(peak_, used);
            const bool exceeds = used > memory_mb * 1024L;
            if (!exceeds && !gateway_.ended()) {
                continue;
            }
            up_ = false;
            RECORD("%s: %s (anonymous memory %ld KiB, limit %d KiB)", name_.c_str(),
                   exceeds ? "memory over the limit, the platform kills the process" : "ended by itself", used,
                   memory_mb * 1024);
            gateway_.end();
            ++ends_;
            std::this_thread::sleep_for(1s);
            if (stop) {
                return;
            }
            gateway_.restart();
            up_ = gateway_.wait_until_ready(10s);
        }
    }

    /// An ordinary caller, which sends one small order after the other on a kept connection.
    void call(int number, const std::atomic<bool>& stop, const std::function<bool(const std::string&)>& was_passed_on) {
        int descriptor = -1;
        std::unique_ptr<reader> answers;
        bool kept = false;
        for (int count = 0; !stop; ++count) {
            if (descriptor < 0) {
                descriptor = connect_to(gateway_.front());
                if (descriptor < 0) {
                    std::this_thread::sleep_for(100ms);
                    continue;
                }
                answers = std::make_unique<reader>(descriptor);
                kept = false;
            }
            const auto id = name_ + "-o" + std::to_string(number) + "-" + std::to_string(count);
            const bool sent =
                send_all(descriptor, "POST /orders/1 HTTP/1.1\r\nHost: h.example\r\nLovagetack-Request-Id: " + id +
                                         "\r\nLovagetack-Deadline-Ms: 2500\r\nContent-Length: 5\r\n\r\norder");
            const auto answer = sent ? answers->read(clock::now() + 3s, true) : std::nullopt;
            if (answer && answer->complete) {
                ++answered_;
                kept = true;
                if (answer->field("connection") != "close") {
                    std::this_thread::sleep_for(20ms);
                    continue;
                }
            } else if (was_passed_on(id)) {
                lost_ += kept ? 1 : 0;
                RECORD("%s: order %s was run by its endpoint, and its %s connection ended without an answer",
                       name_.c_str(), id.c_str(), kept ? "kept" : "new");
            }
            ::close(descriptor);
            descriptor = -1;
        }
        if (descriptor >= 0) {
            ::close(descriptor);
        }
    }

private:
    std::string name_;
    gateway gateway_;
    std::atomic<int> ends_ = 0;
    std::atomic<int> lost_ = 0;
    std::atomic<int> answered_ = 0;
    std::atomic<bool> up_ = true;
    std::atomic<long> peak_ = 0;
};

/// Plays `press` (what the pressing callers do at one instance; it returns when the instance has ended or the callers
/// have done what they do) in rounds, and judges the rule.
inline int play(const std::string& root, const std::string& folder, store& provider, int seconds,
                const std::function<bool(const std::string&)>& was_passed_on,
                const std::function<void(watched_instance&, int round)>& press) {
    std::vector<std::unique_ptr<watched_instance>> instances;
    for (const char* const name : {"front-a-1", "front-a-2"}) {
        instances.push_back(std::make_unique<watched_instance>(root, folder, name, provider));
    }
    for (const auto& instance : instances) {
        if (!instance->process().wait_until_ready(15s)) {
            cannot_run(instance->name() + " is not ready");
        }
    }
    std::atomic<bool> stop = false;
    const auto until = clock::now() + std::chrono::seconds(seconds);
    std::vector<std::thread> threads;
    for (const auto& instance : instances) {
        threads.emplace_back([&] { instance->watch(stop); });
        for (int number = 0; number < 6; ++number) {
            threads.emplace_back([&, number] { instance->call(number, stop, was_passed_on); });
        }
        threads.emplace_back([&] {
            std::this_thread::sleep_for(1s);
            for (int round = 1; round <= rounds && clock::now() < until; ++round) {
                RECORD("%s: round %d begins", instance->name().c_str(), round);
                press(*instance, round);
                RECORD("%s: round %d is over, highest anonymous memory so far %ld KiB", instance->name().c_str(), round,
                       instance->peak_kib());
                while (!instance->is_up() && clock::now() < until) {
                    std::this_thread::sleep_for(50ms);
                }
            }
        });
    }
    for (std::size_t at = 7; at < threads.size(); at += 8) {
        threads[at].join();
    }
    stop = true;
    for (std::size_t at = 0; at < threads.size(); ++at) {
        if (at % 8 != 7) {
            threads[at].join();
        }
    }
    int ended_often = 0;
    bool lost = false;
    for (const auto& instance : instances) {
        RECORD(
            "%s: ended %d times over its memory; highest anonymous memory %ld KiB of %d; ordinary orders answered %d, "
            "run without an answer on kept connections %d",
            instance->name().c_str(), instance->ends(), instance->peak_kib(), memory_mb * 1024, instance->answered(),
            instance->lost());
        ended_often += instance->ends() >= rounds ? 1 : 0;
        lost = lost || instance->lost() > 3;
    }
    const bool broken = ended_often >= 2;
    RECORD("Fault (two machines or more on which processes end by themselves three times): %s",
           broken ? "broken" : "held");
    RECORD("LOST (more than three orders of kept connections passed on, then closed without an answer): %s",
           lost ? "broken" : "held");
    for (const auto& instance : instances) {
        instance->process().end();
    }
    return broken ? 1 : 0;
}

} // namespace kit
