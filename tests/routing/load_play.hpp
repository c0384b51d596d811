#pragma once

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <tuple>
#include <vector>

#include "routing/limits.hpp"
#include "routing/reduce.hpp"
#include "routing/samples.hpp"

namespace lovagetack::routing::testing {

using namespace std::chrono_literals;

/// Load on a large deployment, played in simulated time: instances in two data centres, and backend servers of one
/// service without keys that drop the connection when their queue is full.
class load_play {
public:
    struct plan {
        int instances_each = 20;
        int servers_each = 32;
        /// Mean time of work; each request takes between half and one and a half of it.
        std::chrono::microseconds work = 200ms;
        /// Requests per second over all instances.
        double rate = 320;
        bool uses_dispatchers = true;
        bool learns_capacity = true;
        std::int32_t slots = 2;
        /// Share of the messages between instances that get lost.
        double lost_messages = 0.01;
        std::uint64_t seed = 1;
    };

    struct results {
        int requests = 0;
        /// Answered within the latency objective, and later.
        int in_time = 0;
        int late = 0;
        /// Answered 503: they have not run. Of these, the ones that had waited more than half of the objective.
        int refused = 0;
        int refused_late = 0;
        /// Answered 502 or 504: whether they ran is unknown.
        int unknown = 0;
        int arrivals = 0;
        int rejected_by_servers = 0;
        int messages = 0;
        /// Most requests that a server had in progress and queued.
        int most_at_one_server = 0;
        /// Arrivals from an instance at a server that had told it that it leaves, later than the drain time, and at one
        /// that had asked it for a pause.
        int late_at_leaving = 0;
        int in_pause = 0;
        /// Arrivals at servers since they began to say that they leave.
        int at_leaving = 0;
        int turned_away = 0;
    };

    explicit load_play(const plan& plan) : plan_(plan), random_(plan.seed) {
        for (int number = 0; number < 2 * plan.instances_each; ++number) {
            add_instance(number);
        }
        for (auto& instance : instances_) {
            start(*instance);
        }
    }

    void run_for(std::chrono::microseconds time) {
        const auto end = now_ + time;
        schedule_arrival();
        while (!calls_.empty() && calls_.top().at <= end) {
            auto next = calls_.top();
            calls_.pop();
            now_ = next.at;
            next.function();
        }
        now_ = end;
    }
    /// No new requests arrive.
    void stop_arrivals() { arriving_ = false; }
    void set_rate(double rate) { plan_.rate = rate; }
    void kill(int instance) { instances_[index(instance)]->runs = false; }
    void freeze(int instance, std::chrono::microseconds time) {
        instances_[index(instance)]->frozen_until = now_ + time;
    }
    void set_work(int server, std::chrono::microseconds work) { servers_[index(server)].work = work; }
    /// From now on each request takes longer by the square of the requests in progress above `most`; 0 for no limit.
    void set_most_at_once(int server, int most) { servers_[index(server)].most_at_once = most; }
    /// From now on the server rejects this share of its requests, however many it has.
    void set_rejecting(int server, double share) { servers_[index(server)].rejecting = share; }

    /// From now on the server says in its answers that it leaves.
    void say_leaving(int server) { servers_[index(server)].leaves = true; }
    /// The server turns requests away for `time`, and asks each instance for a pause.
    void turn_away(int server, std::chrono::microseconds time, std::chrono::milliseconds pause) {
        servers_[index(server)].turns_away_until = now_ + time;
        servers_[index(server)].pause = pause;
    }

    /// The instance that most others ask for slots.
    [[nodiscard]] int busiest_dispatcher() const {
        return static_cast<int>(std::max_element(asked_.begin(), asked_.end()) - asked_.begin());
    }
    [[nodiscard]] const results& outcome() const { return results_; }
    [[nodiscard]] routing::state& state_of(int instance) { return instances_[index(instance)]->state; }
    [[nodiscard]] int instances() const { return static_cast<int>(instances_.size()); }

private:
    struct simulated_instance {
        explicit simulated_instance(identity id, std::uint64_t seed) : state(std::move(id), seed) {}
        routing::state state;
        bool runs = true;
        base::boot_time frozen_until;
    };
    struct simulated_server {
        backend_server registration;
        std::chrono::microseconds work{0};
        int most_at_once = 0;
        double rejecting = 0;
        int running = 0;
        std::vector<std::function<void()>> waiting;
        bool leaves = false;
        base::boot_time turns_away_until;
        std::chrono::milliseconds pause{0};
        /// When the server first told an instance that it leaves, and the last pause that it asked for.
        std::map<const simulated_instance*, base::boot_time> told_leaving;
        std::map<const simulated_instance*, std::pair<base::boot_time, base::boot_time>> told_pause;
    };
    struct call {
        base::boot_time at;
        std::uint64_t sequence;
        std::function<void()> function;
        bool operator<(const call& other) const { return std::tie(at, sequence) > std::tie(other.at, other.sequence); }
    };

    static constexpr auto network_delay = 1ms;
    static constexpr std::size_t server_queue = 2;

