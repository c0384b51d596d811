#pragma once

#include "platform.hpp"

/// Stand-in of an endpoint: takes grants and releases, and runs requests. A sound one; a case adds its disruption.
class endpoint {
public:
    static constexpr std::uint32_t key_count = 65536;

    endpoint(record_file& record, std::string id, std::string service, std::string zone, bool keyed)
        : id(std::move(id)), service(std::move(service)), zone(std::move(zone)), keyed(keyed), record_(record),
          fences_(key_count, 0), held_until_(key_count), running_(key_count, 0),
          server_("127.0.0.1", [this](connection& peer) { serve(peer); }) {}
    virtual ~endpoint() = default;

    std::string registration() const {
        return "{\"address\":\"" + server_.address() + "\",\"born\":" + std::to_string(born_) +
               ",\"info\":{\"service\":\"" + service + "\",\"version\":\"v1\",\"zone\":\"" + zone +
               "\",\"slots\":2},\"status\":{\"state\":\"" + (draining ? "draining" : "ready") +
               "\",\"seq\":" + std::to_string(++sequence_) + ",\"cold_remaining_ms\":0}}";
    }

    const std::string id;
    const std::string service;
    const std::string zone;
    const bool keyed;
    std::atomic<bool> draining{false};
    std::atomic<int> runs{0};

    /// Whether it holds the key now.
    bool holds(std::uint32_t key) {
        const std::lock_guard<std::mutex> lock(mutex_);
        return held_until_[key] > steady::now();
    }
    /// Requests on the key that it is at work on.
    int running(std::uint32_t key) {
        const std::lock_guard<std::mutex> lock(mutex_);
        return running_[key];
    }

protected:
    /// How long the work on a request takes.
    virtual milliseconds work_time(const message&) { return milliseconds(40); }
    /// Called for each accepted grant, before its answer.
    virtual void granted(std::uint32_t, std::uint32_t, std::uint64_t) {}
    /// Called for each release when it arrives, and when its answer is sent.
    virtual void release_arrived(std::uint32_t, std::uint32_t, std::uint64_t) {}
    virtual void release_answered(std::uint32_t, std::uint32_t, std::uint64_t) {}
    /// Called for each call that has been received, and after each answer, on its connection.
    virtual void call_arrived(connection&, const message&) {}
    virtual void answered(connection&, const std::string&) {}
    /// Called for each request that begins to run.
    virtual void begun(const message&) {}
    /// Answers in another way; false for the usual answer. `lines` are the header fields of the usual one.
    virtual bool answer_otherwise(connection&, const message&, const std::string&) { return false; }

    record_file& record_;

private:
    void serve(connection& peer) {
        message call;
        while (peer.read(call, steady::now() + std::chrono::seconds(10))) {
            if (!call.complete) {
                return;
            }
            call_arrived(peer, call);
            const auto expected = call.header("Lovagetack-Expected-Instance");
            if (!expected.empty() && expected != id) {
                peer.write(answer_text(421, "Misdirected Request",
                                       "Lovagetack-Instance-Id: " + id + "\r\nLovagetack-Not-Executed: 1\r\n", ""));
            } else if (call.target() == "/v1/grant") {
                grant(peer, json::parse(call.body));
            } else if (call.target() == "/v1/release") {
                release(peer, json::parse(call.body));
            } else if (!request(peer, call)) {
                return;
            }
        }
    }

