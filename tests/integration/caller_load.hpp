#pragma once

#include <atomic>
#include <cstdint>
#include <string>
#include <thread>
#include <vector>

#include "base/boot_time.hpp"
#include "integration/http_call.hpp"

namespace lovagetack::harness {

/// One call of a caller and how it ended.
struct call_record {
    std::string request_id;
    std::string key;
    std::string method;
    std::string idempotency_key;
    std::string address;
    base::boot_time begin;
    http_result result;

    [[nodiscard]] bool succeeded() const { return result.end == call_end::answered && result.status == 200; }
    [[nodiscard]] std::string outcome() const { return result.header("lovagetack-outcome"); }
};

/// One call to /board/<key>, with a request id of its own.
[[nodiscard]] call_record call_key(const std::string& address, const std::string& method, const std::string& key,
                                   const std::string& idempotency_key = "", const std::string& path = "");

/// Concurrent callers. Each repeats calls for the keys in turn, at the addresses in turn, with a short pause between
/// them; every fourth is a POST of a body that is its own request id.
class caller_load {
public:
    caller_load(std::vector<std::string> addresses, std::vector<std::string> keys, std::size_t callers = 4);
    ~caller_load();
    caller_load(const caller_load&) = delete;
    caller_load& operator=(const caller_load&) = delete;

    /// Waits until count more calls have succeeded than at the call of this function.
    void wait_for_successes(std::int64_t count);
    /// Ends the callers; all their calls.
    [[nodiscard]] std::vector<call_record> stop();

private:
    void run(std::size_t caller);

    std::vector<std::string> addresses_;
    std::vector<std::string> keys_;
    std::atomic<bool> stopping_ = false;
    std::atomic<std::int64_t> successes_ = 0;
    std::vector<std::vector<call_record>> calls_;
    std::vector<std::thread> threads_;
};

} // namespace lovagetack::harness
