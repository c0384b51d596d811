#pragma once

#include <chrono>
#include <iterator>
#include <list>
#include <memory>
#include <string>
#include <utility>

#include "http/call.hpp"

namespace lovagetack::http {

/// Owns the calls in progress. A call that has ended is destroyed later, since it cannot be destroyed within its own
/// callback.
class call_list {
public:
    /// `done` as for a call; the pool must outlive the list.
    void begin(connection_pool& pool, std::string text, std::chrono::milliseconds timeout, call::done_function done,
               connection_use use = connection_use::shared) {
        forget_ended();
        calls_.emplace_back();
        const auto position = std::prev(calls_.end());
        *position = std::make_unique<call>(pool, std::move(text), timeout,
                                           [this, position, done = std::move(done)](const call_result& result) {
                                               ended_.splice(ended_.end(), calls_, position);
                                               done(result);
                                           });
        (*position)->begin(use);
    }

    void forget_ended() { ended_.clear(); }
    void clear() {
        calls_.clear();
        ended_.clear();
    }
    [[nodiscard]] bool empty() const { return calls_.empty() && ended_.empty(); }

private:
    std::list<std::unique_ptr<call>> calls_;
    std::list<std::unique_ptr<call>> ended_;
};

} // namespace lovagetack::http