    static std::size_t index(int number) { return static_cast<std::size_t>(number); }
    double fraction() { return static_cast<double>(random_() % 100000) / 100000.0; }
    void at(std::chrono::microseconds delay, std::function<void()> function) {
        calls_.push({now_ + delay, ++sequence_, std::move(function)});
    }

    void add_instance(int number) {
        const std::string data_centre = number % 2 == 0 ? "north" : "south";
        instances_.push_back(
            std::make_unique<simulated_instance>(identity{model::instance_id("instance-" + std::to_string(number)),
                                                          model::data_centre_id(data_centre), 1, 200},
                                                 random_()));
        instances_.back()->state.uses_dispatchers = plan_.uses_dispatchers;
        instances_.back()->state.learns_capacity = plan_.learns_capacity;
        asked_.push_back(0);
    }

    void start(simulated_instance& instance) {
        configuration configuration;
        configuration.version = 1;
        configuration.services[service_] = {service_, "/health", 1000, 6.0, 3000ms, false};
        auto route = route_to("/", request_kind::non_idempotent, service_);
        route.latency_objective = 800ms;
        route.timeout = 4000ms;
        configuration.routes = {route};
        process(instance, configuration_updated{configuration});
        for (const auto& other : instances_) {
            const auto& self = other->state.self;
            process(instance, instance_updated{self.instance, {self.data_centre, 1, {}, 200, own_protocol}});
        }
        for (int number = 0; number < 2 * plan_.servers_each; ++number) {
            if (std::ssize(servers_) <= number) {
                simulated_server server;
                server.registration = server_of("book-" + std::to_string(number), service_);
                server.registration.data_centre = model::data_centre_id(number % 2 == 0 ? "north" : "south");
                server.registration.slots = plan_.slots;
                server.work = plan_.work;
                servers_.push_back(std::move(server));
            }
            process(instance, backend_server_updated{servers_[index(number)].registration});
        }
        process(instance, registry_complete{});
        process(instance, assignments_complete{});
        tick(instance, std::chrono::microseconds(random_() % 20000));
    }

    void tick(simulated_instance& instance, std::chrono::microseconds delay) {
        at(delay, [this, &instance] {
            if (!instance.runs) {
                return;
            }
            if (instance.frozen_until <= now_) {
                process(instance, ticked{});
            }
            tick(instance, 20ms);
        });
    }

    void schedule_arrival() {
        const double gap = -std::log(1.0 - fraction()) / plan_.rate;
        at(std::chrono::microseconds(static_cast<std::int64_t>(gap * 1e6)), [this] {
            if (!arriving_) {
                return;
            }
            auto& instance = *instances_[random_() % instances_.size()];
            schedule_arrival();
            if (!instance.runs || instance.frozen_until > now_) {
                return;
            }
            ++results_.requests;
            request_arrived event;
            event.exchange = ++last_exchange_;
            event.request = std::to_string(event.exchange);
            event.host = "host";
            event.path = "/";
            event.deadline = 4000ms;
            event.arrived = now_;
            arrived_[event.exchange] = now_;
            process(instance, event);
        });
    }

    void process(simulated_instance& instance, const event& event) {
        for (const auto& effect : reduce(instance.state, now_, event)) {
            std::visit([this, &instance](const auto& body) { execute(instance, body); }, effect);
        }
    }

    void deliver(const model::instance_id& receiver, const event& event) {
        ++results_.messages;
        if (fraction() < plan_.lost_messages) {
            return;
        }
        for (auto& instance : instances_) {
            if (instance->state.self.instance == receiver) {
                deliver_later(*instance, event, network_delay);
            }
        }
    }

    void deliver_later(simulated_instance& instance, const event& event, std::chrono::microseconds delay) {
        at(delay, [this, &instance, event] {
            if (!instance.runs) {
                return;
            }
            if (instance.frozen_until > now_) {
                deliver_later(instance, event, instance.frozen_until - now_);
                return;
            }
            process(instance, event);
        });
    }

    template <class Effect>
    void execute(simulated_instance& /*instance*/, const Effect& /*effect*/) {}
    void execute(simulated_instance& /*instance*/, const send_load& effect) {
        for (const auto& receiver : effect.receivers) {
            deliver(receiver, effect.load);
        }
    }
    void execute(simulated_instance& /*instance*/, const send_slot_request& effect) {
        for (std::size_t number = 0; number < instances_.size(); ++number) {
            asked_[number] += instances_[number]->state.self.instance == effect.receiver ? 1 : 0;
        }
        deliver(effect.receiver, effect.request);
    }
    void execute(simulated_instance& /*instance*/, const send_slot_answer& effect) {
        deliver(effect.receiver, effect.answer);
    }
    void execute(simulated_instance& /*instance*/, const send_slot_release& effect) {
        deliver(effect.receiver, effect.release);
    }
    // The servers of this load do not end.
    void execute(simulated_instance& /*instance*/, const probe_server& /*effect*/) {}
    void execute(simulated_instance& /*instance*/, const send_strike& /*effect*/) {}
    void execute(simulated_instance& /*instance*/, const send_allowance_message& /*effect*/) {}
    void execute(simulated_instance& /*instance*/, const send_objection& /*effect*/) {}
    void execute(simulated_instance& /*instance*/, const write_quarantine& /*effect*/) {}
    void execute(simulated_instance& /*instance*/, const lift_quarantine& /*effect*/) {}
    void execute(simulated_instance& /*instance*/, const send_slot_report& effect) {
        deliver(effect.receiver, effect.report);
    }

