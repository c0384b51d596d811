#include "integration/caller_load.hpp"

#include <utility>

namespace lovagetack::harness {

namespace {

constexpr std::chrono::milliseconds pause_between_calls(5);
constexpr std::size_t calls_per_post = 4;

std::string new_request_id() {
    static std::atomic<std::int64_t> latest = 0;
    return "request-" + std::to_string(++latest);
}

} // namespace

call_record call_key(const std::string& address, const std::string& method, const std::string& key,
                     const std::string& idempotency_key, const std::string& path) {
    call_record record{new_request_id(), key, method, idempotency_key, address, base::boot_clock::now(), {}};
    http_call call;
    call.address = address;
    call.method = method;
    call.target = "/board/" + key + path;
    call.headers.emplace_back("lovagetack-request-id", record.request_id);
    if (!idempotency_key.empty()) {
        call.headers.emplace_back("idempotency-key", idempotency_key);
    }
    if (method == "POST" || method == "PUT") {
        call.body = record.request_id;
    }
    record.result = call.run();
    return record;
}

caller_load::caller_load(std::vector<std::string> addresses, std::vector<std::string> keys, std::size_t callers)
    : addresses_(std::move(addresses)), keys_(std::move(keys)), calls_(callers) {
    for (std::size_t caller = 0; caller < callers; ++caller) {
        threads_.emplace_back([this, caller] { run(caller); });
    }
}

caller_load::~caller_load() {
    (void)stop();
}

void caller_load::run(std::size_t caller) {
    for (std::size_t count = caller; !stopping_; ++count) {
        const auto& address = addresses_[count % addresses_.size()];
        // Steps over the keys at another pace than over the addresses, so that every pair comes up.
        const auto& key = keys_[(count / addresses_.size() + caller) % keys_.size()];
        const auto* method = count % calls_per_post == 0 ? "POST" : "GET";
        calls_[caller].push_back(call_key(address, method, key));
        successes_ += calls_[caller].back().succeeded() ? 1 : 0;
        std::this_thread::sleep_for(pause_between_calls);
    }
}

void caller_load::wait_for_successes(std::int64_t count) {
    const auto wanted = successes_ + count;
    wait_for([&] { return successes_ >= wanted; }, std::to_string(count) + " calls to succeed");
}

std::vector<call_record> caller_load::stop() {
    stopping_ = true;
    for (auto& thread : threads_) {
        thread.join();
    }
    threads_.clear();
    std::vector<call_record> all;
    for (auto& calls : calls_) {
        all.insert(all.end(), calls.begin(), calls.end());
        calls.clear();
    }
    return all;
}

} // namespace lovagetack::harness
