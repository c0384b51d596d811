#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "requests/reduce.hpp"

namespace lovagetack::requests::testing {

using namespace std::chrono_literals;

inline const model::instance_id self_id{"instance-a"};
inline const model::instance_id other_id{"instance-b"};
inline const model::data_centre_id east{"east"};
/// Divided by key; all keys are owned by board-0 unless a test says otherwise.
inline const model::service_id board{"board"};
/// Not divided by key.
inline const model::service_id store{"store"};

/// The state of one instance, with a clock that the test advances.
class fixture {
public:
    /// Returns an instance that is home of all backend servers for more than a second; all of them are warm.
    static fixture ready(std::int32_t servers = 2) {
        fixture made;
        made.deploy(servers);
        made.set_members({self_id});
        made.route_all(made.id(board, 0));
        made.report_warm(servers);
        made.advance(1100ms);
        made.seen.clear();
        return made;
    }

    effects apply(const event& received) {
        random_ = random_ * 6364136223846793005ULL + 1442695040888963407ULL;
        auto made = reduce(state, now, random_, received);
        seen.insert(seen.end(), made.begin(), made.end());
        return made;
    }

    /// Advances the clock in ticks of 20 ms.
    void advance(std::chrono::microseconds time) {
        const auto end = now + time;
        while (now < end) {
            now = std::min(end, now + 20ms);
            apply(model::tick{});
        }
    }

    static model::backend_server_id id(const model::service_id& service, int number) {
        return model::backend_server_id(service.value() + "-" + std::to_string(number));
    }

    void deploy(std::int32_t servers) {
        model::deployment deployment;
        deployment.version = 1;
        deployment.data_centres = {east};
        for (const auto& service : {board, store}) {
            model::service made;
            made.id = service;
            made.divided_by_key = service == board;
            made.checks_grants = checks_grants;
            made.queue_per_backend_server = queue_limit;
            deployment.services.push_back(made);
            for (std::int32_t number = 0; number < servers; ++number) {
                deployment.backend_servers.push_back({id(service, number), service, east, {"127.0.0.1", 1000}, 2, 110});
            }
        }
        apply(model::deployment_changed{deployment});
    }

    void set_members(const std::vector<model::instance_id>& live) {
        model::members_changed changed;
        for (const auto& instance : live) {
            model::member member;
            member.id = instance;
            member.data_centre = east;
            member.state = model::member_state::live;
            member.caller_address = {"127.0.0.1", 2000};
            changed.members.push_back(member);
        }
        apply(changed);
    }

    void route_all(const model::backend_server_id& owner, std::uint64_t sequence = 1) {
        const model::active_range whole{0, ~0ULL, owner, {model::epoch(1), sequence}};
        apply(model::routes_changed{{{board, {whole}}}});
    }

    void report_warm(std::int32_t servers) {
        for (const auto& service : {board, store}) {
            for (std::int32_t number = 0; number < servers; ++number) {
                apply(backend_server_observed{id(service, number), "boot-1", false, 60s});
            }
        }
    }

    void set_availability(model::subject_kind kind, const std::string& name, model::availability availability) {
        apply(model::service_states_changed{{{kind, name, availability, 1, 0ms}}});
    }

    /// Applies a new request; the returned number identifies it in effects.
    exchange_id request(const model::service_id& service, bool idempotent, std::chrono::microseconds deadline = 0us) {
        caller_request made;
        made.service = service;
        made.idempotent = idempotent;
        made.deadline = deadline;
        return request(std::move(made));
    }

    exchange_id request(caller_request made) {
        last_exchange_ += 1;
        made.exchange = exchange_id(last_exchange_);
        if (made.service == board) {
            made.key = "key-" + std::to_string(last_exchange_);
        }
        apply(made);
        return made.exchange;
    }

    /// The latest attempt of a request, if it was ever sent.
    std::optional<start_attempt> attempt_of(exchange_id exchange) const { return last<start_attempt>(exchange); }
    std::optional<answer_caller> answer_of(exchange_id exchange) const { return last<answer_caller>(exchange); }

    std::size_t attempts_of(exchange_id exchange) const {
        std::size_t count = 0;
        for (const auto& candidate : seen) {
            const auto* started = std::get_if<start_attempt>(&candidate);
            count += started != nullptr && started->exchange == exchange ? 1 : 0;
        }
        return count;
    }

    void sending(const start_attempt& started) { apply(attempt_sending{started.exchange, started.attempt}); }

    attempt_ended ended(const start_attempt& started, attempt_outcome outcome) const {
        attempt_ended made;
        made.exchange = started.exchange;
        made.attempt = started.attempt;
        made.outcome = outcome;
        made.can_resend = true;
        made.bytes_sent = outcome != attempt_outcome::connect_failed;
        made.status = outcome == attempt_outcome::completed ? 200 : 0;
        return made;
    }

    /// Completes the latest attempt of the request.
    void finish(exchange_id exchange) { apply(ended(attempt_of(exchange).value(), attempt_outcome::completed)); }

    template <class Effect>
    std::vector<Effect> all() const {
        std::vector<Effect> found;
        for (const auto& candidate : seen) {
            if (const auto* match = std::get_if<Effect>(&candidate)) {
                found.push_back(*match);
            }
        }
        return found;
    }

    requests::state state{identity{self_id, east, model::incarnation(7)}};
    base::boot_time now{1s};
    effects seen;
    bool checks_grants = true;
    std::int32_t queue_limit = 64;

private:
    template <class Effect>
    std::optional<Effect> last(exchange_id exchange) const {
        std::optional<Effect> found;
        for (const auto& candidate : all<Effect>()) {
            if (candidate.exchange == exchange) {
                found = candidate;
            }
        }
        return found;
    }

    std::uint64_t random_ = 1;
    std::uint64_t last_exchange_ = 0;
};

inline std::int32_t number_of(base::result_code code) {
    return static_cast<std::int32_t>(code);
}

} // namespace lovagetack::requests::testing