    void grant(connection& peer, const json& body) {
        const auto first = static_cast<std::uint32_t>(body["from"].whole());
        const auto last = static_cast<std::uint32_t>(body["target"].whole());
        const auto fence = body["fence"].whole();
        bool refused = false;
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            for (auto key = first; key <= last; ++key) {
                refused = refused || fences_[key] > fence;
            }
            for (auto key = first; key <= last && !refused; ++key) {
                fences_[key] = fence;
                held_until_[key] = steady::now() + milliseconds(body["hold_ms"].whole());
            }
        }
        if (!refused) {
            granted(first, last, fence);
        }
        const auto text = answer_text(refused ? 409 : 200, refused ? "Conflict" : "OK", "", "");
        peer.write(text);
        answered(peer, text);
    }

    void release(connection& peer, const json& body) {
        const auto first = static_cast<std::uint32_t>(body["from"].whole());
        const auto last = static_cast<std::uint32_t>(body["target"].whole());
        const auto fence = body["fence"].whole();
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            std::fill(held_until_.begin() + first, held_until_.begin() + last + 1, steady::time_point());
        }
        release_arrived(first, last, fence);
        const auto at_work = [&] {
            const std::lock_guard<std::mutex> lock(mutex_);
            for (auto key = first; key <= last; ++key) {
                if (running_[key] > 0) {
                    return true;
                }
            }
            return false;
        };
        while (at_work()) {
            std::this_thread::sleep_for(milliseconds(2));
        }
        release_answered(first, last, fence);
        const auto text = answer_text(200, "OK", "Lovagetack-Handover: h" + std::to_string(fence) + "\r\n", "");
        peer.write(text);
        answered(peer, text);
    }

    bool request(connection& peer, const message& call) {
        const auto lines = "Lovagetack-Request-Id: " + call.header("Lovagetack-Request-Id") + "\r\n";
        const auto key = static_cast<std::uint32_t>(std::atoi(call.header("Lovagetack-Shard-Key").c_str()));
        if (keyed) {
            const std::lock_guard<std::mutex> lock(mutex_);
            if (held_until_[key] <= steady::now()) {
                return peer.write(
                    answer_text(421, "Misdirected Request", lines + "Lovagetack-Not-Executed: 1\r\n", ""));
            }
            ++running_[key];
        }
        const int load = ++at_work_;
        ++runs;
        begun(call);
        std::this_thread::sleep_for(work_time(call));
        --at_work_;
        if (keyed) {
            const std::lock_guard<std::mutex> lock(mutex_);
            --running_[key];
        }
        const auto signature = "Lovagetack-Response-Signature: signed-" + call.header("Lovagetack-Request-Id") + "\r\n";
        if (answer_otherwise(peer, call, lines + signature)) {
            return true;
        }
        const auto body = "run by " + id + ", " + std::to_string(call.body.size()) + " bytes received\n";
        const auto text = answer_text(200, "OK",
                                      lines + signature + "Lovagetack-Server-Load: " + std::to_string(load - 1) +
                                          ",0,2\r\nKeep-Alive: timeout=10\r\n",
                                      body);
        const bool sent = peer.write(text);
        answered(peer, text);
        return sent;
    }

    std::mutex mutex_;
    std::vector<std::uint64_t> fences_;
    std::vector<steady::time_point> held_until_;
    std::vector<int> running_;
    std::atomic<int> at_work_{0};
    mutable std::atomic<int> sequence_{0};
    const long long born_ =
        std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    listener server_;
};

inline std::string service_text(const std::string& name, bool keyed) {
    return "{\"name\":\"" + name +
           "\",\"health_path\":\"/health\",\"max_conns\":110,\"protocol\":\"h1\",\"tls\":false,\"cold_period_s\":3.0,"
           "\"cold_per_s\":6.3" +
           (keyed ? ",\"sharded\":true,\"warmup_s\":5.0,\"grants\":\"call\"}" : "}");
}

inline std::string route_text(const std::string& name, const std::string& prefix, const std::string& type,
                              const std::string& service, int timeout_ms, int aim_ms) {
    return "{\"name\":\"" + name + "\",\"host\":\"cart.example\",\"prefix\":\"" + prefix + "\",\"route_type\":\"" +
           type + "\",\"timeout_ms\":" + std::to_string(timeout_ms) +
           ",\"target_latency_ms\":" + std::to_string(aim_ms) + ",\"priority\":1,\"service\":\"" + service +
           "\",\"max_attempts\":2}";
}
