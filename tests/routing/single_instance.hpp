#pragma once

#include <algorithm>
#include <chrono>
#include <string>
#include <vector>

#include "routing/deployment.hpp"
#include "routing/reduce.hpp"
#include "routing/samples.hpp"

namespace lovagetack::routing::testing {

using namespace std::chrono_literals;

inline const model::service_id unkeyed_service{"book"};

/// One instance with two services: `keyed_service` divided by key, `unkeyed_service` not.
class instance {
public:
    explicit instance(int servers = 3)
        : state_(identity{model::instance_id("one"), model::data_centre_id("north"), 1}, 5) {
        state_.instances[model::instance_id("one")] = {model::data_centre_id("north"), 1, {}};
        configuration configuration;
        configuration.version = 3;
        configuration.services[keyed_service] = {keyed_service, "/health", 100, 6.0, 3000ms, true};
        configuration.services[unkeyed_service] = {unkeyed_service, "/health", 100, 6.0, 3000ms, false};
        configuration.routes = {route_to("/look/", request_kind::idempotent, keyed_service),
                                route_to("/pay/", request_kind::non_idempotent, unkeyed_service),
                                route_to("/get/", request_kind::idempotent, unkeyed_service)};
        process_event(configuration_updated{configuration});
        for (int number = 0; number < servers; ++number) {
            process_event(backend_server_updated{server_of("book-" + std::to_string(number), unkeyed_service)});
        }
        process_event(backend_server_updated{server_of("board-0", keyed_service)});
        process_event(registry_complete{});
        key_range whole;
        whole.last = key_count - 1;
        whole.owner = model::backend_server_id("board-0");
        whole.owner_born = 7;
        whole.fence = 1;
        process_event(assignment_learned{keyed_service, 1, {2, {}, {whole}}});
        process_event(assignments_complete{});
    }

    effects process_event(const event& event) {
        auto done = reduce(state_, now_, event);
        effects_.insert(effects_.end(), done.begin(), done.end());
        return done;
    }

    exchange_id request(const std::string& path, std::chrono::milliseconds deadline = 2000ms) {
        request_arrived event;
        event.exchange = ++last_;
        event.request = "id-" + std::to_string(last_);
        event.host = "host";
        event.path = path;
        event.key = 77;
        event.deadline = deadline;
        event.arrived = now_;
        process_event(event);
        return last_;
    }

    void advance_time(std::chrono::milliseconds time) {
        for (auto left = time; left > 0ms; left -= 10ms) {
            now_ += 10ms;
            process_event(ticked{});
        }
    }

    /// The machine is suspended: time passes without events.
    void suspend(std::chrono::milliseconds time) { now_ += time; }

    /// From now on, all keys of `keyed_service` are moving, so that requests for them wait.
    void let_keys_move() {
        key_range moving;
        moving.last = key_count - 1;
        moving.owner = model::backend_server_id("board-0");
        moving.owner_born = 7;
        moving.fence = 2;
        moving.leaving = model::backend_server_id("board-1");
        process_event(assignment_learned{keyed_service, 2, {3, {}, {moving}}});
    }

    /// Attempts that were sent for the request.
    std::vector<send_request> sent(exchange_id id) const { return effects_of<send_request>(id); }

    std::vector<answer_caller> answers(exchange_id id) const { return effects_of<answer_caller>(id); }

    template <class Effect>
    std::size_t count() const {
        return static_cast<std::size_t>(std::count_if(effects_.begin(), effects_.end(), [](const auto& effect) {
            return std::holds_alternative<Effect>(effect);
        }));
    }

    void end(exchange_id id, attempt_outcome outcome, int status = 0) {
        const auto attempts = sent(id);
        process_event(attempt_sent{id, attempts.back().attempt});
        process_event(attempt_ended{id, attempts.back().attempt, outcome, status, false, std::nullopt});
    }

    /// The head of the answer to the request's last attempt arrives and states something of the server.
    void signal(exchange_id id, const server_signals& signals) {
        const auto attempt = sent(id).back().attempt;
        process_event(attempt_sent{id, attempt});
        process_event(signals_received{id, attempt, signals});
    }

    std::size_t logged(const std::string& name) const {
        return static_cast<std::size_t>(std::count_if(effects_.begin(), effects_.end(), [&name](const auto& effect) {
            const auto* const line = std::get_if<log_line>(&effect);
            return line != nullptr && line->name == name;
        }));
    }

    const effects& all_effects() const { return effects_; }
    base::boot_time now() const { return now_; }
    routing::state& state() { return state_; }

private:
    template <class Effect>
    std::vector<Effect> effects_of(exchange_id id) const {
        std::vector<Effect> found;
        for (const auto& effect : effects_) {
            if (const auto* body = std::get_if<Effect>(&effect); body != nullptr && body->exchange == id) {
                found.push_back(*body);
            }
        }
        return found;
    }

    routing::state state_;
    base::boot_time now_{1000s};
    exchange_id last_ = 0;
    effects effects_;
};

} // namespace lovagetack::routing::testing
