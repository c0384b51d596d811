// No case: shows the grants to a new life of REPORT-2.md, "Found, and no case". Endpoints that hold keys are cut off
// from the store, crash behind the cut and start again under their ids. Built and started by hand:
//   g++ -std=c++20 -O1 -pthread review/standins-2/trial_lives.cpp -o target/review-2/trial_lives
//   target/review-2/trial_lives . FOLDER FOLDER/record.txt
// Ends with 1 if a new life took keys with a number that the life before had, 0 if none did.
#include "kit.hpp"

using namespace kit;

namespace {

constexpr std::uint32_t key_count = 65536;
constexpr int endpoints = 5;
constexpr auto heartbeat = 870ms;
constexpr auto down_time = 300ms;
/// How long an endpoint is cut off from the store, from its crash on; below three heartbeats, so that its entry stays.
constexpr auto cut_time = 2400ms;
constexpr int restarts = 4;

double number_in(const std::string& json, const std::string& name) {
    const auto at = json.find("\"" + name + "\":");
    return at == std::string::npos ? -1 : std::atof(json.c_str() + at + name.size() + 3);
}

/// The generation number with which some life of some endpoint has had a key, and which life that was.
struct taken {
    std::uint64_t fence = 0;
    std::string life;
};

std::mutex keys_mutex;
std::vector<taken> highest(key_count);
std::atomic<int> taken_again = 0;

/// An endpoint of a sharded service, which may have several lives under one id and address.
class sharded_endpoint {
public:
    sharded_endpoint(store& registry, std::string id) : store_(registry), id_(std::move(id)) {
        start();
        std::thread([this] {
            while (true) {
                publish();
                std::this_thread::sleep_for(heartbeat);
            }
        }).detach();
    }

    /// Crashes and starts again under its id and at its address; what it writes to the store arrives after the cut.
    void crash_behind_cut() {
        cut_ = true;
        RECORD("%s is cut off from the store and crashes", life().c_str());
        server_->stop();
        std::this_thread::sleep_for(down_time);
        start();
        RECORD("%s has started; it holds and knows nothing of before", life().c_str());
        std::this_thread::sleep_for(cut_time - down_time);
        cut_ = false;
        publish();
        RECORD("%s reaches the store again", life().c_str());
    }

private:
    [[nodiscard]] std::string life() const { return id_ + "/" + std::to_string(life_); }

    void start() {
        ++life_;
        born_ = unix_ms();
        sequence_ = 0;
        // Each life has its own state, which goes with its server.
        auto state = std::make_shared<holding>();
        state->life = life();
        // The threads of a stopped server may still use it.
        stopped_.push_back(std::move(server_));
        server_ = std::make_unique<tcp_server>([this, state](int descriptor) { serve(descriptor, *state); }, port_);
        port_ = server_->port();
    }
    void publish() {
        const std::lock_guard lock(publish_mutex_);
        if (cut_) {
            return;
        }
        store_.put(
            "servers", id_,
            "{\"address\":\"127.0.0.1:" + std::to_string(port_) + "\",\"born\":" + std::to_string(born_) +
                ",\"info\":{\"service\":\"board\",\"version\":\"1\",\"zone\":\"a\",\"slots\":2},\"status\":{\"state\":"
                "\"ready\",\"seq\":" +
                std::to_string(++sequence_) + ",\"cold_remaining_ms\":0}}");
    }

    struct holding {
        std::string life;
        std::mutex mutex;
        std::vector<std::uint64_t> seen = std::vector<std::uint64_t>(key_count);
        std::vector<clock::time_point> until = std::vector<clock::time_point>(key_count);
    };

