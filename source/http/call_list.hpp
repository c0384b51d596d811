#pragma once

#include <chrono>
#include <iterator>
#include <list>
#include <memory>
#include <string>
#include <utility>

#include "http/call.hpp"

namespace lovagetack::http {

/// Calls under way. One that has ended is kept until it can be destroyed outside of its own function.
class call_list {
public:
    /// `done` as for a call; the pool must outlive the list.
    void begin(connection_pool& pool, std::string text, std::chrono::milliseconds timeout, call::done_function done) {
        forget_ended();
        calls_.emplace_back();
        const auto at = std::prev(calls_.end());
        *at = std::make_unique<call>(pool, std::move(text), timeout,
                                     [this, at, done = std::move(done)](const call_result& result) {
                                         ended_.splice(ended_.end(), calls_, at);
                                         done(result);
                                     });
        (*at)->begin();
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
