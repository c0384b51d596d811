#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "http/sockets.hpp"
#include "service/request_executor.hpp"

namespace lovagetack::test {

/// An executor with a deployment of one keyed service `hidestock` and one other, `maps`; events are collected.
class executor_harness {
public:
    explicit executor_harness(http::server_limits limits = {});

    [[nodiscard]] std::uint16_t port() const { return executor->port(); }

    /// All events of one type so far.
    template <class Event>
    [[nodiscard]] std::vector<Event> all() const {
        std::vector<Event> found;
        for (const auto& event : events) {
            if (const auto* const match = std::get_if<Event>(&event)) {
                found.push_back(*match);
            }
        }
        return found;
    }

    /// Waits for the event with this number of its type, counted from 0.
    template <class Event>
    Event wait_for(std::size_t number = 0) {
        run_until([&] { return all<Event>().size() > number; });
        return all<Event>()[number];
    }

    /// Effect that sends the request to a port of this machine.
    static requests::start_attempt attempt(const requests::caller_request& request, std::uint64_t number,
                                           std::uint16_t port);

    /// Every request is sent to this port as soon as it arrives, with one attempt.
    void route_all_to(std::uint16_t port);

    std::vector<requests::event> events;
    std::int32_t queue = 7;
    std::function<void(const requests::event&)> on_event;
    std::unique_ptr<service::request_executor> executor;

private:
    std::uint64_t attempts_ = 0;
};

} // namespace lovagetack::test