    void serve(int descriptor, holding& state) {
        reader in(descriptor);
        while (const auto request = in.read(clock::now() + 300s)) {
            const auto answer = handle(*request, state);
            if (!request->complete || !send_all(descriptor, answer)) {
                return;
            }
        }
    }
    std::string handle(const message& request, holding& state) {
        const auto expected = request.field("lovagetack-expected-instance");
        if (!expected.empty() && expected != id_) {
            return answer_text(421, "Lovagetack-Instance-Id: " + id_ + "\r\n", "");
        }
        const auto from = static_cast<std::uint32_t>(number_in(request.body, "from"));
        const auto target = static_cast<std::uint32_t>(number_in(request.body, "target"));
        const auto fence = static_cast<std::uint64_t>(number_in(request.body, "fence"));
        if (request.target() == "/v1/grant") {
            return answer_text(grant(state, from, target, fence, number_in(request.body, "hold_ms")) ? 200 : 409, "",
                               "");
        }
        if (request.target() == "/v1/release") {
            const std::lock_guard lock(state.mutex);
            std::fill(state.until.begin() + from, state.until.begin() + target + 1, clock::time_point());
            RECORD("%s: release %u to %u, number %llu", state.life.c_str(), from, target,
                   static_cast<unsigned long long>(fence));
            return answer_text(200, "Lovagetack-Handover: " + state.life + "-" + std::to_string(now_ms()) + "\r\n", "");
        }
        const auto name = request.field("lovagetack-request-id");
        const auto key = static_cast<std::size_t>(std::atoi(request.field("lovagetack-shard-key").c_str()));
        {
            const std::lock_guard lock(state.mutex);
            if (state.until.at(key % key_count) <= clock::now()) {
                return answer_text(421, "Lovagetack-Request-Id: " + name + "\r\nLovagetack-Not-Executed: 1\r\n", "");
            }
        }
        std::this_thread::sleep_for(20ms);
        return answer_text(200, "Lovagetack-Request-Id: " + name + "\r\nLovagetack-Response-Signature: 1\r\n", "free");
    }
    static bool grant(holding& state, std::uint32_t from, std::uint32_t target, std::uint64_t fence, double hold_ms) {
        const std::lock_guard lock(state.mutex);
        if (std::any_of(state.seen.begin() + from, state.seen.begin() + target + 1,
                        [fence](std::uint64_t seen) { return seen > fence; })) {
            return false;
        }
        const std::lock_guard keys_lock(keys_mutex);
        std::optional<std::pair<std::uint32_t, taken>> other;
        for (auto key = from; key <= target; ++key) {
            const bool takes = state.seen[key] != fence;
            state.seen[key] = fence;
            state.until[key] = clock::now() + std::chrono::milliseconds(static_cast<int>(hold_ms));
            auto& most = highest[key];
            if (takes && fence <= most.fence && most.life != state.life && !other) {
                other = {key, most};
            }
            if (fence > most.fence) {
                most = {fence, state.life};
            }
        }
        if (other) {
            ++taken_again;
            RECORD("%s takes keys %u to %u with number %llu; %s had key %u with number %llu", state.life.c_str(), from,
                   target, static_cast<unsigned long long>(fence), other->second.life.c_str(), other->first,
                   static_cast<unsigned long long>(other->second.fence));
        }
        return true;
    }

    store& store_;
    std::string id_;
    int life_ = 0;
    int port_ = 0;
    std::atomic<std::int64_t> born_ = 0;
    std::atomic<int> sequence_ = 0;
    std::atomic<bool> cut_ = false;
    std::mutex publish_mutex_;
    std::unique_ptr<tcp_server> server_;
    std::vector<std::unique_ptr<tcp_server>> stopped_;
};

} // namespace

int main(int count, char** words) {
    if (count != 4) {
        return 2;
    }
    record::get().open(words[3]);
    ::signal(SIGPIPE, SIG_IGN);
    store provider;
    provider.put("op", "config",
                 configuration(1, route("carts", "/carts/", "board", "safe", 2000, 500), service("board", true)));
    std::vector<std::unique_ptr<sharded_endpoint>> board;
    for (int number = 0; number < endpoints; ++number) {
        board.push_back(std::make_unique<sharded_endpoint>(provider, "i-b" + std::to_string(number)));
    }
    std::vector<std::unique_ptr<gateway>> instances;
    for (const char* const name : {"front-a-1", "front-a-2"}) {
        gateway_settings settings;
        settings.node = name;
        settings.store_port = provider.port();
        instances.push_back(std::make_unique<gateway>(words[1], words[2], settings));
    }
    for (const auto& instance : instances) {
        if (!instance->wait_until_ready(15s)) {
            cannot_run("an instance is not ready");
        }
    }
    std::atomic<bool> stop = false;
    std::atomic<int> served = 0;
    std::atomic<int> asked = 0;
    std::vector<std::thread> callers;
    for (int number = 0; number < 4; ++number) {
        callers.emplace_back([&, number] {
            for (int at = 0; !stop; ++at) {
                const int descriptor = connect_to(instances[static_cast<std::size_t>(number % 2)]->front());
                send_all(descriptor, "GET /carts/1 HTTP/1.1\r\nHost: h.example\r\nLovagetack-Request-Id: q" +
                                         std::to_string(number) + "-" + std::to_string(at) +
                                         "\r\nLovagetack-Shard-Key: " +
                                         std::to_string((at * 7919 + number * 104729) % static_cast<int>(key_count)) +
                                         "\r\nLovagetack-Deadline-Ms: 2000\r\n\r\n");
                reader in(descriptor);
                const auto answer = in.read(clock::now() + 2500ms, true);
                ++asked;
                served += answer && answer->status() == 200 ? 1 : 0;
                ::close(descriptor);
                std::this_thread::sleep_for(20ms);
            }
        });
    }
    std::this_thread::sleep_for(6s);
    for (int number = 0; number < restarts; ++number) {
        if (trouble()) {
            board[static_cast<std::size_t>(number % endpoints)]->crash_behind_cut();
        }
        std::this_thread::sleep_for(6s);
    }
    stop = true;
    for (auto& caller : callers) {
        caller.join();
    }
    for (const auto& instance : instances) {
        instance->end();
    }
    RECORD("requests %d, served %d; grants taken with a number that another life had: %d", asked.load(), served.load(),
           taken_again.load());
    const bool broken = taken_again > 0;
    RECORD("keys taken with the number of a former life: %s", broken ? "yes" : "no");
    std::_Exit(broken ? 1 : 0);
}