    void execute(simulated_instance& /*instance*/, const answer_caller& effect) {
        if (effect.status != 503) {
            ++results_.unknown;
            return;
        }
        ++results_.refused;
        results_.refused_late += now_ - arrived_[effect.exchange] > 400ms ? 1 : 0;
    }
    void execute(simulated_instance& /*instance*/, const request_delivered& effect) {
        ++(effect.latency <= 800ms ? results_.in_time : results_.late);
    }

    void execute(simulated_instance& instance, const send_request& effect) {
        at(network_delay, [this, &instance, effect] { arrive_at_server(instance, effect); });
    }

    void check_rules(const simulated_instance& instance, const simulated_server& server, const send_request& effect) {
        constexpr auto drain_time = 3000ms;
        constexpr auto pause_slack = 500ms;
        results_.at_leaving += server.leaves ? 1 : 0;
        const auto leaving = server.told_leaving.find(&instance);
        if (leaving != server.told_leaving.end() && arrived_[effect.exchange] > leaving->second + drain_time) {
            ++results_.late_at_leaving;
        }
        const auto pause = server.told_pause.find(&instance);
        if (pause != server.told_pause.end() && now_ > pause->second.first + pause_slack &&
            now_ < pause->second.second) {
            ++results_.in_pause;
        }
    }

    void arrive_at_server(simulated_instance& instance, const send_request& effect) {
        auto& server = *std::find_if(servers_.begin(), servers_.end(), [&effect](const simulated_server& item) {
            return item.registration.id == effect.server;
        });
        ++results_.arrivals;
        check_rules(instance, server, effect);
        deliver_later(instance, attempt_sent{effect.exchange, effect.attempt}, 0ms);
        if (server.turns_away_until > now_) {
            ++results_.turned_away;
            server.told_pause[&instance] = {now_, now_ + server.pause};
            deliver_later(instance, signals_received{effect.exchange, effect.attempt, {false, server.pause, {}}},
                          network_delay);
            deliver_later(instance,
                          attempt_ended{effect.exchange, effect.attempt, attempt_outcome::not_run, 503, false, {}},
                          network_delay);
            return;
        }
        if (server.rejecting > 0 && fraction() < server.rejecting) {
            ++results_.rejected_by_servers;
            const reported_load load{server.running, 0, server.registration.slots, 100};
            deliver_later(instance,
                          attempt_ended{effect.exchange, effect.attempt, attempt_outcome::not_run, 503, false, load},
                          network_delay);
            return;
        }
        if (server.running >= server.registration.slots && server.waiting.size() >= server_queue) {
            ++results_.rejected_by_servers;
            deliver_later(
                instance,
                attempt_ended{effect.exchange, effect.attempt, attempt_outcome::connection_lost, 0, false, {}},
                network_delay);
            return;
        }
        const auto begin = [this, &instance, &server, effect] {
            ++server.running;
            auto work = server.work / 2 + server.work * static_cast<std::int64_t>(random_() % 1000) / 1000;
            if (server.most_at_once > 0 && server.running > server.most_at_once) {
                work = work * server.running * server.running / (server.most_at_once * server.most_at_once);
            }
            at(work, [this, &instance, &server, effect] {
                --server.running;
                const reported_load load{server.running, static_cast<std::int32_t>(server.waiting.size()),
                                         server.registration.slots, 100};
                if (server.leaves) {
                    server.told_leaving.try_emplace(&instance, now_);
                    deliver_later(instance, signals_received{effect.exchange, effect.attempt, {true, 0ms, {}}},
                                  network_delay);
                }
                deliver_later(
                    instance,
                    attempt_ended{effect.exchange, effect.attempt, attempt_outcome::delivered, 200, true, load},
                    network_delay);
                if (!server.waiting.empty()) {
                    const auto next = std::move(server.waiting.front());
                    server.waiting.erase(server.waiting.begin());
                    next();
                }
            });
        };
        if (server.running < server.registration.slots) {
            begin();
        } else {
            server.waiting.emplace_back(begin);
        }
        results_.most_at_one_server =
            std::max(results_.most_at_one_server, server.running + static_cast<int>(server.waiting.size()));
    }

    plan plan_;
    std::mt19937_64 random_;
    base::boot_time now_{std::chrono::seconds(100)};
    std::uint64_t sequence_ = 0;
    std::priority_queue<call> calls_;
    const model::service_id service_{"book"};
    std::vector<std::unique_ptr<simulated_instance>> instances_;
    std::vector<simulated_server> servers_;
    std::vector<int> asked_;
    std::map<exchange_id, base::boot_time> arrived_;
    exchange_id last_exchange_ = 0;
    bool arriving_ = true;
    results results_;
};

} // namespace lovagetack::routing::testing
